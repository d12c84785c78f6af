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
  for (auto& [id, lease] : leases_) lease.expires_at = clock_.seconds() + lease.ttl_s;
}

bool SimulatedStateService::is_reachable_from(std::size_t controller) const {
  return !down_ && !network_.is_cut(controller_name(controller), "state");
}

StateClient::GetResult SimulatedStateService::get(std::size_t controller,
                                                  const std::string& key) const {
  StateClient::GetResult response;
  if (!is_reachable_from(controller)) return response;
  response.answered = true;
  response.item.key = key;
  if (const Record* record = find(key))
    response.item = {key, record->value, base::Version(record->version)};
  return response;
}

const SimulatedStateService::Record* SimulatedStateService::find(const std::string& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

StateClient::CommitResult SimulatedStateService::apply(const protocol::Transaction& transaction) {
  StateClient::CommitResult result;
  for (const auto& [key, version] : transaction.preconditions) {
    const Record* record = find(key);
    if ((record ? record->version : 0) != version.get()) result.failed.push_back(key);
  }
  result.revision = base::Revision(revision_);
  result.outcome = StateClient::CommitOutcome::kConflict;
  if (!result.failed.empty()) return result;
  for (const auto& entry : transaction.writes) {
    if (entry.lease && !leases_.contains(entry.lease->get())) {
      result.outcome = StateClient::CommitOutcome::kMalformed;
      return result;
    }
  }
  ++revision_;
  for (const auto& entry : transaction.writes)
    write(entry.key, entry.value ? *entry.value : Json(), entry.lease ? entry.lease->get() : 0);
  result.revision = base::Revision(revision_);
  result.outcome = StateClient::CommitOutcome::kDone;
  return result;
}

void SimulatedStateService::put(const std::string& key, const Json& value) {
  ++revision_;
  write(key, value, 0);
}

base::LeaseId SimulatedStateService::grant_lease(double ttl_s) {
  leases_[++last_lease_] = {ttl_s, clock_.seconds() + ttl_s};
  return base::LeaseId(last_lease_);
}

bool SimulatedStateService::renew_lease(base::LeaseId lease) {
  const auto found = leases_.find(lease.get());
  if (found == leases_.end()) return false;
  found->second.expires_at = clock_.seconds() + found->second.ttl_s;
  return true;
}

bool SimulatedStateService::take_delayed_commit(std::size_t controller,
                                                const protocol::Transaction& transaction) {
  const auto delay = commit_delays_.find(controller);
  if (delay == commit_delays_.end()) return false;
  late_commits_.push_back({clock_.seconds() + delay->second, transaction});
  commit_delays_.erase(delay);
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
    apply(late_commits_[i].transaction);
    late_commits_.erase(late_commits_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

}  // namespace saddleslip::testing
