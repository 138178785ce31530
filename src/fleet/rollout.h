// A rollout as its coordinator sees it: claims taken in one order, all or none; instances stepped within the
// limits; a gate between batches; pause, resume, abort, and the way back. It decides what is asked of which
// agent next, and knows no agent, socket, file or clock. Each step on an instance is its own agent's; the
// coordinator may vanish at any point, and what it began ends by the owners' leases and fallbacks.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/instance_lifecycle.h"

namespace pearchute::fleet {

struct Target {
  std::string instance, agent, zone;
};

struct RolloutPlan {
  std::string id, who;
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;
  int version = 0, version_before = 0;  // of a change, and of the way back
  std::vector<Target> targets;          // stepped in this order, as the limits allow
  int at_once = 1;
  int batch = 0;                             // instances between two gates; 0: no gate
  std::map<std::string, int> least_serving;  // by zone; one that is not named: none
  Span warm{};                               // one that came back counts as serving after this
  Span gate{};                               // how long service is looked at between batches
  double margin = 0.02;                      // how far the share done on time may fall
  int failures = 0;                          // that are borne before the rollout stops
  bool reverts = false;                      // a change that fails more often goes back by itself
  bool take_over = false;
  Span lease = std::chrono::seconds(30);
  Span drain_within = std::chrono::seconds(30), up_within = std::chrono::seconds(30);
};

class Rollout {
 public:
  enum class State {
    planned,
    claiming,
    running,
    gate,      // a batch is through; service is looked at
    paused,    // nothing new is begun
    aborting,  // what has begun is waited for
    done,
    aborted,
    failed,  // stopped by its own rules; the word says which
  };
  enum class Stage { waiting, asked, warming, done, failed, unknown };

  class Host {
   public:
    virtual ~Host() = default;
    // To be written before anything else happens; false where that fails.
    virtual bool keep(State state) = 0;
    virtual void ask_claims(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void renew(const std::string& agent, const std::vector<std::string>& instances) = 0;
    virtual void release(const std::string& agent) = 0;
    virtual void step(const std::string& agent, const std::string& instance, const Step& step) = 0;
    virtual void ask_fleet() = 0;  // answered by seen() for each instance, and by service()
    virtual void told(std::string_view what) = 0;
  };

  Rollout(Host& host, RolloutPlan plan);
  Rollout(const Rollout&) = delete;
  Rollout& operator=(const Rollout&) = delete;

  void begin(Span now);
  // `sent` is when the ask or the renewal left here: the lease counts from then, so that this side gives a
  // claim up no later than its owner does.
  void claims_answered(Span now, Span sent, const std::string& agent, bool granted,
                       const std::map<std::string, std::uint64_t>& fences, const std::string& holder);
  void renewed(Span now, Span sent, const std::string& agent, bool live);
  void step_answered(Span now, const std::string& instance, bool accepted, const std::string& fault);
  void step_ended(Span now, const std::string& instance, const Step& step, StepEnd end,
                  const std::string& word);
  // Of all instances of the fleet, whether targets or not.
  void seen(Span now, const std::string& instance, const std::string& zone, Condition condition);
  void service(Span now, double share_done);
  void pause(Span now);
  void resume(Span now);
  void abort(Span now);
  void roll_back(Span now);  // what was changed goes back to the version before
  void woken(Span now);      // some five times a second
  // From the disk, after its coordinator's own end: paused, with no claim; what has become of each is asked.
  void remembered(Span now, const std::map<std::string, Stage>& stages);

  State state() const { return state_; }
  const std::string& word() const { return word_; }
  const RolloutPlan& plan() const { return plan_; }
  std::map<std::string, Stage> stages() const;
  std::map<std::string, std::string> words() const;
  bool over() const;
  bool going_back() const { return going_back_; }
  // Until when claims at that agent are gone by here; nothing where there are none.
  std::optional<Span> lease_until(const std::string& agent) const {
    const auto at = agents_.find(agent);
    if (at == agents_.end() || !at->second.granted) return std::nullopt;
    return at->second.lease_until;
  }

 private:
  struct One {
    Target target;
    Stage stage = Stage::waiting;
    std::uint64_t fence = 0;
    int version = 0;  // of the step that was last asked for
    Span asked{}, warm_at{};
    std::string word;
  };
  struct Agent {
    std::vector<std::string> instances;
    bool granted = false, lost = false;
    Span lease_until{}, renew_at{};
  };
  struct Seen {
    std::string zone;
    Condition condition = Condition::unseen;
    Span at{}, serving_since{};
    bool serving = false;
  };
  void enter(State state, std::string word);
  void claim_next(Span now);
  void go_on(Span now);
  bool may_step(Span now, const One& one) const;
  int serving_in(Span now, const std::string& zone) const;
  int under_way() const;
  void settle(Span now);
  void run_or_claim(Span now, State state, const std::string& word);
  void end(State state, const std::string& word);
  One* find(const std::string& instance);

  Host& host_;
  RolloutPlan plan_;
  State state_ = State::planned, resumed_to_ = State::running;
  std::string word_;
  std::vector<One> all_;
  std::map<std::string, Agent> agents_;  // in the one order in which claims are taken
  std::map<std::string, Seen> seen_;
  std::string claiming_;
  int failed_ = 0, since_gate_ = 0;
  bool going_back_ = false;
  std::optional<double> share_before_, share_now_;
  Span gate_until_{}, asked_fleet_at_{-1'000'000'000}, claim_until_{};
};

bool is_over(Rollout::State state);
std::string_view word_for(Rollout::State state);
std::string_view word_for(Rollout::Stage stage);

}  // namespace pearchute::fleet
