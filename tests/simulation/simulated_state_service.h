// The state service of a simulated cluster: a versioned store with leases, conditional transactions
// and an ordered history of changes. It can be down, lose the answer to a commit, or carry a commit
// out late.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "protocol/clients.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_network.h"

namespace saddleslip::testing {

class SimulatedStateService {
 public:
  struct Record {
    protocol::Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;  // 0: it belongs to no lease
  };
  struct Change {
    std::uint64_t revision;
    protocol::Item item;
    double changed_at;
  };

  SimulatedStateService(const SimulatedClock& clock, const SimulatedNetwork& network)
      : clock_(clock), network_(network) {}

  // Expires leases and carries out the late commits that are due.
  void step();

  // While it is down nobody reaches it and no lease expires. As it comes up all leases begin anew.
  void set_down(bool down);
  bool is_down() const { return down_; }
  bool is_reachable_from(std::size_t controller) const;

  // Reads one record. Unanswered if the controller does not reach the service.
  protocol::StateClient::Got get(std::size_t controller, const std::string& key) const;
  // The record under this key; null: there is none.
  const Record* find(const std::string& key) const;
  const std::map<std::string, Record>& records() const { return records_; }
  const std::vector<Change>& changes() const { return changes_; }
  std::uint64_t revision() const { return revision_; }

  // Carries out a transaction if its preconditions hold and its leases live.
  protocol::StateClient::Committed apply(const protocol::Transaction& txn);
  // Writes a record that no controller wrote.
  void put(const std::string& key, const protocol::Json& value);

  base::LeaseId grant_lease(double ttl);
  // False: the lease has expired.
  bool renew_lease(base::LeaseId lease);

  // The answer to this controller's next commit is lost.
  void lose_next_answer(std::size_t controller) { lost_answers_.insert(controller); }
  // Is the answer to the commit that was just carried out lost? Holds for one commit.
  bool loses_answer(std::size_t controller) { return lost_answers_.erase(controller) > 0; }
  // This controller's next commit is carried out so much later, and is not answered.
  void delay_next_commit(std::size_t controller, double seconds) { delays_[controller] = seconds; }
  bool has_announced_delays() const { return !delays_.empty(); }
  // Takes over a commit that is to be delayed. False: this one is not.
  bool delays_commit(std::size_t controller, const protocol::Transaction& txn);

 private:
  struct Lease {
    double ttl = 0, expires_at = 0;
  };
  struct LateCommit {
    double due_at;
    protocol::Transaction txn;
  };

  void write(const std::string& key, const protocol::Json& value, std::uint64_t lease);
  void expire_leases();
  void apply_late_commits();

  const SimulatedClock& clock_;
  const SimulatedNetwork& network_;
  std::map<std::string, Record> records_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_lease_ = 0;
  bool down_ = false;
  std::set<std::size_t> lost_answers_;
  std::map<std::size_t, double> delays_;
  std::vector<LateCommit> late_commits_;
};

}  // namespace saddleslip::testing
