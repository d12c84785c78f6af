// The maintenance that a controller does in each round besides placing tasks: it detects silent
// machines and moves services off machines that are being drained.
#include <algorithm>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

using protocol::Kind;

namespace {

// How long the list of owned machines without a heartbeat is reused before it is computed again.
constexpr Seconds kOwnedWithoutHeartbeatMaxAge{0.3};
// How long an agent whose response was lost may take to report again.
constexpr Seconds kLostResponseTimeout{6.0};
// How long, beyond one heartbeat interval, an agent whose controller ended may take to find its new
// owner.
constexpr Seconds kOwnerSearchTime{6.0};
// A machine counts as silent only after this share of a worker lease at the earliest.
constexpr double kMinLeaseShare = 0.35;
// The number of owned machines is divided by this to get how many may be silent independently of
// each other. More at once indicate a network fault.
constexpr std::size_t kMachinesPerExpectedSilent = 5;
// A machine that is silent for longer than this, in worker leases, is released in any case.
constexpr double kUnconditionalReleaseLeases = 6.0;
// Peers whose last status is older than this are ignored when services are moved.
constexpr Seconds kMaxPeerStatusAge{1.5};
// A service is moved only after running this long: a start that is undone sooner does not count as
// one.
constexpr Seconds kMinRunTimeBeforeMove{35.0};

}  // namespace

const std::vector<MachineId>& Controller::owned_without_heartbeat(Time now) {
  if (base::between(owned_without_heartbeat_at_, now) < kOwnedWithoutHeartbeatMaxAge &&
      owned_without_heartbeat_at_ > view_installed_at_) {
    return owned_without_heartbeat_;
  }
  owned_without_heartbeat_at_ = now;
  owned_without_heartbeat_.clear();
  for (const auto& [id, tasks] : cache_.assignments_by_machine()) {
    if (!machines_.contains(id) && owns(id)) owned_without_heartbeat_.push_back(id);
  }
  return owned_without_heartbeat_;
}

// Stops one service on a machine that is being drained, if another machine has room for it and
// holds its image.
void Controller::move_service_away(Machine& machine, const Partitions& known_partitions, Time now) {
  const MachineId& id = machine.last_heartbeat.machine;
  // Moves one service at a time, and none that started so recently that its user would not count it
  // as started.
  const bool is_moving =
      std::any_of(machine.tasks_to_evict.begin(), machine.tasks_to_evict.end(),
                  [&](const TaskId& task) { return cache_.assignments_on(id).contains(task); });
  if (is_moving) return;
  for (const auto& [task, since] : machine.running_since) {
    const Job* job = cache_.job(task.job);
    if (!job || job->record.spec.kind != Kind::kService || machine.tasks_to_evict.contains(task) ||
        base::between(since, now) < kMinRunTimeBeforeMove) {
      continue;
    }
    // The leader's capacity data is up to a second old, so it is checked again here: otherwise the
    // service might have to wait for capacity or for an image.
    const auto& spec = job->record.spec;
    const auto can_host = [&](const MachineStatus* candidate) {
      return candidate->open && candidate->id != id && candidate->tasks > 0 &&
             candidate->free.fits(spec.request) &&
             may_run(spec, candidate->type, candidate->zone, candidate->spot) &&
             candidate->has_image(spec.image);
    };
    const bool fits =
        std::any_of(known_partitions.begin(), known_partitions.end(), [&](const auto& partition) {
          return std::any_of(partition.second.begin(), partition.second.end(), can_host);
        });
    if (!fits) continue;
    spdlog::info("service is moved to another machine: task={}/{} machine={}", task.job.get(),
                 task.no, id.get());
    machine.tasks_to_evict.insert(task);
    return;
  }
}

Controller::SilenceLimits Controller::silence_limits() const {
  const Seconds configured = settings_.tuning.silent_release;
  if (configured.count() > 0) return {configured, configured};
  const auto limit_for = [&](double heartbeats, Seconds margin) {
    return std::max(settings_.heartbeat_interval * heartbeats + margin,
                    settings_.worker_lease * kMinLeaseShare);
  };
  // An agent whose response was lost first waits for it, then tries the next controller, which
  // redirects it to this one.
  const Seconds heartbeat_limit = std::max(limit_for(1.75, Seconds(1.0)), kLostResponseTimeout);
  // An agent that receives no responses reports less often, since it tries one controller after
  // another.
  return {heartbeat_limit, limit_for(2.5, Seconds(2.0))};
}

