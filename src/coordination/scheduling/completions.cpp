// Completions: determines which attempts have certainly ended, and when their ends are recorded.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

using protocol::TaskState;

namespace {

// Added to the lease duration and the clock drift before a worker lease counts as expired.
constexpr Seconds kLeaseMargin{0.2};
// Completions are recorded at once when a team's usage exceeds this fraction of its limit.
constexpr double kNearLimit = 0.8;
constexpr int kUnknownJobTier = 99;  // completions of jobs that are not in the cache come last

}  // namespace

// Adds the attempts assigned to the machine that have certainly ended. `machine` is null if the
// machine has not sent a heartbeat to this controller.
void Controller::collect_completions_on(const MachineId& id, Machine* machine, Time now,
                                        std::vector<RoundPlan::Completion>& completions) {
  const auto& assignments = cache_.assignments_on(id);
  if (assignments.empty()) return;
  if (released_.contains(id)) {
    for (const auto& [task, assignment] : assignments)
      completions.push_back({task, id, "machine released", false});
    return;
  }
  const Seconds lease = settings_.worker_lease * (1.0 + base::kDrift) + kLeaseMargin;
  const Time owned_since = owned_since_.try_emplace(id, now).first->second;
  Time last_response_at = std::max(owned_since, former_authority_.ends_at());
  if (machine) last_response_at = std::max(last_response_at, machine->last_answered_at);
  const bool lease_expired = now > base::after(last_response_at, lease);
  std::set<TaskId> reported;
  if (machine) {
    for (const auto& ended : capacity(*machine).ended_attempts) {
      completions.push_back({ended.task, id, ended.reason, ended.done});
      if (lease_expired) reported.insert(ended.task);
    }
  }
  if (!lease_expired) return;
  for (const auto& [task, assignment] : assignments) {
    if (reported.contains(task)) continue;
    completions.push_back({task, id, "worker lease expired", false});
  }
  // Delayed heartbeats of an agent incarnation whose lease expired must not make its attempts count
  // as running again.
  if (machine) machines_.end_agent_incarnation(*machine);
}

void Controller::collect_completions(Time now, std::vector<RoundPlan::Completion>& completions) {
  // This controller owns every machine in the registry: installing a view removes all others.
  for (auto& [id, machine] : machines_) collect_completions_on(id, &machine, now, completions);
  for (const MachineId& id : owned_without_heartbeat(now)) {
    if (!machines_.contains(id) && owns(id)) collect_completions_on(id, nullptr, now, completions);
  }
}

// Returns whether the completion may be recorded later, together with others of the same task
// record. Deferring is safe while other tasks of the record still run on this controller's
// machines: the capacity already counts as free, and if the machine is lost before the completion
// is recorded, the task is started again and ends at once, since its result is kept.
bool Controller::can_defer(const RoundPlan::Completion& completion, const std::set<TaskId>& ended,
                           Time now) {
  const Job* job = cache_.job(completion.task.job);
  if (!completion.done || !job || job->cancelled()) return false;
  const Time first_seen_at = attempts_.note_completion(completion.task, now);
  if (base::between(first_seen_at, now) > settings_.tuning.record_within) return false;
  // A team near its limit needs the quota that the task uses until its completion is recorded.
  if (cache_.has_quota_limit(job->record.spec.team)) {
    const base::Team& team = settings_.teams.at(job->record.spec.team);
    const Resources usage = cache_.team_use(job->record.spec.team);
    if ((team.max_cores > 0 && usage.cores() > team.max_cores * kNearLimit) ||
        (team.max_gpus > 0 && usage.gpus() > team.max_gpus * kNearLimit)) {
      return false;
    }
  }
  const auto& assigned = job->chunks[job->record.chunk_of(completion.task.no)].record.assigned;
  return std::any_of(assigned.begin(), assigned.end(), [&](const auto& entry) {
    return owns(entry.second.machine) && !ended.contains(TaskId{completion.task.job, entry.first});
  });
}

void Controller::record_completion(RoundPlan::Completion completion, RecordBatch& batch,
                                   RoundPlan& plan) {
  if (batch.add_completion(completion.task, completion.done))
    plan.completions.push_back(std::move(completion));
}

