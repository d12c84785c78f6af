// How tasks end: which attempts are certainly over, and when that is put on record.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

using protocol::TaskState;

namespace {

constexpr Seconds kLeaseMargin{0.2};  // beyond drift, before a worker lease counts as expired
constexpr double kNearLimit = 0.8;    // of a team's limit: ends are recorded at once from here on
constexpr int kLastTier = 99;         // of what is known no more

}  // namespace

// Adds what is certainly over on that machine; `m` is null if it has not sent a heartbeat to this owner.
void Controller::collect_completions_on(const MachineId& machine, Machine* m, Time now,
                                        std::vector<RoundPlan::Completion>& completions) {
  const auto& tasks = cache_.assignments_on(machine);
  if (tasks.empty()) return;
  if (released_.contains(machine)) {
    for (const auto& [task, assignment] : tasks)
      completions.push_back({task, machine, "machine released", false});
    return;
  }
  const Seconds lease = settings_.worker_lease * (1.0 + base::kDrift) + kLeaseMargin;
  const Time since = owned_since_.try_emplace(machine, now).first->second;
  Time last_answer = base::after(since, settings_.tuning.member_ttl);
  if (m) last_answer = std::max(last_answer, m->last_answered_at);
  const bool expired = now > base::after(last_answer, lease);
  std::set<TaskId> reported;
  if (m) {
    for (const auto& ended : capacity(*m).ended_attempts) {
      completions.push_back({ended.task, machine, ended.why, ended.done});
      if (expired) reported.insert(ended.task);
    }
  }
  if (!expired) return;
  for (const auto& [task, assignment] : tasks) {
    if (reported.contains(task)) continue;
    completions.push_back({task, machine, "worker's lease is certainly gone", false});
  }
  // The agent's incarnation is over even if its own word comes later: old heartbeats of it must not
  // bring its tasks back.
  if (m) machines_.end_agent_incarnation(*m);
}

void Controller::collect_completions(Time now, std::vector<RoundPlan::Completion>& completions) {
  // Machines that send heartbeats here are owned: a new view sorts out the rest.
  for (auto& [machine, m] : machines_) collect_completions_on(machine, &m, now, completions);
  for (const MachineId& machine : unheard_owned(now)) {
    if (!machines_.contains(machine) && owns(machine))
      collect_completions_on(machine, nullptr, now, completions);
  }
}

// May this end be recorded later, together with others of its record? Nothing hangs on it before
// this part's share of the record is complete: the room is free already, and a task whose machine is lost before then ends
// at once where it is started again, since its result is kept.
bool Controller::can_defer(const RoundPlan::Completion& completion, const std::set<TaskId>& ended,
                           Time now) {
  const Job* job = cache_.job(completion.task.job);
  if (!completion.done || !job || job->cancelled()) return false;
  const Time seen = attempts_.note_completion(completion.task, now);
  if (base::between(seen, now) > settings_.tuning.record_within) return false;
  // A team near its limit waits for the room that the record still counts.
  if (cache_.has_quota_limit(job->record.spec.team)) {
    const base::Team& team = settings_.teams.at(job->record.spec.team);
    const Resources use = cache_.team_use(job->record.spec.team);
    if ((team.max_cores > 0 && use.cores() > team.max_cores * kNearLimit) ||
        (team.max_gpus > 0 && use.gpus() > team.max_gpus * kNearLimit)) {
      return false;
    }
  }
  const auto& assignment = job->chunks[job->record.chunk_of(completion.task.no)].record.assigned;
  return std::any_of(assignment.begin(), assignment.end(), [&](const auto& h) {
    return owns(h.second.machine) && !ended.contains(TaskId{completion.task.job, h.first});
  });
}

void Controller::record_completion(RoundPlan::Completion completion, RecordBatch& batch,
                                   RoundPlan& plan) {
  if (batch.add_completion(completion.task, completion.done))
    plan.completions.push_back(std::move(completion));
}

