// What a workload manager keeps, by how long it lives: for a dispatch, a job, an engine, and a reservation
// type (which lives as long as the instance). Records only; what they mean for a choice stands in
// control.cpp.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "core/types.h"

namespace pearchute {

struct Attempt {
  EngineId engine;
  TimePoint sent{};
  TimePoint last_note{};
  double grant = 0;
  int threads = 0;
  bool out = true;
  bool stopping = false;
  bool overdue = false;
  bool behind_load = false;
  bool trial = false;
  bool home = false;  // to a home of its data set
  double fault = 0;   // what it counts against its engine; negative where the job was at fault
};

struct QueuedRequest {
  Request job;
  std::uint64_t turn = 0;  // order of arrival
  TimePoint taken{};
  TimePoint sla_end{};
  TimePoint end{};  // the final answer goes out by then
  double work_ms = 0;
  std::vector<Attempt> dispatches;
  int out = 0;
  int overtaken = 0;
  std::optional<TimePoint> away_since;                  // its client has gone, and may come again
  std::optional<TimePoint> first_uncertain_attempt_at;  // when the first dispatch that may have run was sent
  ZoneId uncertain_zone{-1};
  CellId uncertain_cell{};
  bool held = false;
  bool over = false;
  bool streaming = false;
};

// Why an engine was last left out.
enum class Trouble { none, errors, unreachable, unanswered, silent };

// Learned of an engine, or of the fleet as one.
struct Pace {
  double stretch = 1;  // time taken against the type's best, smoothed
  double open = 1;     // slots over their start
};

// Time taken against the type's best, smoothed, by where the engine stands for the job.
struct Paces {
  double home = 1, away = 1;  // a home of the data set, or not
  double near = 1, far = 1;   // in the own zone, or not
};

struct Engine {
  EngineEndpoint listed;
  bool known_up = false;
  TimePoint told{};           // when it was first listed, or listed with a new start
  TimePoint doubted_until{};  // its start may be later than it seems; until then it counts as cold
  double live_bytes = 0;
  int live_threads = 0;
  int dispatches = 0;
  double even_slots = 0;  // threads, this manager's part of the stated start
  Pace pace;
  double told_slots = 0;  // what its load report leaves open
  TimePoint told_at{Duration(-1'000'000'000)};
  double error_rate = 0;
  int strikes = 0;  // signs of trouble in a row
  TimePoint closed_until{};
  Trouble trouble = Trouble::none;
  bool on_trial = false;
  bool trying = false;  // a trial is out
  TimePoint last_word{};
  TimePoint last_full{Duration(-1'000'000'000)};
  struct RunsOn {
    TimePoint until{};
    double grant = 0;
    int threads = 0;
  };
  std::deque<RunsOn> runs_on;  // what has timed out here, and can't be called off there
  RequestId protected_for{};
  bool protecting = false;
  double protected_bytes = 0;
  std::deque<std::pair<TimePoint, double>> cold_sends;
  std::optional<double> others_bytes;
  std::map<DataSetId, int> loads;            // own loads that hold a data set there
  std::map<DataSetId, TimePoint> told_held;  // until when others' are taken to, as notes told
  std::set<std::pair<TimePoint, std::pair<RequestId, int>>> out;  // own dispatches, oldest first
  bool has_gone() const { return listed.state == EngineState::removed && out.empty(); }
};

struct Mean {
  double value = 0;
  double count = 0;
};

struct TypeFigures {
  RequestType type;
  Mean typical_work_ms;    // of the estimates, or of what is learned
  Mean typical_memory_mb;  // the same
  double work_bias = 1;
  double memory_bias = 1;
  double best_pace = 0;  // low quantile of time taken over ideal time
  double slow_pace = 0;  // high quantile of the same
};

// The jobs of one order key, in turn.
struct OrderLine {
  std::deque<RequestId> jobs;
  TimePoint rests_until{};
};

}  // namespace pearchute