// Requests the release of cordoned machines that are empty, and moves services off machines that
// are being drained.
void Controller::progress_drains(Time now) {
  std::optional<Partitions> known_partitions;
  for (auto& [id, machine] : machines_) {
    machine.release_requested =
        machine.cordoned && cache_.assignments_on(id).empty() && !capacity(machine).active;
    if (!machine.draining || !is_schedulable(machine, now)) continue;
    if (!known_partitions) known_partitions = partitions(now, kMaxPeerStatusAge);
    move_service_away(machine, *known_partitions, now);
  }
}

Controller::SilenceCounts Controller::count_silent_machines(Time now) {
  const SilenceLimits limits = silence_limits();
  const Seconds interval = settings_.heartbeat_interval;
  SilenceCounts counts;
  counts.owned = machines_.size();
  for (auto& [id, machine] : machines_) {
    const bool is_past_notice = machine.reclaim_at && now > *machine.reclaim_at;
    // While this controller had no authority, agents tried other controllers, so that time does not
    // count as silence.
    const Seconds silence_duration =
        base::between(std::max(machine.last_heartbeat_at, listening_since()), now);
    const bool is_silent =
        silence_duration > (is_past_notice ? interval * 2.0 : limits.without_heartbeat);
    // A half-open machine: its heartbeats arrive but responses do not reach it, or the heartbeats
    // are late copies from a dead machine.
    const bool is_half_open = machine.is_half_open() &&
                              base::between(std::max(*machine.half_open_since, listening_since()),
                                            now) > limits.without_response;
    if (is_silent || is_half_open) counts.silent.insert(id);
    if (is_silent || is_half_open ||
        silence_duration > interval * storage::kHeartbeatOverdueIntervals)
      ++counts.overdue;
  }
  for (const MachineId& id : owned_without_heartbeat(now)) {
    if (machines_.contains(id) || released_.contains(id) || cache_.assignments_on(id).empty())
      continue;
    ++counts.owned;
    const Time since = owned_since_.try_emplace(id, now).first->second;
    const Seconds silence_duration = base::between(std::max(since, listening_since()), now);
    // Agents whose controller has ended need some time to find their new owner.
    const Seconds owner_search_limit = interval + kOwnerSearchTime;
    if (silence_duration > std::max(limits.without_heartbeat, owner_search_limit))
      counts.silent.insert(id);
    if (silence_duration > owner_search_limit) ++counts.overdue;
  }
  return counts;
}

// A single silent machine is most likely dead, and its release is the soonest proof that its tasks
// have ended. When many become silent at once, the network is the likely cause: the machines may be
// healthy and return at different times. Overdue machines are counted too, because the machines of
// a zone that is cut off do not become silent at the same time: the first fifth of them must not be
// released before the others are noticed.
bool Controller::may_release_silent(const SilenceCounts& counts, Time now) {
  const std::size_t expected_silent =
      std::max<std::size_t>(1, counts.owned / kMachinesPerExpectedSilent);
  if (counts.overdue > expected_silent) many_silent_at_ = now;
  return !many_silent_at_ || base::between(*many_silent_at_, now) >
                                 settings_.worker_lease * 0.5 + settings_.heartbeat_interval * 4.0;
}

void Controller::update_silent_machines(const SilenceCounts& counts, Time now) {
  const bool may_release = may_release_silent(counts, now);
  std::set<MachineId> next_silent;
  for (const MachineId& id : counts.silent) {
    const auto found = machines_.find(id);
    const Time since = found == machines_.end()        ? owned_since_[id]
                       : found->second.half_open_since ? *found->second.half_open_since
                                                       : found->second.last_heartbeat_at;
    const bool is_already_silent = silent_machines_.contains(id);
    const bool exceeds_final_limit =
        base::between(since, now) > settings_.worker_lease * kUnconditionalReleaseLeases;
    if (!may_release && !is_already_silent && !exceeds_final_limit) continue;
    if (!is_already_silent) spdlog::info("silent machine to be released: machine={}", id.get());
    next_silent.insert(id);
  }
  silent_machines_ = std::move(next_silent);
}

void Controller::run_periodic_checks(Time now) {
  progress_drains(now);
  update_silent_machines(count_silent_machines(now), now);
  evaluate_failures(now);
  update_worker_contact(now);
  attempts_.forget_finished_jobs();
}

}  // namespace saddleslip::coordination
