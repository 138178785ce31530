// The settings that a manager's configuration holds, with the figures of the operators' small deployments:
// six engines and two managers, as in the small twins of their days.
#pragma once

#include <string>

namespace review {

// What differs between the deployments. Times are in microseconds, as on the wire.
struct Deployment {
  std::string classes;      // JSON objects, separated by commas
  std::string zones;        // JSON strings, separated by commas; the first is the manager's own
  std::string family;       // members of familyInfo
  std::string limits;       // members of limits
  std::string obligations;  // members of obligations
  std::string prices;       // members of prices
  std::string kinds;        // JSON strings, separated by commas
  std::string feedback;     // members of feedback
};

inline std::string settings_of(const Deployment& deployment) {
  const std::string own_zone = deployment.zones.substr(0, deployment.zones.find(','));
  return R"({"classes":[)" + deployment.classes + R"(],"clients":{"marksRetry":true},"discovery":"pushed",)" +
         R"("domainType":"queries","failureDomains":[)" + deployment.zones + R"(],"zone":)" + own_zone +
         R"(,"familyInfo":{)" + deployment.family + R"(},"feedback":{)" + deployment.feedback +
         R"(},"goal":{"whole":0.6,"worstWindow":0.2,"worstClass":0.2,"worstTenant":0},"hostTypes":[)" +
         deployment.kinds + R"(],"limits":{"maxOpen":20000,)" + deployment.limits +
         R"(},"me":0,"nInstances":2,"obligations":{"answerSlack":20000,)" + deployment.obligations +
         R"(},"prices":{)" + deployment.prices +
         R"(},"round":5000,"tier":0,"tiers":["query-fleet"],"valueBy":"request","weights":"nominal"})";
}

// emoval-centro: `inspection-load` is keyed and keeps the order of its key. Its window for repeats and its
// deadline, in seconds, may be shorter on short days.
inline Deployment emoval_centro(int load_window = 25, int load_deadline = 25) {
  const auto microseconds = [](int seconds) { return std::to_string(seconds) + "000000"; };
  return {.classes = R"({"name":"plate-lookup","repeat":"pure","keyScope":"all","window":5000000,)"
                     R"("slo":1500000,"aimStretch":2,"giveUp":7500000,"worth":1,"lateValue":0.1,)"
                     R"("stream":false},)"
                     R"({"name":"registry-report","repeat":"pure","keyScope":"all","window":5000000,)"
                     R"("slo":1500000,"aimStretch":2.5,"giveUp":25000000,"worth":3,"lateValue":0.3,)"
                     R"("stream":false},)"
                     R"({"name":"inspection-load","repeat":"token","keyScope":"all","window":)" +
                     microseconds(load_window) + R"(,"slo":4000000,"aimStretch":2.5,"giveUp":)" +
                     microseconds(load_deadline) +
                     R"(,"worth":2.5,"lateValue":0.5,"byArrival":true,"stream":false})",
          .zones = R"("hall-a","hall-b")",
          .family = R"("classLoad":[false,false,true],"classWaits":[true,false,false],)"
                    R"("parallelism":[1,2,2],"coresByKind":[16],"sizeMb":[32768],"takesGrants":true,)"
                    R"("takesPriority":true,"grantCap":0.4,"tellsEvery":1000000,"outOfMemory":"cut",)"
                    R"("costInAnswers":false)",
          .limits = R"("cancel":true,"attemptsCap":3,"secondCopies":false,"retryAfter":true,)"
                    R"("maxRetryAfter":500000,"connectTimeout":250000,"idleClose":15000000,)"
                    R"("streamsPerConn":32,"mayProbe":false,"peers":false)",
          .obligations = R"("cold":15000000,"coldFrom":0.31,"fall":1000000,"stopSendingWithin":500000,)"
                         R"("tipMultiple":2.5,"orderPause":300000)",
          .prices = R"("crossZone":0.04,"waste":0.08,"lateFail":0.05,"probe":0)",
          .kinds = R"("std-16")",
          .feedback = R"("how":"none","names":[])"};
}

// tills-central: `load` must never run twice; nothing shows a dispatch's progress.
inline Deployment tills_central() {
  return {.classes = R"({"name":"lookup","repeat":"pure","keyScope":"all","window":5000000,"slo":1500000,)"
                     R"("aimStretch":1.5,"giveUp":7500000,"worth":1,"lateValue":0,"stream":false},)"
                     R"({"name":"report","repeat":"pure","keyScope":"all","window":5000000,"slo":3000000,)"
                     R"("aimStretch":2.5,"giveUp":25000000,"worth":6,"lateValue":0.4,"stream":false},)"
                     R"({"name":"load","repeat":"side_effect","keyScope":"all","window":5000000,)"
                     R"("slo":3000000,"aimStretch":3,"giveUp":25000000,"worth":3,"lateValue":0.6,)"
                     R"("stream":false})",
          .zones = R"("room-a","room-b")",
          .family = R"("classLoad":[false,false,true],"classWaits":[false,false,false],)"
                    R"("parallelism":[1,3,2],"coresByKind":[8,8],"sizeMb":[16384,16384],)"
                    R"("takesGrants":true,"takesPriority":true,"grantCap":0.4,"tellsEvery":0,)"
                    R"("outOfMemory":"cut","costInAnswers":true)",
          .limits = R"("cancel":true,"attemptsCap":4,"secondCopies":true,"retryAfter":true,)"
                    R"("maxRetryAfter":500000,"connectTimeout":250000,"idleClose":30000000,)"
                    R"("streamsPerConn":32,"mayProbe":true,"peers":true)",
          .obligations = R"("cold":13000000,"coldFrom":0.35,"fall":2000000,"stopSendingWithin":500000,)"
                         R"("tipMultiple":2)",
          .prices = R"("crossZone":0.02,"waste":0.05,"lateFail":0.03,"probe":0.01)",
          .kinds = R"("std-a","std-b")",
          .feedback = R"("how":"answers","names":["backlog"])"};
}

}  // namespace review
