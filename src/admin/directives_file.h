// Persists the active drain directives ("orders") of a manager, so that a restart loses none. The file is
// replaced atomically: a kill at any time leaves either the old or the new directives. A damaged file is
// reported, and none of its content is used.
//
// The format: a line with its name and version, a line with the CRC-32 of the rest, and a KeptOrders message
// (src/proto/kept.proto). The names of its fields differ from those of fleet::DrainDirective and stay as they
// are; this file maps them.
//
// Not thread-safe. Calls block on disk I/O.
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "fleet/drains.h"

namespace pearchute::admin {

// The stages of a write, in order. Tests kill the process at each of them.
enum class WriteStage { begun, half_written, written, synced, renamed, folder_synced };
inline constexpr std::array all_write_stages = {WriteStage::begun,   WriteStage::half_written,
                                                WriteStage::written, WriteStage::synced,
                                                WriteStage::renamed, WriteStage::folder_synced};

// One file of directives. Each call opens and closes it.
class DirectivesFile {
 public:
  using StageObserver = std::function<void(WriteStage)>;

  // A directive as it was written.
  struct PersistedDirective {
    fleet::DrainDirective directive;
    fleet::Duration remaining{};  // of its lease; negative where it has expired
  };
  // The directives of the file; none where it is damaged, and `error` then describes the damage.
  struct ReadResult {
    bool damaged = false;  // a file with invalid content is renamed, with `.damaged` appended
    std::string error;
    std::vector<PersistedDirective> directives;
  };

  // Calls `observe_stage` when a write reaches a stage; for tests.
  explicit DirectivesFile(std::string path, StageObserver observe_stage = {});

  // Returns no directives where the file does not exist. `unix_now` is the wall-clock time: the file stores
  // the ends of leases as Unix times. Throws ResourceShortage where the file cannot be read for the moment.
  ReadResult read(std::chrono::milliseconds unix_now) const;

  // `now` (by the clock of the directives) and `unix_now` are the same moment. Where it returns false, the
  // file is unchanged and `error` has the reason.
  bool write(const std::vector<fleet::ActiveDirective>& directives, fleet::TimePoint now,
             std::chrono::milliseconds unix_now, std::string& error) const;

 private:
  bool write_new_file(const std::string& path, std::string_view text, std::string& error) const;
  bool write_in_halves(int descriptor, std::string_view text) const;
  void sync_folder() const;
  void notify_stage(WriteStage stage) const;

  const std::string path_;
  const StageObserver observe_stage_;
};

}  // namespace pearchute::admin
