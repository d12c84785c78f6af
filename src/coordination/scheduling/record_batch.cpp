#include "coordination/scheduling/record_batch.h"

#include "coordination/records/finalization.h"

namespace saddleslip::coordination {

using base::Attempt;
using base::JobId;
using base::TaskId;
using base::TaskNumber;
using base::Version;
using protocol::Assignment;
using protocol::Transaction;
using storage::Job;

namespace {

// Limit on the estimated size; the state service accepts transactions of up to 64 KiB.
constexpr std::size_t kMaxBytes = 48u << 10;
constexpr std::size_t kRecordBytes = 200;     // estimate, without the record's assignments
constexpr std::size_t kAssignmentBytes = 48;  // estimate
// A finalization writes the job's final state, its record and its serialization key.
constexpr std::size_t kWritesPerFinalization = 3;

// Returns whether transactions that start tasks of the job must be serialized. That is the case if
// the job has zone constraints and several task records, since no single record then shows the
// zones of all its tasks.
bool needs_serialized_starts(const Job& job) {
  const auto& spec = job.record.spec;
  return (spec.one_zone || spec.spread) && job.chunks.size() > 1;
}

TaskNumber index_in_record(const Job& job, TaskNumber task) {
  return task - job.record.first_task(job.record.chunk_of(task));
}

}  // namespace

const RecordBatch::RecordEdit* RecordBatch::find_edit(const Job& job, TaskNumber task) const {
  const auto entry = edits_.find({job.record.spec.id, job.record.chunk_of(task)});
  return entry == edits_.end() ? nullptr : &entry->second;
}

bool RecordBatch::is_assigned(const Job& job, TaskNumber task) const {
  const RecordEdit* edit = find_edit(job, task);
  return edit ? edit->record.assigned.contains(task) : job.assignment(task) != nullptr;
}

bool RecordBatch::is_done(const Job& job, TaskNumber task) const {
  const RecordEdit* edit = find_edit(job, task);
  return edit ? edit->record.done[index_in_record(job, task)] : job.is_done(task);
}

bool RecordBatch::writes_record_of(const Job& job, TaskNumber task) const {
  return find_edit(job, task) != nullptr;
}

RecordBatch::RecordEdit* RecordBatch::find_or_add_edit(const Job& job, TaskNumber task) {
  const std::uint32_t chunk = job.record.chunk_of(task);
  const ChunkId id{job.record.spec.id, chunk};
  if (const auto entry = edits_.find(id); entry != edits_.end()) return &entry->second;
  const bool operations_exhausted = write_count() + 1 > settings_.max_transaction_writes;
  if (!operations_exhausted)
    estimated_bytes_ += kRecordBytes + job.chunks[chunk].record.assigned.size() * kAssignmentBytes;
  if (operations_exhausted || (estimated_bytes_ > kMaxBytes && !edits_.empty())) {
    is_full_ = true;
    return nullptr;
  }
  return &edits_.emplace(id, RecordEdit{&job, job.chunks[chunk].record, false}).first->second;
}

bool RecordBatch::add_completion(const TaskId& task, bool done) {
  const Job* job = cache_.job(task.job);
  RecordEdit* edit = job ? find_or_add_edit(*job, task.no) : nullptr;
  if (!edit) return false;
  edit->record.assigned.erase(task.no);
  if (done) edit->record.done[index_in_record(*job, task.no)] = true;
  return true;
}

std::optional<Attempt> RecordBatch::add_start(const TaskId& task, Assignment assignment) {
  const Job* job = cache_.job(task.job);
  // Every start is checked here, no matter which controller offered the task: no task starts before
  // the job's dependencies are recorded as done, or after the job was cancelled.
  if (!job || job->blocked || job->cancelled()) return {};
  if (!record_fits_start(*job, task.no, assignment)) return {};
  const auto& spec = job->record.spec;
  const bool has_quota_limit = cache_.has_quota_limit(spec.team);
  const std::string team_key = has_quota_limit ? protocol::team_start_key(spec.team) : "";
  const std::string job_key = needs_serialized_starts(*job) ? protocol::job_start_key(spec.id) : "";
  std::size_t new_writes = writes_record_of(*job, task.no) ? 0 : 1;
  if (!team_key.empty() && !team_keys_.contains(team_key)) ++new_writes;
  if (!job_key.empty() && !job_keys_.contains(job_key)) ++new_writes;
  if (write_count() + new_writes > settings_.max_transaction_writes) {
    is_full_ = true;
    return {};
  }
  RecordEdit* edit = find_or_add_edit(*job, task.no);
  if (!edit) return {};
  assignment.attempt = edit->record.next_attempt;
  edit->has_starts = true;
  edit->record.assigned[task.no] = assignment;
  if (!team_key.empty()) team_keys_.insert(team_key);
  if (!job_key.empty()) job_keys_.insert(job_key);
  return assignment.attempt;
}

// Returns whether the task's record, with one more assignment, stays within the state service's
// limit on the size of a value. A record that was written under a larger limit accepts starts again
// once enough of its tasks have ended.
bool RecordBatch::record_fits_start(const Job& job, TaskNumber task,
                                    const Assignment& assignment) const {
  const RecordEdit* edit = find_edit(job, task);
  const auto& record = edit ? edit->record : job.chunks[job.record.chunk_of(task)].record;
  return protocol::encoded_size_bound(record) + protocol::encoded_size_bound(assignment) <=
         settings_.value_bytes;
}

bool RecordBatch::fits_with_completions(const Job& job, std::uint32_t chunk,
                                        const std::vector<TaskCompletion>& completions) const {
  protocol::ChunkRecord record = job.chunks[chunk].record;
  for (const TaskCompletion& completion : completions) {
    record.assigned.erase(completion.task);
    if (completion.done) record.done[index_in_record(job, completion.task)] = true;
  }
  return protocol::encoded_size_bound(record) <= settings_.value_bytes;
}

std::set<JobId> RecordBatch::finalized_jobs() const {
  struct Counts {
    TaskNumber done = 0, assigned = 0;
  };
  std::map<JobId, Counts> after;  // including the changes of this batch
  for (const auto& [id, edit] : edits_) {
    auto& counts =
        after.try_emplace(id.job, Counts{edit.job->done, edit.job->assigned}).first->second;
    const auto& before = edit.job->chunks[id.chunk].record;
    counts.done += edit.record.done_count() - before.done_count();
    counts.assigned += static_cast<TaskNumber>(edit.record.assigned.size()) -
                       static_cast<TaskNumber>(before.assigned.size());
  }
  std::size_t total_writes = write_count();
  std::set<JobId> finalized;
  for (const auto& [id, counts] : after) {
    const Job& job = *cache_.job(id);
    const bool is_over = job.cancelled_on_record() || counts.done >= job.record.spec.tasks;
    if (counts.assigned > 0 || !is_over || !cache_.is_settled(job)) continue;
    if (total_writes + kWritesPerFinalization > settings_.max_transaction_writes) continue;
    total_writes += kWritesPerFinalization;
    finalized.insert(id);
  }
  return finalized;
}

Transaction RecordBatch::build(const protocol::ControllerIncarnation& self, Version view,
                               double time_of_day) const {
  Transaction transaction;
  transaction.preconditions[protocol::kViewKey] = view;
  const std::set<JobId> finalized = finalized_jobs();
  for (const auto& [id, edit] : edits_) {
    const std::string key = edit.job->record.record_key(id.chunk);
    transaction.preconditions[key] = edit.job->chunks[id.chunk].version;
    guard_unsplit_chunk(transaction, *edit.job, id.chunk);
    if (finalized.contains(id.job)) continue;
    protocol::ChunkRecord record = edit.record;
    if (edit.has_starts) {
      record.next_attempt = Attempt(record.next_attempt.get() + 1);
      transaction.preconditions[protocol::job_key(id.job)] = edit.job->version;
    }
    transaction.writes.push_back({key, to_json(record, edit.job->chunk_first(id.chunk)), {}});
  }
  add_serialization_keys(transaction, self);
  for (const JobId& id : finalized) add_finalization(transaction, *cache_.job(id), time_of_day);
  // Added last: these use only the preconditions that the transaction's limit leaves over.
  for (const JobId& id : finalized)
    guard_task_records(transaction, *cache_.job(id), settings_.max_transaction_writes);
  return transaction;
}

// If the chunks of the job are split, adds the precondition that the record of the unsplit chunk
// that contains the piece is still at the cached version: until a piece has a record of its own,
// its state is taken from that record.
void RecordBatch::guard_unsplit_chunk(Transaction& transaction, const Job& job,
                                      std::uint32_t piece) {
  if (job.unsplit_chunks.empty()) return;
  const std::uint32_t chunk = piece / job.record.pieces_of_chunk();
  transaction.preconditions[protocol::chunk_record_key(job.record.spec.id, chunk)] =
      job.unsplit_chunks[chunk].version;
}

// Serializes the starts of teams with a quota and of jobs with zone constraints across all
// controllers: every such transaction writes the same key, so that the cached counts at the key's
// version include all earlier starts.
void RecordBatch::add_serialization_keys(Transaction& transaction,
                                         const protocol::ControllerIncarnation& self) const {
  for (const auto& keys : {team_keys_, job_keys_}) {
    for (const std::string& key : keys) {
      transaction.preconditions[key] = cache_.version(key);
      transaction.writes.push_back({key, to_json(self), {}});
    }
  }
}

}  // namespace saddleslip::coordination
