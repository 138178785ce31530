// One line for each step of a request's life, so that an incident can be rebuilt from the log alone: taken,
// what it waits for, each attempt as it leaves, is given up and ends, and the final answer. Steps that keep
// an order or end badly have a large ration of their own; those of requests that simply succeed a smaller
// one. What a ration keeps back is counted in the next line. It decides nothing.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"
#include "net/log.h"

namespace pearchute::net {

// Why an attempt that has left is called off.
enum class CancelReason : std::size_t {
  client_left,
  time_is_up,
  answered,  // its request has its final answer
  moved,     // the module has something better for the request
  count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(CancelReason::count)>
    cancel_reason_names = {"client_left", "time_is_up", "answered", "moved"};

// Which attempt of which request, in the words that clients and engines use.
struct AttemptName {
  std::string_view request;
  int number = 0;  // from 1
  std::string_view engine;
  bool keeps_order = false;  // of a request in a class that keeps order by key
};

class RequestLog {
 public:
  // `came_earliest` and `came_latest` bound when its last byte came, as spans before now.
  void taken(std::string_view request, std::string_view type, OrderKey key, Duration time_left,
             Duration came_earliest, Duration came_latest);
  void waits(std::string_view request, std::string_view what);
  void leaves(const AttemptName& attempt, Duration told);
  void held_back(const AttemptName& attempt, std::string_view why);
  void called_off(const AttemptName& attempt, CancelReason reason);
  // An engine has said something about an attempt that had been called off by then.
  void crossed(const AttemptName& attempt, std::string_view word);
  void ended(const AttemptName& attempt, Outcome outcome, Duration elapsed);
  void rests(OrderKey key, Duration span);
  // `how` says what the answer means.
  void answered(std::string_view request, bool keeps_order, int status, std::string_view how, Duration age);
  void withdrawn(std::string_view request, std::string_view how, Duration age);

 private:
  LineRation ordinary_{400, 100}, notable_{2000, 400};  // lines at once, and a second
};

}  // namespace pearchute::net
