// The adapter between the operators' simulator and the workload managers: reads batches of events, passes
// each event to the manager that it addresses, and writes the actions of the managers as the reply to the
// batch. It makes no decisions.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>

#include "core/types.h"
#include "simulator_adapter/fields.h"

namespace pearchute::simulator_adapter {

class ManagerInstance;

// One simulation: the stream of batches, and the managers that it has launched.
class Session {
 public:
  // The streams outlive the session.
  Session(std::istream& in, std::ostream& out);
  ~Session();
  // Processes batches until the input ends. Throws Malformed, with the number of the line, where the input is
  // malformed, and SystemError where a reply cannot be written.
  void run();

 private:
  bool next_line();
  void process_line();
  void read_endpoint_list();
  void launch_manager();
  void decode_event(ManagerInstance& instance, std::string_view message);

  struct ListedEngine {
    EngineEndpoint engine;
    std::string zone, kind;
    std::optional<std::int64_t> started_at;
  };

  std::istream& in_;
  std::ostream& out_;
  std::string line_;
  std::uint64_t line_number_ = 0;
  Fields fields_;
  Duration clock_{};  // the simulated time of the batch
  std::string reply_;
  std::optional<std::int64_t> reply_manager_;  // the manager whose actions the last lines of the reply are
  std::optional<std::int64_t> addressed_manager_;                     // by the last AT of the batch
  std::map<std::int64_t, std::vector<ListedEngine>> endpoint_lists_;  // by bank
  std::map<std::int64_t, std::unique_ptr<ManagerInstance>> managers_;

  friend class ManagerInstance;
};

}  // namespace pearchute::simulator_adapter
