// The queue of requests that wait for an engine: the oldest runnable request first, with a bypass budget.
//
// A younger request may be sent before an older one for which no engine has room. A request that has been
// bypassed more often than its budget allows is starved: memory of one engine is reserved for it as it
// becomes free (EngineLedger).
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

// The queued requests in order of arrival.
class RequestQueue {
 public:
  // Decides on single requests and sends them. Sending a request removes it from the queue.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual bool may_start(TimePoint now, const RequestState& state) = 0;
    virtual bool is_eligible(TimePoint now, const RequestState& state, const Engine& engine) const = 0;
    virtual double capacity_mb(const Engine& engine) const = 0;
    // Sends the request if an engine has room for it; returns whether it was sent.
    virtual bool place(TimePoint now, RequestState& state) = 0;
  };
  // All must outlive it.
  RequestQueue(RequestTable& requests, const WorkModel& work, EngineMap& engines, Delegate& delegate)
      : requests_(requests), work_(work), engines_(engines), delegate_(delegate) {}

  std::size_t size() const { return queue_.size(); }
  void push(RequestState& state);
  void remove(RequestState& state);
  // Visits the requests in order of arrival. The visitor may remove the request that it is called with.
  template <class Visit>
  void visit(Visit visit) {
    for (auto at = queue_.begin(); at != queue_.end();) {
      RequestState& state = requests_.at((at++)->second);
      visit(state);
    }
  }
  // Sends the requests that may start and for which there is room, oldest first, and reserves memory for
  // starved ones.
  void release(TimePoint now);
  // Sends the newly arrived request if there is room. An arrival frees no capacity, so other requests are not
  // tried; only their bypass counts increase.
  void release_newcomer(TimePoint now, RequestState& newcomer);

 private:
  void reserve_for_starved(TimePoint now, const RequestState& starved);

  RequestTable& requests_;
  const WorkModel& work_;
  EngineMap& engines_;
  Delegate& delegate_;
  std::map<std::uint64_t, RequestId> queue_;  // by arrival sequence
};

}  // namespace pearchute
