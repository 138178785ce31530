// One instance under its agent: kept running with back-off, adopted after the agent's own restart, and taken
// through a step (drain, resume, restart, another command) under a claim. What a half-done step becomes when
// its claim ends is stated with the step. It knows no process, socket, file or clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pearchute::fleet {

using Span = std::chrono::microseconds;

// As it is known; every one has a word for operators.
enum class Condition {
  unseen,    // the agent has just started and has not looked yet
  down,      // no process of ours, and none is wanted or it waits for its back-off
  starting,  // a process of ours that does not serve yet
  serving,
  draining,
  drained,
  ending,   // asked to end
  foreign,  // somebody else has its address: nothing is started, nothing of that one's is ended
};
std::string_view word_for(Condition condition);

enum class StepKind { drain, resume, restart, change };
enum class Fallback { serve_again, finish };
enum class StepEnd { done, time_up, fell_back };

struct Step {
  std::string operation;
  std::uint64_t fence = 0;
  StepKind kind = StepKind::restart;
  Fallback fallback = Fallback::serve_again;
  int version = 0;      // of the command, for a change
  Span drain_within{};  // until what is open has ended; it ends then all the same
  Span up_within{};     // from its end until it serves
};

class Life {
 public:
  // What a look at the instance shows.
  struct Look {
    bool ours = false;     // the process that was started for it is alive
    bool answers = false;  // somebody answers at its admin address
    bool is_ours = false;  // and it is that process
    bool serves = false;   // its phase
    bool drains = false, drained = false;
    int version = 0;  // of the command by which it was started, as kept
  };
  class Host {
   public:
    virtual ~Host() = default;
    // Before an act: what is to be known of it after a kill. False where that can't be written, and the act
    // does not happen.
    virtual bool intend(const std::string& what, const std::optional<Step>& step) = 0;
    virtual void start(int version) = 0;
    virtual void ask_to_end(Span within) = 0;
    virtual void call_off_end() = 0;
    virtual void order_drain(bool drains, const Step& step) = 0;
    virtual void terminate() = 0;  // SIGTERM
    virtual void kill() = 0;       // SIGKILL
    virtual void step_ended(const Step& step, StepEnd end, const std::string& word) = 0;
  };
  // `wanted`: it is to run; else it stays down until a step says so.
  Life(Host& host, bool wanted, int version) : host_(host), wanted_(wanted), version_(version) {}
  Life(const Life&) = delete;
  Life& operator=(const Life&) = delete;

  // Some ten times a second, and whenever something is known to have changed.
  void looked(Span now, const Look& look);
  // Refused while another step is under way. A repeat of the step under way is taken for it, and one of the
  // last that ended is told its end again: nothing is done twice for a message that comes twice.
  bool step(Span now, const Step& step);
  // The claim on it has ended, however: a half-done step becomes its fallback.
  void claim_ended(Span now);
  // How the last step ended.
  struct Past {
    Step step;
    StepEnd end = StepEnd::done;
    std::string word;
  };
  // As kept, after the agent's own end: a step that was under way falls back.
  void remembered(const std::optional<Step>& under_way, const std::optional<Past>& last) {
    interrupted_ = under_way, last_ = last;
  }
  const std::optional<Past>& last() const { return last_; }

  Condition condition() const { return condition_; }
  bool wanted() const { return wanted_; }
  int version() const { return version_; }
  const std::optional<Step>& under_way() const { return step_; }
  int falls() const { return falls_; }
  Span back_off_until() const { return start_at_; }

 private:
  enum class Phase { none, draining, ending, starting };
  void start(Span now);
  void finish(StepEnd end, const std::string& word);
  void go_on(Span now, const Look& look);

  Host& host_;
  bool wanted_;
  int version_, version_before_ = 0;  // before the step under way
  Condition condition_ = Condition::unseen;
  std::optional<Step> step_, interrupted_;
  std::optional<Past> last_;
  Phase phase_ = Phase::none;
  Span phase_until_{}, started_at_{}, start_at_{};
  bool had_process_ = false, terminated_ = false, killed_ = false, falling_back_ = false;
  bool asked_ =
      false;  // to end, since its last start: that it goes is no fall, even where that was called off
  int falls_ = 0;
};

}  // namespace pearchute::fleet
