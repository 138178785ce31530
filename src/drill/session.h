// The simulator's side of the workload managers: reads batches of events, calls the instance that each is
// for, and writes what the instance does as the batch's reply. It decides nothing.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include "core/types.h"
#include "fields.h"

namespace pearchute::drill {

class Instance;

class Session {
 public:
  Session(std::istream& in, std::ostream& out);
  ~Session();
  // Serves batches until the input ends. Throws Malformed, with the line's number, on what is not the wire.
  void run();

 private:
  bool next_line();
  void serve_line();
  void read_pool();
  void launch();
  void decode_event(Instance& instance, std::string_view message);

  struct PoolEntry {
    EngineEndpoint engine;
    std::string zone, kind;
    std::optional<std::int64_t> started_at;
  };

  std::istream& in_;
  std::ostream& out_;
  std::string line_;
  std::uint64_t line_number_ = 0;
  Fields fields_;
  Duration clock_{};
  std::string reply_;
  std::optional<std::int64_t> reply_for_;  // whose actions the reply's last lines are
  std::optional<std::int64_t> addressed_;
  std::map<std::int64_t, std::vector<PoolEntry>> pools_;
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;

  friend class Instance;
};

}  // namespace pearchute::drill
