// Which machines can't reach their owners, as this controller sees it.
#include "coordination/controller.h"

namespace saddleslip::coordination {

namespace {

constexpr double kOverdueIntervals = 2.0;  // heartbeat intervals without a heartbeat
// Machines whose controller does not answer need this long, and a heartbeat interval, to find the next.
constexpr Seconds kWorkerRetry{6.0};

}  // namespace

std::vector<MachineId> Controller::ownership_claims(Time now) {
  return ownership_claims_.claims(has_authority(now), now);
}

std::optional<Transaction> Controller::propose_ownership_claims(Time now) {
  if (!proposals_.needs_claims_on_record(now)) return {};
  return proposals_.propose_claims(ownership_claims(now), ownership_.installed_view());
}

protocol::WorkerContact Controller::worker_contact(Time now) const {
  return contact_monitor_.contact(count_overdue(now), has_authority(now), now);
}

MachineCensus Controller::count_overdue(Time now) const {
  MachineCensus census;
  census.owned = machines_.size();
  for (const auto& [id, m] : machines_) {
    if (is_overdue(m, now)) ++census.overdue;
  }
  for (const auto& [id, since] : owned_since_) {
    if (machines_.contains(id) || released_.contains(id) || cache_.assignments_on(id).empty())
      continue;
    ++census.owned;
    const Seconds missed = base::between(std::max(since, listening_since()), now);
    if (missed > settings_.heartbeat_interval + kWorkerRetry) ++census.overdue;
  }
  return census;
}

bool Controller::is_overdue(const Machine& m, Time now) const {
  const Time last_heard_at = std::max(m.last_heartbeat_at, listening_since());
  return base::between(last_heard_at, now) > settings_.heartbeat_interval * kOverdueIntervals;
}

std::vector<MachineId> Controller::silent_machines(Time now) const {
  std::vector<MachineId> silent;
  for (const auto& [id, m] : machines_) {
    if (is_overdue(m, now)) silent.push_back(id);
  }
  for (const auto& [id, assignments] : cache_.assigned()) {
    if (owns(id) && !machines_.contains(id)) silent.push_back(id);
  }
  return silent;
}

MemberReport Controller::own_report(Time now) {
  MemberReport report;
  if (cache_.view()) report.claims = ownership_claims(now);
  report.contact = worker_contact(now);
  if (report.contact == protocol::WorkerContact::kLost) report.silent = silent_machines(now);
  return report;
}

}  // namespace saddleslip::coordination