// Handles task records that exceed the state service's limit on the size of a value, because they
// were written under a larger limit. Such a record can be rewritten only once enough of its tasks
// have ended, with all these completions in one write. Removes the completions that must wait for
// more of them; returns the tasks whose completions must be recorded together.
std::set<TaskId> Controller::filter_large_record_completions(
    std::vector<RoundPlan::Completion>& completions, const RecordBatch& batch) const {
  struct LargeRecord {
    const Job* job = nullptr;
    std::vector<RecordBatch::TaskCompletion> completions;
    bool fits = false;
  };
  std::map<std::pair<JobId, std::uint32_t>, LargeRecord> large_records;
  for (const RoundPlan::Completion& completion : completions) {
    const Job* job = cache_.job(completion.task.job);
    if (!job) continue;
    const std::uint32_t chunk = job->record.chunk_of(completion.task.no);
    const auto& record = job->chunks[chunk].record;
    if (protocol::encoded_size_bound(record) <= settings_.value_bytes) continue;
    LargeRecord& large_record = large_records[{completion.task.job, chunk}];
    large_record.job = job;
    large_record.completions.push_back({completion.task.no, completion.done});
  }
  std::set<TaskId> together;
  if (large_records.empty()) return together;
  for (auto& [id, large_record] : large_records) {
    large_record.fits =
        batch.fits_with_completions(*large_record.job, id.second, large_record.completions);
    for (const auto& completion : large_record.completions) {
      if (large_record.fits) together.insert({id.first, completion.task});
    }
  }
  std::erase_if(completions, [&](const RoundPlan::Completion& completion) {
    const Job* job = cache_.job(completion.task.job);
    if (!job) return false;
    const auto entry =
        large_records.find({completion.task.job, job->record.chunk_of(completion.task.no)});
    return entry != large_records.end() && !entry->second.fits;
  });
  return together;
}

std::vector<RoundPlan::Completion> Controller::record_completions(
    std::vector<RoundPlan::Completion> completions, WriteBudget write_budget, Time now,
    RecordBatch& batch, RoundPlan& plan) {
  std::set<TaskId> ended;
  for (const RoundPlan::Completion& completion : completions) ended.insert(completion.task);
  attempts_.keep_completions(ended);
  const std::set<TaskId> together = filter_large_record_completions(completions, batch);
  // After a crash there may be more completions than one transaction holds: lower tiers, which
  // have precedence, come first.
  std::map<int, std::vector<RoundPlan::Completion>> due_completions;  // by tier
  std::vector<RoundPlan::Completion> deferred;
  for (RoundPlan::Completion& completion : completions) {
    const Job* job = cache_.job(completion.task.job);
    const bool is_urgent = job && priorities_.is_urgent(*job);
    const bool may_wait = can_defer(completion, ended, now) && !together.contains(completion.task);
    if (may_wait || (write_budget == WriteBudget::kExhausted && !is_urgent)) {
      deferred.push_back(std::move(completion));
    } else {
      due_completions[job ? priorities_.tier(*job) : kUnknownJobTier].push_back(
          std::move(completion));
    }
  }
  for (auto& [tier, completions_of_tier] : due_completions) {
    for (RoundPlan::Completion& completion : completions_of_tier)
      record_completion(std::move(completion), batch, plan);
  }
  return deferred;
}

// Records deferred completions, the oldest first, if their task record is written in this round
// anyway or the write budget has a surplus.
void Controller::record_deferred_completions(std::vector<RoundPlan::Completion> completions,
                                             WriteBudget write_budget, Time now, RecordBatch& batch,
                                             RoundPlan& plan) {
  const auto first_seen_at = [&](const RoundPlan::Completion& completion) {
    return attempts_.completion_seen_at(completion.task).value_or(now);
  };
  std::stable_sort(completions.begin(), completions.end(), [&](const auto& a, const auto& b) {
    return first_seen_at(a) < first_seen_at(b);
  });
  for (RoundPlan::Completion& completion : completions) {
    const Job* job = cache_.job(completion.task.job);
    if (job &&
        (write_budget == WriteBudget::kSurplus || batch.writes_record_of(*job, completion.task.no)))
      record_completion(std::move(completion), batch, plan);
  }
}

Seconds Controller::run_before_end(const RoundPlan::Completion& completion) const {
  const auto machine = machines_.find(completion.machine);
  if (machine == machines_.end()) return Seconds(0);
  const auto ended_run_time = machine->second.ended_run_times.find(completion.task);
  return ended_run_time == machine->second.ended_run_times.end() ? Seconds(0)
                                                                 : ended_run_time->second;
}

void Controller::learn_run_time(const RoundPlan::Completion& completion) {
  const auto machine = machines_.find(completion.machine);
  const Job* job = cache_.job(completion.task.job);
  if (machine == machines_.end() || !job) return;
  priorities_.learn_run_time(job->record.spec, run_before_end(completion));
  machine->second.ended_run_times.erase(completion.task);
}

}  // namespace saddleslip::coordination
