// The queue of requests that wait for an engine: oldest runnable first, with a bypass budget.
//
// A younger request may be sent before an older one that finds no room. One that has been bypassed more often
// than its budget is starved: an engine's memory is reserved for it as it becomes free (EngineLedger).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/engine.h"
#include "core/request_state.h"
#include "core/request_table.h"
#include "core/types.h"
#include "core/work_model.h"

namespace pearchute {

// Queued requests by arrival.
class RequestQueue {
 public:
  // Who decides on single requests, and sends them. Sending takes a request from the queue.
  class Dispatcher {
   public:
    virtual ~Dispatcher() = default;
    virtual bool may_start(TimePoint now, const RequestState& state) = 0;
    virtual bool is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const = 0;
    virtual double capacity_mb(const Engine& engine) const = 0;
    // False where no engine has room.
    virtual bool place(TimePoint now, RequestState& state) = 0;
  };
  // All must outlive it.
  RequestQueue(RequestTable& requests, const WorkModel& work, EngineMap& engines, Dispatcher& dispatcher)
      : requests_(requests), work_(work), engines_(engines), dispatcher_(dispatcher) {}

  std::size_t size() const { return queue_.size(); }
  void push(RequestState& state);
  void remove(RequestState& state);
  // Visits by arrival; the visitor may remove the request that it is given.
  template <class Visit>
  void visit(Visit visit) {
    for (auto at = queue_.begin(); at != queue_.end();) {
      RequestState& state = requests_.at((at++)->second);
      visit(state);
    }
  }
  // Sends what may start and finds room, oldest first, and reserves for the starved.
  void release(TimePoint now);
  // Sends the request that has just arrived where it finds room. It frees none, so nothing else is looked at
  // but what it bypasses.
  void release_newcomer(TimePoint now, RequestState& newcomer);

 private:
  void reserve_for_starved(TimePoint now, const RequestState& starved);

  RequestTable& requests_;
  const WorkModel& work_;
  EngineMap& engines_;
  Dispatcher& dispatcher_;
  std::map<std::uint64_t, RequestId> queue_;  // by arrival sequence
};

}  // namespace pearchute
