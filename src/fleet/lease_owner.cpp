#include "fleet/lease_owner.h"

#include <algorithm>

namespace pearchute::fleet {

// One instance, between its life and the agent's hands.
class LeaseOwner::One final : public Life::Host {
 public:
  One(LeaseOwner& keeper, std::string name, const Kept& kept)
      : lease_owner_(keeper), name_(std::move(name)), kept_(kept), life_(*this, kept.wanted, kept.version) {
    life_.remembered(kept.step, kept.past);
  }
  Life& life() { return life_; }
  const Life& life() const { return life_; }
  Kept& kept() { return kept_; }
  const Kept& kept() const { return kept_; }

 private:
  bool intend(const std::string& what, const std::optional<Step>& step) override {
    Kept next = lease_owner_.kept_of(*this);
    next.step = step;
    if (!lease_owner_.host_.write({{name_, next}}, what)) return false;
    kept_ = next;
    return true;
  }
  void start(int version) override { lease_owner_.host_.start(name_, version); }
  void ask_to_end(Span within) override { lease_owner_.host_.ask_to_end(name_, within); }
  void call_off_end() override { lease_owner_.host_.call_off_end(name_); }
  void order_drain(bool drains, const Step& step) override {
    lease_owner_.host_.order_drain(name_, drains, step);
  }
  void terminate() override { lease_owner_.host_.terminate(name_); }
  void kill() override { lease_owner_.host_.kill(name_); }
  void step_ended(const Step& step, StepEnd end, const std::string& word) override {
    // Should this not get written, the step is found under way after a kill, and falls back: it does no harm.
    kept_.step.reset();
    kept_ = lease_owner_.kept_of(*this);
    lease_owner_.host_.write({{name_, kept_}}, "step ended");
    lease_owner_.host_.step_ended(name_, step, end, word);
  }

  LeaseOwner& lease_owner_;
  const std::string name_;
  Kept kept_;
  Life life_;
};

LeaseOwner::LeaseOwner(Host& host) : host_(host), claims_(*this) {}
LeaseOwner::~LeaseOwner() = default;

LeaseOwner::Kept LeaseOwner::kept_of(const One& one) const {
  Kept kept = one.kept();
  kept.wanted = one.life().wanted(), kept.version = one.life().version();
  kept.past = one.life().last();
  return kept;
}

void LeaseOwner::owns(Span now, const std::string& instance, const Kept& kept) {
  all_[instance] = std::make_unique<One>(*this, instance, kept);
  claims_.owns(now, instance, kept.last_fence, kept.claim, kept.lease);
}

bool LeaseOwner::disown(Span now, const std::string& instance) {
  now_ = now;
  const auto at = all_.find(instance);
  if (at == all_.end()) return true;
  if (at->second->life().under_way() || !claims_.disown(now, instance)) return false;
  all_.erase(at);
  return true;
}

Claims::Answer LeaseOwner::ask(Span now, const ClaimAsk& ask) {
  now_ = now;
  return claims_.ask(now, ask);
}

bool LeaseOwner::renew(Span now, const std::string& operation, const std::vector<std::string>& instances,
                       Span lease) {
  now_ = now;
  return claims_.renew(now, operation, instances, lease);
}

void LeaseOwner::release(Span now, const std::string& operation) {
  now_ = now;
  claims_.release(now, operation);
}

bool LeaseOwner::keep(const std::map<std::string, Claim>& granted) {
  std::map<std::string, Kept> write;
  for (const auto& [instance, claim] : granted) {
    Kept kept = kept_of(*all_.at(instance));
    kept.claim = claim, kept.lease = claim.until - now_;
    kept.last_fence = std::max(kept.last_fence, claim.fence);
    write[instance] = kept;
  }
  if (!host_.write(write, "claim")) return false;
  for (const auto& [instance, kept] : write) all_.at(instance)->kept() = kept;
  return true;
}

void LeaseOwner::claim_ended(const std::string& instance, const Claim& claim, Claims::Ended why) {
  One& one = *all_.at(instance);
  one.kept().claim.reset();
  host_.write({{instance, kept_of(one)}}, "claim ended");
  host_.claim_over(instance, claim, why);
  // A step that its own coordinator gives back goes on to its end: nobody else is waiting for the instance.
  if (why != Claims::Ended::released) one.life().claim_ended(now_);
}

bool LeaseOwner::step(Span now, const std::string& instance, const Step& step, std::string& fault) {
  now_ = now;
  claims_.woken(now);
  const auto at = all_.find(instance);
  if (at == all_.end()) return fault = "not this agent's", false;
  if (!claims_.live(now, instance, step.fence)) {
    fault = "its claim is not live: fence " + std::to_string(step.fence) + ", the last is " +
            std::to_string(claims_.last_fence(instance));
    return false;
  }
  if (claims_.claim_on(now, instance)->operation != step.operation)
    return fault = "claimed by another operation", false;
  if (at->second->life().step(now, step)) return true;
  fault = at->second->life().under_way()
              ? "another step is under way"
              : "its state is " + std::string(word_for(at->second->life().condition()));
  return false;
}

void LeaseOwner::looked(Span now, const std::string& instance, const Life::Look& look) {
  now_ = now;
  claims_.woken(now);
  if (const auto at = all_.find(instance); at != all_.end()) at->second->life().looked(now, look);
}

void LeaseOwner::woken(Span now) {
  now_ = now;
  claims_.woken(now);
}

const Life* LeaseOwner::life(const std::string& instance) const {
  const auto at = all_.find(instance);
  return at == all_.end() ? nullptr : &at->second->life();
}

bool LeaseOwner::settled() const {
  return std::ranges::all_of(all_, [](const auto& one) { return !one.second->life().under_way(); });
}

}  // namespace pearchute::fleet
