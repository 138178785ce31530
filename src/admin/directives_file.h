// The active drain directives ("orders") of a manager on disk, so that a restart forgets none. The file is
// replaced as a whole, so that a kill at any time leaves the directives of before or of after. What is
// damaged is reported, and never guessed at.
//
// A persisted format: a line with its name and version, a line with the CRC-32 of the rest, and a KeptOrders
// message (src/proto/kept.proto), whose fields keep their names; they are mapped here.
//
// Not thread-safe. Blocks for the time of the disk.
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "fleet/drains.h"

namespace pearchute::admin {

// The stages of a write, in their order. Tests end the process at each of them.
enum class WriteStage { begun, half_written, written, synced, renamed, folder_synced };
inline constexpr std::array all_write_stages = {WriteStage::begun,   WriteStage::half_written,
                                                WriteStage::written, WriteStage::synced,
                                                WriteStage::renamed, WriteStage::folder_synced};

// One file; each call opens it anew.
class DirectivesFile {
 public:
  using StageObserver = std::function<void(WriteStage)>;

  // A directive as it was when it was written.
  struct PersistedDirective {
    fleet::DrainDirective directive;
    fleet::Duration remaining{};  // of its lease; negative where it has run out
  };
  // `error` says what is wrong with a damaged file; it has no directives then.
  struct ReadResult {
    bool damaged = false;  // such a file is set aside, with `.damaged` behind its name
    std::string error;
    std::vector<PersistedDirective> directives;
  };

  // `observe_stage` is called as each write reaches a stage; for tests.
  explicit DirectivesFile(std::string path, StageObserver observe_stage = {});

  // No directives where there is no such file. `unix_now` is the time by the wall clock, in which leases are
  // kept. Throws ResourceShortage where the file can't be read now.
  ReadResult read(std::chrono::milliseconds unix_now) const;

  // `now`, by the clock of the directives, and `unix_now` are the same moment. False where the file can't be
  // written; it is as it was then, and `error` says why.
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