// Records that were written when the store took larger values may be rewritten only once enough of their
// tasks have ended, and then with all these ends at once. Drops the ends that have to wait for more;
// returns those that go together.
std::set<TaskId> Controller::settle_large_records(std::vector<RoundPlan::Completion>& completions,
                                                  const RecordBatch& batch) const {
  struct LargeRecord {
    const Job* job = nullptr;
    std::vector<RecordBatch::TaskCompletion> completions;
    bool fits = false;
  };
  std::map<std::pair<JobId, std::uint32_t>, LargeRecord> large;
  for (const RoundPlan::Completion& completion : completions) {
    const Job* job = cache_.job(completion.task.job);
    if (!job) continue;
    const std::uint32_t chunk = job->record.chunk_of(completion.task.no);
    const auto& record = job->chunks[chunk].record;
    if (protocol::encoded_size_bound(record) <= settings_.value_bytes) continue;
    LargeRecord& l = large[{completion.task.job, chunk}];
    l.job = job;
    l.completions.push_back({completion.task.no, completion.done});
  }
  std::set<TaskId> together;
  if (large.empty()) return together;
  for (auto& [id, l] : large) {
    l.fits = batch.fits_with_completions(*l.job, id.second, l.completions);
    for (const auto& completion : l.completions) {
      if (l.fits) together.insert({id.first, completion.no});
    }
  }
  std::erase_if(completions, [&](const RoundPlan::Completion& completion) {
    const Job* job = cache_.job(completion.task.job);
    if (!job) return false;
    const auto at = large.find({completion.task.job, job->record.chunk_of(completion.task.no)});
    return at != large.end() && !at->second.fits;
  });
  return together;
}

std::vector<RoundPlan::Completion> Controller::record_completions(
    std::vector<RoundPlan::Completion> completions, WriteBudget write_budget, Time now,
    RecordBatch& batch, RoundPlan& plan) {
  std::set<TaskId> ended;
  for (const RoundPlan::Completion& completion : completions) ended.insert(completion.task);
  attempts_.keep_completions(ended);
  const std::set<TaskId> together = settle_large_records(completions, batch);
  // After a crash there may be more ends than one record holds: the urgent work's come first.
  std::map<int, std::vector<RoundPlan::Completion>> due;  // by tier
  std::vector<RoundPlan::Completion> deferred;
  for (RoundPlan::Completion& completion : completions) {
    const Job* job = cache_.job(completion.task.job);
    const bool urgent = job && priorities_.is_urgent(*job);
    const bool waits = can_defer(completion, ended, now) && !together.contains(completion.task);
    if (waits || (write_budget == WriteBudget::kExhausted && !urgent)) {
      deferred.push_back(std::move(completion));
    } else {
      due[job ? priorities_.tier(*job) : kLastTier].push_back(std::move(completion));
    }
  }
  for (auto& [tier, of_tier] : due) {
    for (RoundPlan::Completion& completion : of_tier)
      record_completion(std::move(completion), batch, plan);
  }
  return deferred;
}

// Ends that can wait go along with what is written anyway, or while writes are plentiful: the ones
// seen first go first.
void Controller::record_deferred_completions(std::vector<RoundPlan::Completion> completions,
                                             WriteBudget write_budget, Time now, RecordBatch& batch,
                                             RoundPlan& plan) {
  const auto seen = [&](const RoundPlan::Completion& completion) {
    return attempts_.completion_seen_at(completion.task).value_or(now);
  };
  std::stable_sort(completions.begin(), completions.end(),
                   [&](const auto& a, const auto& b) { return seen(a) < seen(b); });
  for (RoundPlan::Completion& completion : completions) {
    const Job* job = cache_.job(completion.task.job);
    if (job &&
        (write_budget == WriteBudget::kSurplus || batch.writes_record_of(*job, completion.task.no)))
      record_completion(std::move(completion), batch, plan);
  }
}

Seconds Controller::run_before_end(const RoundPlan::Completion& completion) const {
  const auto at = machines_.find(completion.machine);
  if (at == machines_.end()) return Seconds(0);
  const auto ran = at->second.ran_before.find(completion.task);
  return ran == at->second.ran_before.end() ? Seconds(0) : ran->second;
}

void Controller::learn_run_time(const RoundPlan::Completion& completion) {
  const auto at = machines_.find(completion.machine);
  const Job* job = cache_.job(completion.task.job);
  if (at == machines_.end() || !job) return;
  priorities_.learn_run_time(job->record.spec, run_before_end(completion));
  at->second.ran_before.erase(completion.task);
}

}  // namespace saddleslip::coordination
