// What the decisions did at version 1.1.0, commit 00483fc: expected values of
// test_characterization_decisions. They stay as they are while code is renamed and restructured.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "wire_simulation.h"

namespace pearchute::test {

struct ExpectedWire {
  std::string_view name;
  std::uint64_t seed, digest;
  std::array<int, action_kinds> actions;  // how often each occurs, by ActionKind
};

struct ExpectedDigest {
  std::string_view name;
  std::uint64_t digest;
};

// clang-format off
inline constexpr ExpectedWire expected_wire[] = {
    // By scenario and seed.
    {"all_on", 11, 0xcd9516815a757a6e, {{952, 952, 45, 115, 7, 1576, 702, 20, 44}}},
    {"all_on", 12, 0x8db1bc040a2dc61d, {{846, 846, 58, 189, 5, 1549, 614, 23, 19}}},
    {"all_side_effects", 11, 0x6c7b3c90abddc6a1, {{1023, 1023, 42, 46, 118, 1493, 0, 0, 19}}},
    {"all_side_effects", 12, 0x38ae1b705c0f8c26, {{1033, 1033, 39, 80, 48, 1521, 0, 0, 51}}},
    {"bound", 11, 0x4767677481801051, {{994, 994, 35, 52, 2, 1476, 0, 0, 12}}},
    {"bound", 12, 0x7be38455e4fe70a2, {{1055, 1055, 41, 117, 15, 1509, 0, 0, 24}}},
    {"data_loads", 11, 0xe86d499154083d70, {{1166, 1166, 111, 146, 6, 1480, 0, 0, 28}}},
    {"data_loads", 12, 0x268e90dc6795ccc7, {{1180, 1180, 150, 253, 14, 1512, 0, 0, 14}}},
    {"few_open", 11, 0xc4764b753505d86e, {{1469, 1469, 115, 521, 10, 2177, 0, 0, 36}}},
    {"few_open", 12, 0x7b8b1929754e7be1, {{1384, 1384, 110, 530, 16, 2171, 0, 0, 38}}},
    {"few_open_loads", 11, 0x5fd45231e39c9b71, {{1170, 1170, 212, 210, 9, 1499, 0, 0, 48}}},
    {"few_open_loads", 12, 0x1e7c600d1c56aa61, {{1363, 1363, 188, 168, 12, 1503, 0, 0, 43}}},
    {"late_wakes", 11, 0x33cfb74bdf0ef0f7, {{950, 950, 63, 774, 13, 1780, 0, 0, 9}}},
    {"late_wakes", 12, 0x42a209d2d61ab983, {{878, 878, 30, 829, 4, 1796, 0, 0, 8}}},
    {"list_changes", 11, 0x316a4f3d4f7b5444, {{1024, 1024, 48, 60, 7, 1429, 0, 0, 7}}},
    {"list_changes", 12, 0x3c3cbf005290f370, {{986, 986, 102, 137, 5, 1407, 0, 0, 23}}},
    {"list_on_request", 11, 0xe232e1bdbbb30c5c, {{917, 917, 11, 205, 6, 1425, 0, 21, 27}}},
    {"list_on_request", 12, 0x725f36643f49e93c, {{1196, 1196, 104, 172, 7, 1425, 0, 13, 32}}},
    {"no_cancel", 11, 0x3bbccf4190d69a2e, {{1076, 1076, 0, 79, 10, 1489, 0, 0, 18}}},
    {"no_cancel", 12, 0x4f44a9b78efece56, {{1067, 1067, 0, 109, 19, 1495, 0, 0, 43}}},
    {"no_cancel_copies", 11, 0x0176860e35b583d8, {{1069, 1069, 0, 76, 5, 1485, 0, 0, 21}}},
    {"no_cancel_copies", 12, 0xeea29934c94169d3, {{1096, 1096, 0, 79, 5, 1500, 0, 0, 31}}},
    {"no_estimates", 11, 0x14fd6c6d104f9114, {{925, 925, 83, 255, 8, 1490, 0, 0, 29}}},
    {"no_estimates", 12, 0x95d961a7b7ac8686, {{774, 774, 106, 386, 1, 1517, 0, 0, 11}}},
    {"no_faults", 11, 0x442418a390abe07e, {{973, 973, 12, 60, 1, 1492, 0, 0, 0}}},
    {"no_faults", 12, 0x37c384e5915eb381, {{997, 997, 18, 42, 1, 1492, 0, 0, 0}}},
    {"no_grants", 11, 0x69886376fb7c419d, {{1190, 1190, 80, 87, 13, 1495, 0, 0, 19}}},
    {"no_grants", 12, 0xd3e2fcf8ec4a3510, {{1081, 1081, 112, 156, 13, 1506, 0, 0, 35}}},
    {"no_notes", 11, 0x60cab8ede7946a45, {{1228, 1228, 91, 69, 6, 1514, 0, 0, 16}}},
    {"no_notes", 12, 0x13ede56755c020e7, {{1136, 1136, 77, 77, 11, 1532, 0, 0, 18}}},
    {"no_retry_after", 11, 0x43d4b9b7903e56d5, {{1776, 1776, 71, 369, 6, 2118, 0, 0, 25}}},
    {"no_retry_after", 12, 0x8a9253dd076893a0, {{1449, 1449, 87, 580, 10, 2124, 0, 0, 35}}},
    {"no_terms", 11, 0x6412be02d75063d9, {{1161, 0, 63, 85, 11, 1500, 0, 0, 10}}},
    {"no_terms", 12, 0x668eee567c0c6c8c, {{1111, 0, 43, 49, 8, 1498, 0, 0, 27}}},
    {"one_attempt", 11, 0xd9115d437c3edb8f, {{978, 978, 11, 152, 14, 1504, 0, 0, 33}}},
    {"one_attempt", 12, 0xe51ad5a3b55e2577, {{1019, 1019, 29, 143, 11, 1535, 0, 0, 27}}},
    {"order_by_key", 11, 0x8ce58ea06c63a0fc, {{1093, 1093, 11, 51, 17, 1570, 0, 0, 18}}},
    {"order_by_key", 12, 0x79f9754acc7b1166, {{972, 972, 24, 52, 6, 1490, 0, 0, 5}}},
    {"overload", 11, 0x25b61c02a68aaba4, {{1921, 1921, 44, 1370, 5, 2751, 0, 0, 28}}},
    {"overload", 12, 0x15d63e903e764e08, {{1330, 1330, 68, 1529, 18, 2751, 0, 0, 21}}},
    {"plain", 11, 0x861e0192e44aaee6, {{1050, 1050, 82, 201, 6, 1514, 0, 0, 28}}},
    {"plain", 12, 0x83b2e0257ef6e2aa, {{1145, 1145, 57, 62, 7, 1514, 0, 0, 12}}},
    {"pool", 11, 0x4873cc6f20f0f6c9, {{1858, 1858, 81, 216, 17, 3185, 0, 0, 80}}},
    {"pool", 12, 0xcd704bf71dcdf918, {{1947, 1947, 52, 162, 11, 3216, 0, 0, 7}}},
    {"probes", 11, 0x890ce70ff5fd72f0, {{1097, 1097, 70, 72, 8, 1491, 537, 0, 39}}},
    {"probes", 12, 0xfd287c08c75c5b5a, {{1084, 1084, 80, 48, 7, 1463, 540, 0, 26}}},
    {"probes_not_allowed", 11, 0xe9e35a4ae504c4aa, {{1039, 1039, 94, 164, 4, 1504, 0, 0, 40}}},
    {"probes_not_allowed", 12, 0x8efe2eba9e991836, {{1191, 1191, 46, 65, 9, 1508, 0, 0, 29}}},
    {"quotas", 11, 0x986313b7152e5d6e, {{1452, 1452, 63, 474, 9, 2240, 0, 0, 17}}},
    {"quotas", 12, 0x5d5bef9b9110a555, {{1503, 1503, 52, 539, 11, 2238, 0, 0, 23}}},
    {"retry_budget", 11, 0x375f179941b9de6a, {{1075, 1075, 91, 114, 9, 1477, 0, 0, 14}}},
    {"retry_budget", 12, 0xe17b1507c881550e, {{1077, 1077, 45, 83, 7, 1517, 0, 0, 27}}},
    {"second_copies", 11, 0x9a47a94e90296a5f, {{1051, 1051, 93, 176, 11, 1496, 0, 0, 40}}},
    {"second_copies", 12, 0x4a0ff4eff9896149, {{1123, 1123, 51, 56, 3, 1527, 0, 0, 18}}},
    {"slow_start_shared", 11, 0x6a3dbd420b9aace4, {{1144, 1144, 73, 151, 4, 1378, 0, 0, 24}}},
    {"slow_start_shared", 12, 0x64431527d369fb10, {{1062, 1062, 60, 139, 0, 1407, 0, 0, 16}}},
    {"slow_start_turns", 11, 0xef632aca6a2e243b, {{1083, 1083, 97, 189, 12, 2426, 0, 0, 39}}},
    {"slow_start_turns", 12, 0x4d2cb9170aff8a8a, {{1001, 1001, 71, 184, 6, 2417, 0, 0, 62}}},
    {"token_cell", 11, 0xd7486fa856d7e775, {{1092, 1092, 20, 44, 7, 1505, 0, 0, 21}}},
    {"token_cell", 12, 0x71698d67413fc78e, {{1105, 1105, 28, 36, 17, 1522, 0, 0, 28}}},
    {"token_zone", 11, 0x87743211583cad92, {{1063, 1063, 36, 49, 6, 1514, 0, 0, 13}}},
    {"token_zone", 12, 0xd95c67b1784779a2, {{1061, 1061, 8, 51, 19, 1504, 0, 0, 25}}},
};

inline constexpr ExpectedDigest expected_digests[] = {
    // By case.
    {"arrivals", 0xa6d1bf26a79459aa},
    {"events_busy", 0x556d0e220ad2f056},
    {"events_calm", 0x19f4489dcb10a3e7},
    {"events_calm_other_seed", 0xdc05afce904a5323},
    {"events_few_open", 0x886b4c21260bcbb6},
    {"events_long_queue", 0x9b5f5269e2cbed76},
    {"events_no_cancel", 0x8b4269159fe926a5},
    {"events_on_request", 0x64d65350bec733c2},
    {"many_cold", 0xd46c042c576d8bb9},
    {"many_cold_restarted", 0xb9afc94c989f0a38},
    {"many_few", 0xce06a78dd8c9d637},
    {"many_warm", 0x77264ecf77398a13},
    {"rules_all", 0x81c10bfbd93499a1},
    {"rules_copies", 0xed6fd813958ff571},
    {"rules_without_slow_start", 0x847c6e38da78fc9e},
};
// clang-format on

}  // namespace pearchute::test
