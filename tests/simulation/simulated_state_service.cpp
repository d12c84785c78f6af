#include "simulation/simulated_state_service.h"

namespace saddleslip::testing {

using protocol::Json;
using protocol::StateClient;

void SimulatedStateService::step() {
  expire_leases();
  apply_late_commits();
}

void SimulatedStateService::set_down(bool down) {
  down_ = down;
  if (down_) return;
  for (auto& [id, lease] : leases_) lease.expires_at = clock_.seconds() + lease.ttl;
}

bool SimulatedStateService::is_reachable_from(std::size_t controller) const {
  return !down_ && !network_.is_cut(controller_name(controller), "state");
}

StateClient::Got SimulatedStateService::get(std::size_t controller, const std::string& key) const {
  StateClient::Got got;
  if (!is_reachable_from(controller)) return got;
  got.answered = true;
  got.item.key = key;
  if (const Record* record = find(key))
    got.item = {key, record->value, base::Version(record->version)};
  return got;
}

const SimulatedStateService::Record* SimulatedStateService::find(const std::string& key) const {
  const auto at = records_.find(key);
  return at == records_.end() ? nullptr : &at->second;
}

StateClient::Committed SimulatedStateService::apply(const protocol::Transaction& txn) {
  StateClient::Committed result;
  for (const auto& [key, version] : txn.preconditions) {
    const Record* record = find(key);
    if ((record ? record->version : 0) != version.get()) result.failed.push_back(key);
  }
  result.revision = base::Revision(revision_);
  result.outcome = StateClient::Outcome::kConflict;
  if (!result.failed.empty()) return result;
  for (const auto& put : txn.writes) {
    if (put.lease && !leases_.contains(put.lease->get())) {
      result.outcome = StateClient::Outcome::kMalformed;
      return result;
    }
  }
  ++revision_;
  for (const auto& put : txn.writes)
    write(put.key, put.value ? *put.value : Json(), put.lease ? put.lease->get() : 0);
  result.revision = base::Revision(revision_);
  result.outcome = StateClient::Outcome::kDone;
  return result;
}

void SimulatedStateService::put(const std::string& key, const Json& value) {
  ++revision_;
  write(key, value, 0);
}

base::LeaseId SimulatedStateService::grant_lease(double ttl) {
  leases_[++last_lease_] = {ttl, clock_.seconds() + ttl};
  return base::LeaseId(last_lease_);
}

bool SimulatedStateService::renew_lease(base::LeaseId lease) {
  const auto at = leases_.find(lease.get());
  if (at == leases_.end()) return false;
  at->second.expires_at = clock_.seconds() + at->second.ttl;
  return true;
}

bool SimulatedStateService::delays_commit(std::size_t controller,
                                          const protocol::Transaction& txn) {
  const auto delay = delays_.find(controller);
  if (delay == delays_.end()) return false;
  late_commits_.push_back({clock_.seconds() + delay->second, txn});
  delays_.erase(delay);
  return true;
}

void SimulatedStateService::write(const std::string& key, const Json& value, std::uint64_t lease) {
  if (value.is_null()) {
    records_.erase(key);
  } else {
    records_[key] = {value, revision_, lease};
  }
  changes_.push_back({revision_, {key, value, base::Version(revision_)}, clock_.seconds()});
}

void SimulatedStateService::expire_leases() {
  if (down_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (clock_.seconds() < it->second.expires_at) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, record] : records_) {
      if (record.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) write(key, Json(), 0);
    it = leases_.erase(it);
  }
}

void SimulatedStateService::apply_late_commits() {
  for (std::size_t i = 0; i < late_commits_.size();) {
    if (clock_.seconds() < late_commits_[i].due_at) {
      ++i;
      continue;
    }
    apply(late_commits_[i].txn);
    late_commits_.erase(late_commits_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

}  // namespace saddleslip::testing
