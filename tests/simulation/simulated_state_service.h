// The state service of a simulated cluster: a versioned store with leases, conditional transactions
// and an ordered history of changes. Its simulated faults are an outage, the lost answer to a
// commit, and a commit that is applied late.
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

// The simulated state service. All controllers share it; a controller whose link to it is cut
// cannot reach it.
class SimulatedStateService {
 public:
  // A stored value with the version of its last write and the lease that it expires with.
  struct Record {
    protocol::Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;  // 0 if the record belongs to no lease
  };
  // A write or removal of one record, with the revision and the time at which it happened.
  struct Change {
    std::uint64_t revision;
    protocol::Item item;
    double changed_at;
  };

  SimulatedStateService(const SimulatedClock& clock, const SimulatedNetwork& network)
      : clock_(clock), network_(network) {}

  // Expires leases and applies the late commits that are due.
  void step();

  // Starts or ends an outage. During an outage the service is unreachable and no lease expires; at
  // its end every lease gets its full TTL.
  void set_down(bool down);
  bool is_down() const { return down_; }
  bool is_reachable_from(std::size_t controller) const;

  // Reads one record. The result is marked as unanswered if the controller cannot reach the
  // service.
  protocol::StateClient::GetResult get(std::size_t controller, const std::string& key) const;
  // Returns the record under this key, or null if there is none.
  const Record* find(const std::string& key) const;
  const std::map<std::string, Record>& records() const { return records_; }
  const std::vector<Change>& changes() const { return changes_; }
  std::uint64_t revision() const { return revision_; }

  // Applies a transaction if its preconditions hold and its leases have not expired.
  protocol::StateClient::CommitResult apply(const protocol::Transaction& transaction);
  // Writes a record without a transaction, for records that no controller would write.
  void put(const std::string& key, const protocol::Json& value);

  // Grants a new lease that expires `ttl_s` seconds after its last renewal.
  base::LeaseId grant_lease(double ttl_s);
  // Renews the lease for its full TTL. Returns false if it has expired.
  bool renew_lease(base::LeaseId lease);

  // Loses the answer to this controller's next commit.
  void lose_next_answer(std::size_t controller) { lost_answers_.insert(controller); }
  // Returns whether the answer to the commit that was just applied is lost, and clears that fault.
  bool take_lost_answer(std::size_t controller) { return lost_answers_.erase(controller) > 0; }
  // Applies this controller's next commit after the given delay, without an answer.
  void delay_next_commit(std::size_t controller, double seconds) {
    commit_delays_[controller] = seconds;
  }
  // Returns whether a commit delay is set that no commit has used yet.
  bool has_pending_commit_delays() const { return !commit_delays_.empty(); }
  // Queues the controller's commit if a delay is set for it. Returns false if there is no delay.
  bool take_delayed_commit(std::size_t controller, const protocol::Transaction& transaction);

 private:
  struct Lease {
    double ttl_s = 0, expires_at = 0;
  };
  struct LateCommit {
    double due_at;
    protocol::Transaction transaction;
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
  std::map<std::size_t, double> commit_delays_;
  std::vector<LateCommit> late_commits_;
};

}  // namespace saddleslip::testing
