// The parts of Controller that find machines which cannot reach their owners.
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

// A heartbeat is overdue after this many heartbeat intervals.
constexpr double kOverdueIntervals = 2.0;
// A machine whose controller does not respond needs a heartbeat interval and this time to find its
// new owner.
constexpr Seconds kWorkerFailoverTime{6.0};

}  // namespace

std::vector<MachineId> Controller::ownership_claims(Time now) {
  return ownership_claims_.claims(has_authority(now), now);
}

std::optional<Transaction> Controller::propose_ownership_claims(Time now) {
  if (!proposals_.needs_stored_claims(now)) return {};
  return proposals_.propose_claims(ownership_claims(now), ownership_.installed_view());
}

protocol::WorkerContact Controller::worker_contact(Time now) const {
  return contact_monitor_.contact(count_overdue(now), has_authority(now), now);
}

OverdueCounts Controller::count_overdue(Time now) const {
  OverdueCounts counts;
  counts.owned = machines_.size();
  for (const auto& [id, machine] : machines_) {
    if (is_overdue(machine, now)) ++counts.overdue;
  }
  for (const auto& [id, since] : owned_since_) {
    if (machines_.contains(id) || released_.contains(id) || cache_.assignments_on(id).empty())
      continue;
    ++counts.owned;
    const Seconds silence = base::between(std::max(since, listening_since()), now);
    if (silence > settings_.heartbeat_interval + kWorkerFailoverTime) ++counts.overdue;
  }
  return counts;
}

bool Controller::is_overdue(const Machine& machine, Time now) const {
  const Time last_contact_at = std::max(machine.last_heartbeat_at, listening_since());
  return base::between(last_contact_at, now) > settings_.heartbeat_interval * kOverdueIntervals;
}

std::vector<MachineId> Controller::silent_machines(Time now) const {
  std::vector<MachineId> silent;
  for (const auto& [id, machine] : machines_) {
    if (is_overdue(machine, now)) silent.push_back(id);
  }
  for (const auto& [id, assignments] : cache_.assignments_by_machine()) {
    if (owns(id) && !machines_.contains(id)) silent.push_back(id);
  }
  return silent;
}

MemberReport Controller::own_report(Time now) {
  MemberReport report;
  if (cache_.view()) report.claims = ownership_claims(now);
  report.worker_contact = worker_contact(now);
  if (report.worker_contact == protocol::WorkerContact::kLost) report.silent = silent_machines(now);
  return report;
}

}  // namespace saddleslip::coordination
