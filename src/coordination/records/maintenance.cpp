// What a controller does in each round besides placing tasks: silent machines, and services that
// move away from machines that are drained.
#include <algorithm>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

using protocol::Kind;

namespace {

constexpr Seconds kUnheardFor{0.3};
constexpr Seconds kLostReply{6.0};
constexpr Seconds kFindsOwner{6.0};  // beyond an interval, for an agent whose controller has ended
constexpr double kLeastLeaseShare = 0.35;   // of a worker lease, before silence counts
constexpr std::size_t kFewSilentShare = 5;  // one machine of so many may be silent by itself
constexpr double kReleasedAnyway = 6.0;     // worker leases of silence
constexpr Seconds kRoomToMove{1.5};
constexpr Seconds kSettled{35.0};  // a start that is undone sooner was none

}  // namespace

const std::vector<MachineId>& Controller::unheard_owned(Time now) {
  if (base::between(unheard_owned_at_, now) < kUnheardFor &&
      unheard_owned_at_ > view_installed_at_) {
    return unheard_owned_;
  }
  unheard_owned_at_ = now;
  unheard_owned_.clear();
  for (const auto& [id, tasks] : cache_.assigned()) {
    if (!machines_.contains(id) && owns(id)) unheard_owned_.push_back(id);
  }
  return unheard_owned_;
}

// Stops one service on a machine that is being emptied, if it finds room with its image elsewhere now.
void Controller::move_service_away(Machine& m, const Partitions& known, Time now) {
  const MachineId& id = m.last_heartbeat.machine;
  // One service at a time, and none that a user would still count as just started.
  const bool moving = std::any_of(m.evict.begin(), m.evict.end(), [&](const TaskId& t) {
    return cache_.assignments_on(id).contains(t);
  });
  if (moving) return;
  for (const auto& [task, since] : m.ran) {
    const Job* job = cache_.job(task.job);
    if (!job || job->record.spec.kind != Kind::kService || m.evict.contains(task) ||
        base::between(since, now) < kSettled) {
      continue;
    }
    // The leader's view of room is a second old: look again, or the service would wait for an
    // image, or for room.
    const auto& spec = job->record.spec;
    const auto takes = [&](const MachineStatus* r) {
      return r->open && r->id != id && r->tasks > 0 && r->free.fits(spec.request) &&
             may_run(spec, r->type, r->zone, r->spot) && r->has_image(spec.image);
    };
    const bool fits = std::any_of(known.begin(), known.end(), [&](const auto& partition) {
      return std::any_of(partition.second.begin(), partition.second.end(), takes);
    });
    if (!fits) continue;
    spdlog::info("{}/{} moves away from {}", task.job.get(), task.no, id.get());
    m.evict.insert(task);
    return;
  }
}

Controller::SilenceLimits Controller::silence_limits() const {
  const Seconds configured = settings_.tuning.silent_release;
  if (configured.count() > 0) return {configured, configured};
  const auto patience = [&](double heartbeats, Seconds more) {
    return std::max(settings_.heartbeat_interval * heartbeats + more,
                    settings_.worker_lease * kLeastLeaseShare);
  };
  // An agent whose response was lost waits for it, tries the next controller and is redirected here.
  const Seconds unheard = std::max(patience(1.75, Seconds(1.0)), kLostReply);
  // One that gets no responses sends less often, since it goes from controller to controller.
  return {unheard, patience(2.5, Seconds(2.0))};
}

// Requests the release of cordoned machines that are empty, and moves services off draining ones.
void Controller::progress_drains(Time now) {
  std::optional<Partitions> known;
  for (auto& [id, m] : machines_) {
    m.release_requested = m.cordoned && cache_.assignments_on(id).empty() && !capacity(m).active;
    if (!m.draining || !is_schedulable(m, now)) continue;
    if (!known) known = partitions(now, kRoomToMove);
    move_service_away(m, *known, now);
  }
}

Controller::SilenceCensus Controller::take_silence_census(Time now) {
  const SilenceLimits limits = silence_limits();
  const Seconds interval = settings_.heartbeat_interval;
  SilenceCensus census;
  census.owned = machines_.size();
  for (auto& [id, m] : machines_) {
    const bool is_past_notice = m.taken_at && now > *m.taken_at;
    // While this controller had no authority, agents went from one to the next: that is no silence.
    const Seconds unheard = base::between(std::max(m.last_heartbeat_at, listening_since()), now);
    const bool is_silent = unheard > (is_past_notice ? interval * 2.0 : limits.unheard);
    // Heartbeats that arrive while no response does, or late copies of a dead machine's.
    const bool is_half_open =
        m.is_half_open() &&
        base::between(std::max(*m.half_open_since, listening_since()), now) > limits.unanswered;
    if (is_silent || is_half_open) census.silent.insert(id);
    if (is_silent || is_half_open || unheard > interval * storage::kOverdue) ++census.overdue;
  }
  for (const MachineId& id : unheard_owned(now)) {
    if (machines_.contains(id) || released_.contains(id) || cache_.assignments_on(id).empty())
      continue;
    ++census.owned;
    const Time since = owned_since_.try_emplace(id, now).first->second;
    const Seconds unheard = base::between(std::max(since, listening_since()), now);
    // Agents whose controller has ended need a while to find their new one.
    const Seconds finding_owner = interval + kFindsOwner;
    if (unheard > std::max(limits.unheard, finding_owner)) census.silent.insert(id);
    if (unheard > finding_owner) ++census.overdue;
  }
  return census;
}

// One silent machine is most likely dead, and its release is the fastest proof. When many fall silent
// at once the network is at fault: they may all be well, and come back, not all in the same instant.
// Overdue machines count as well: they do not fall silent at the same time, and the first fifth of a
// zone that is cut off must not be released before the rest is missed.
bool Controller::may_release_silent(const SilenceCensus& census, Time now) {
  const std::size_t few = std::max<std::size_t>(1, census.owned / kFewSilentShare);
  if (census.overdue > few) many_silent_at_ = now;
  return !many_silent_at_ || base::between(*many_silent_at_, now) >
                                 settings_.worker_lease * 0.5 + settings_.heartbeat_interval * 4.0;
}

void Controller::update_silent_machines(const SilenceCensus& census, Time now) {
  const bool may_release = may_release_silent(census, now);
  std::set<MachineId> next;
  for (const MachineId& id : census.silent) {
    const auto at = machines_.find(id);
    const Time since = at == machines_.end()        ? owned_since_[id]
                       : at->second.half_open_since ? *at->second.half_open_since
                                                    : at->second.last_heartbeat_at;
    const bool is_known = silent_machines_.contains(id);
    const bool is_long = base::between(since, now) > settings_.worker_lease * kReleasedAnyway;
    if (!may_release && !is_known && !is_long) continue;
    if (!is_known) spdlog::info("silent machine to be released machine={}", id.get());
    next.insert(id);
  }
  silent_machines_ = std::move(next);
}

void Controller::housekeeping(Time now) {
  progress_drains(now);
  update_silent_machines(take_silence_census(now), now);
  evaluate_failures(now);
  watch_contact(now);
  attempts_.forget_finished_jobs();
}

}  // namespace saddleslip::coordination
