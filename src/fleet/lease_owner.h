// What one agent decides: its instances' lives and the claims on them, with every intent on disk before its
// act and every result after it. The agent's driver gives it eyes and hands; it knows no process, file or
// socket.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "fleet/claims.h"
#include "fleet/instance_lifecycle.h"

namespace pearchute::fleet {

class LeaseOwner final : public Claims::Host {
 public:
  // Of one instance, as it is on disk.
  struct Kept {
    bool wanted = true;
    int version = 0;
    std::uint64_t last_fence = 0;
    std::optional<Claim> claim;
    Span lease{};
    std::optional<Step> step;  // under way
    std::optional<Life::Past> past;
  };
  class Host {
   public:
    virtual ~Host() = default;
    // All or none, to survive a kill; false where it can't be written.
    virtual bool write(const std::map<std::string, Kept>& kept, const std::string& why) = 0;
    virtual void start(const std::string& instance, int version) = 0;
    virtual void ask_to_end(const std::string& instance, Span within) = 0;
    virtual void call_off_end(const std::string& instance) = 0;
    virtual void order_drain(const std::string& instance, bool drains, const Step& step) = 0;
    virtual void terminate(const std::string& instance) = 0;
    virtual void kill(const std::string& instance) = 0;
    virtual void step_ended(const std::string& instance, const Step& step, StepEnd end,
                            const std::string& word) = 0;
    virtual void claim_over(const std::string& instance, const Claim& claim, Claims::Ended why) = 0;
    virtual void wake_at(Span when) = 0;
  };
  explicit LeaseOwner(Host& host);
  ~LeaseOwner() override;

  void owns(Span now, const std::string& instance, const Kept& kept);
  // False where it is claimed, or a step is under way: it stays.
  bool disown(Span now, const std::string& instance);
  Claims::Answer ask(Span now, const ClaimAsk& ask);
  bool renew(Span now, const std::string& operation, const std::vector<std::string>& instances, Span lease);
  void release(Span now, const std::string& operation);
  // Under a live claim of that operation with that fence only; else `fault` says why not.
  bool step(Span now, const std::string& instance, const Step& step, std::string& fault);
  void looked(Span now, const std::string& instance, const Life::Look& look);
  void woken(Span now);

  const Claims& claims() const { return claims_; }
  const Life* life(const std::string& instance) const;
  // No step is under way anywhere.
  bool settled() const;

 private:
  class One;
  bool keep(const std::map<std::string, Claim>& granted) override;
  void claim_ended(const std::string& instance, const Claim& claim, Claims::Ended why) override;
  void wake_at(Span when) override { host_.wake_at(when); }
  Kept kept_of(const One& one) const;

  Host& host_;
  Claims claims_;
  std::map<std::string, std::unique_ptr<One>> all_;
  Span now_{};  // of the event at hand
};

}  // namespace pearchute::fleet
