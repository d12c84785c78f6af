#include "coordination/scheduling/record_batch.h"

#include "coordination/records/finalization.h"

namespace saddleslip::coordination {

using base::Attempt;
using base::JobId;
using base::TaskId;
using base::TaskNo;
using base::Version;
using protocol::Assignment;
using protocol::Transaction;
using storage::Job;

namespace {

constexpr std::size_t kMaxBytes = 48u << 10;  // a transaction holds 64 KiB in all
constexpr std::size_t kRecordBytes = 200;     // about, without its assignments
constexpr std::size_t kAssignmentBytes = 48;  // about
// The job's final state, its record and its serialization key.
constexpr std::size_t kWritesPerFinalization = 3;

// No single record shows where all tasks of such a job are: two transactions that start tasks of it must
// not commit side by side.
bool needs_serialized_starts(const Job& job) {
  const auto& spec = job.record.spec;
  return (spec.one_zone || spec.spread) && job.chunks.size() > 1;
}

TaskNo index_in_record(const Job& job, TaskNo no) {
  return no - job.record.first_task(job.record.chunk_of(no));
}

}  // namespace

const RecordBatch::Edit* RecordBatch::find(const Job& job, TaskNo no) const {
  const auto at = edits_.find({job.record.spec.id, job.record.chunk_of(no)});
  return at == edits_.end() ? nullptr : &at->second;
}

bool RecordBatch::is_assigned(const Job& job, TaskNo no) const {
  const Edit* e = find(job, no);
  return e ? e->record.assigned.contains(no) : job.assignment(no) != nullptr;
}

bool RecordBatch::is_done(const Job& job, TaskNo no) const {
  const Edit* e = find(job, no);
  return e ? e->record.done[index_in_record(job, no)] : job.is_done(no);
}

bool RecordBatch::writes_record_of(const Job& job, TaskNo no) const {
  return find(job, no) != nullptr;
}

RecordBatch::Edit* RecordBatch::edit(const Job& job, TaskNo no) {
  const std::uint32_t chunk = job.record.chunk_of(no);
  const ChunkId id{job.record.spec.id, chunk};
  if (const auto at = edits_.find(id); at != edits_.end()) return &at->second;
  const bool full = writes() + 1 > settings_.txn_ops;
  if (!full) bytes_ += kRecordBytes + job.chunks[chunk].record.assigned.size() * kAssignmentBytes;
  if (full || (bytes_ > kMaxBytes && !edits_.empty())) {
    is_overfull_ = true;
    return nullptr;
  }
  return &edits_.emplace(id, Edit{&job, job.chunks[chunk].record, false}).first->second;
}

bool RecordBatch::add_completion(const TaskId& task, bool done) {
  const Job* job = cache_.job(task.job);
  Edit* e = job ? edit(*job, task.no) : nullptr;
  if (!e) return false;
  e->record.assigned.erase(task.no);
  if (done) e->record.done[index_in_record(*job, task.no)] = true;
  return true;
}

std::optional<Attempt> RecordBatch::add_start(const TaskId& task, Assignment assignment) {
  const Job* job = cache_.job(task.job);
  // All starts pass here, whoever offered the task: none before the job's dependencies are recorded as
  // done, and none of a cancelled job.
  if (!job || job->blocked || job->cancelled()) return {};
  if (!record_fits_start(*job, task.no, assignment)) return {};
  const auto& spec = job->record.spec;
  const bool has_quota_limit = cache_.has_quota_limit(spec.team);
  const std::string team_key = has_quota_limit ? protocol::team_key(spec.team) : "";
  const std::string job_key = needs_serialized_starts(*job) ? protocol::row_key(spec.id) : "";
  std::size_t new_writes = writes_record_of(*job, task.no) ? 0 : 1;
  if (!team_key.empty() && !team_keys_.contains(team_key)) ++new_writes;
  if (!job_key.empty() && !job_keys_.contains(job_key)) ++new_writes;
  if (writes() + new_writes > settings_.txn_ops) {
    is_overfull_ = true;
    return {};
  }
  Edit* e = edit(*job, task.no);
  if (!e) return {};
  assignment.attempt = e->record.next;
  e->has_starts = true;
  e->record.assigned[task.no] = assignment;
  if (!team_key.empty()) team_keys_.insert(team_key);
  if (!job_key.empty()) job_keys_.insert(job_key);
  return assignment.attempt;
}

// Does the record fit into a value of the store with one more assignment? One that was written under a
// larger limit takes starts again once enough of its tasks have ended.
bool RecordBatch::record_fits_start(const Job& job, TaskNo no, const Assignment& assignment) const {
  const Edit* e = find(job, no);
  const auto& record = e ? e->record : job.chunks[job.record.chunk_of(no)].record;
  return protocol::encoded_size_bound(record) + protocol::encoded_size_bound(assignment) <=
         settings_.value_bytes;
}

bool RecordBatch::fits_with_completions(const Job& job, std::uint32_t chunk,
                                        const std::vector<TaskCompletion>& completions) const {
  protocol::ChunkRecord record = job.chunks[chunk].record;
  for (const TaskCompletion& completion : completions) {
    record.assigned.erase(completion.no);
    if (completion.done) record.done[index_in_record(job, completion.no)] = true;
  }
  return protocol::encoded_size_bound(record) <= settings_.value_bytes;
}

std::set<JobId> RecordBatch::finalized_jobs() const {
  struct Counts {
    TaskNo done = 0, assigned = 0;
  };
  std::map<JobId, Counts> after;  // with the changes of this batch
  for (const auto& [id, e] : edits_) {
    auto& counts = after.try_emplace(id.job, Counts{e.job->done, e.job->assigned}).first->second;
    const auto& before = e.job->chunks[id.chunk].record;
    counts.done += e.record.done_count() - before.done_count();
    counts.assigned +=
        static_cast<TaskNo>(e.record.assigned.size()) - static_cast<TaskNo>(before.assigned.size());
  }
  std::size_t all_writes = writes();
  std::set<JobId> finalized;
  for (const auto& [id, counts] : after) {
    const Job& job = *cache_.job(id);
    const bool is_over = job.cancelled_on_record() || counts.done >= job.record.spec.tasks;
    if (counts.assigned > 0 || !is_over || !cache_.is_settled(job)) continue;
    if (all_writes + kWritesPerFinalization > settings_.txn_ops) continue;
    all_writes += kWritesPerFinalization;
    finalized.insert(id);
  }
  return finalized;
}

Transaction RecordBatch::build(const protocol::ControllerIncarnation& self, Version view,
                               double time_of_day) const {
  Transaction txn;
  txn.preconditions[protocol::kViewKey] = view;
  const std::set<JobId> finalized = finalized_jobs();
  for (const auto& [id, e] : edits_) {
    const std::string key = e.job->record.record_key(id.chunk);
    txn.preconditions[key] = e.job->chunks[id.chunk].version;
    guard_whole_chunk(txn, *e.job, id.chunk);
    if (finalized.contains(id.job)) continue;
    protocol::ChunkRecord record = e.record;
    if (e.has_starts) {
      record.next = Attempt(record.next.get() + 1);
      txn.preconditions[protocol::job_key(id.job)] = e.job->version;
    }
    txn.writes.push_back({key, to_json(record, e.job->chunk_first(id.chunk)), {}});
  }
  add_serialization_keys(txn, self);
  for (const JobId& id : finalized) add_finalization(txn, *cache_.job(id), time_of_day);
  // Last: these preconditions take only what the transaction's limit leaves.
  for (const JobId& id : finalized) guard_task_records(txn, *cache_.job(id), settings_.txn_ops);
  return txn;
}

// A piece of a chunk that was split is described by that chunk until it has a record of its own: the
// chunk must still be at the version that the cache has of it.
void RecordBatch::guard_whole_chunk(Transaction& txn, const Job& job, std::uint32_t piece) {
  if (job.whole.empty()) return;
  const std::uint32_t chunk = piece / job.record.pieces_of_chunk();
  txn.preconditions[protocol::chunk_key(job.record.spec.id, chunk)] = job.whole[chunk].version;
}

// Serializes the starts of a team with a quota, and of a job with zone constraints, across all
// controllers: what the state cache counts up to this version then misses no earlier start.
void RecordBatch::add_serialization_keys(Transaction& txn,
                                         const protocol::ControllerIncarnation& self) const {
  for (const auto& keys : {team_keys_, job_keys_}) {
    for (const std::string& key : keys) {
      txn.preconditions[key] = cache_.version(key);
      txn.writes.push_back({key, to_json(self), {}});
    }
  }
}

}  // namespace saddleslip::coordination
