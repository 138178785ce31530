// An agent's eyes and hands: looks at its instances, starts and ends their processes, hands them orders, and
// keeps what its LeaseOwner decides on disk. Where the disk can't be used it observes, takes no orders, and
// its instances go on serving. It decides nothing itself.
#pragma once

#include <memory>
#include <string>

#include "admin/caller.h"
#include "agent/agent_config.h"
#include "agent/processes.h"
#include "fleet/lease_owner.h"
#include "net/driver.h"
#include "store/store.h"

namespace pearchute::agent {

class ProcessSupervisor final : public fleet::LeaseOwner::Host {
 public:
  ProcessSupervisor(net::Loop& loop, const AgentConfig& charter);
  ~ProcessSupervisor() override;

  // The charter is another: new instances are owned, commands change for the next start, and those that are
  // not named any more run on with nobody to look after them; what is claimed stays. Tells what was done, in
  // words.
  std::vector<std::string> change(const AgentConfig& next);
  // What operators ask; `fault` says why not.
  fleet::LeaseTable::Answer ask(const fleet::LeaseRequest& ask);
  bool renew(const std::string& operation, const std::vector<std::string>& instances, Duration lease);
  store::Store& store() { return store_; }
  void release(const std::string& operation);
  bool step(const std::string& instance, const fleet::Step& step, std::string& fault);

  struct Seen {
    std::string instance, zone;
    fleet::InstanceState condition = fleet::InstanceState::unseen;
    int version = 0, falls = 0;
    std::int64_t pid = 0;
    std::uint64_t done = 0, answered = 0;  // jobs, since its process started
    std::uint64_t open = 0, life = 0;      // jobs now; which process it is, by when it says that it started
    std::optional<fleet::Lease> claim;     // `until` as on this agent's clock
    std::optional<fleet::Step> under_way;
    std::optional<fleet::InstanceLifecycle::CompletedStep> last;
  };
  std::vector<Seen> seen() const;
  const std::string& trouble() const { return trouble_; }  // empty: it takes orders
  bool looked_at_all() const;                              // since the start
  bool settled() const { return !lease_owner_ || lease_owner_->settled(); }

 private:
  bool open_store();
  bool adopt(const std::string& instance, const store::ProcessRecord& process);
  struct Eye;
  void own(const std::string& name, const OwnedInstance& owned,
           const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& kept,
           const std::map<std::string, store::ProcessRecord>& processes);
  bool write(const std::map<std::string, fleet::LeaseOwner::PersistedInstance>& kept,
             const std::string& why) override;
  void start(const std::string& instance, int version) override;
  void request_shutdown(const std::string& instance, Duration within) override;
  void cancel_shutdown(const std::string& instance) override;
  void set_drain(const std::string& instance, bool drains, const fleet::Step& step) override;
  void terminate(const std::string& instance) override;
  void kill(const std::string& instance) override;
  void step_ended(const std::string& instance, const fleet::Step& step, fleet::StepEnd end,
                  const std::string& word) override;
  void lease_ended(const std::string& instance, const fleet::Lease& claim,
                   fleet::LeaseTable::EndReason why) override;
  void wake_at(Duration when) override;
  void look();
  void looked(const std::string& instance);

  net::Loop& loop_;
  AgentConfig config_;
  store::Store store_;
  Processes processes_;
  std::string trouble_;
  std::map<std::string, std::unique_ptr<Eye>> eyes_;
  std::unique_ptr<fleet::LeaseOwner> lease_owner_;  // none where it only observes
  std::optional<Duration> wake_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearchute::agent
