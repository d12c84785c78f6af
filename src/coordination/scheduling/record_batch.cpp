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
constexpr std::size_t kBytesOfRecord = 200;   // about; and for each task that is held:
constexpr std::size_t kBytesOfHeld = 48;
constexpr std::size_t kWritesPerFinalization =
    3;  // a job that leaves: its state, its record, its row

// A job of several records whose tasks share or avoid zones: no single record shows where all of its
// tasks are, so its starts stand in a row.
bool starts_in_a_row(const Job& job) {
  const auto& spec = job.record.spec;
  return (spec.one_zone || spec.spread) && job.chunks.size() > 1;
}

TaskNo place_in_record(const Job& job, TaskNo no) {
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
  return e ? e->record.done[place_in_record(job, no)] : job.is_done(no);
}

bool RecordBatch::writes_record_of(const Job& job, TaskNo no) const {
  return find(job, no) != nullptr;
}

RecordBatch::Edit* RecordBatch::edit(const Job& job, TaskNo no) {
  const std::uint32_t chunk = job.record.chunk_of(no);
  const ChunkId id{job.record.spec.id, chunk};
  if (const auto at = edits_.find(id); at != edits_.end()) return &at->second;
  const bool full = writes() + 1 > settings_.txn_ops;
  if (!full) bytes_ += kBytesOfRecord + job.chunks[chunk].record.assigned.size() * kBytesOfHeld;
  if (full || (bytes_ > kMaxBytes && !edits_.empty())) {
    turned_away_ = true;
    return nullptr;
  }
  return &edits_.emplace(id, Edit{&job, job.chunks[chunk].record, false}).first->second;
}

bool RecordBatch::add_completion(const TaskId& task, bool done) {
  const Job* job = cache_.job(task.job);
  Edit* e = job ? edit(*job, task.no) : nullptr;
  if (!e) return false;
  e->record.assigned.erase(task.no);
  if (done) e->record.done[place_in_record(*job, task.no)] = true;
  return true;
}

std::optional<Attempt> RecordBatch::add_start(const TaskId& task, Assignment assignment) {
  const Job* job = cache_.job(task.job);
  // The one gate that all starts pass, whoever offered the task: not before all jobs that it needs are
  // done on record, and nothing that is cancelled.
  if (!job || job->blocked || job->cancelled()) return {};
  if (!has_room_for_start(*job, task.no, assignment)) return {};
  const auto& spec = job->record.spec;
  const bool has_quota_limit = cache_.has_quota_limit(spec.team);
  const std::string team = has_quota_limit ? protocol::team_key(spec.team) : "";
  const std::string row = starts_in_a_row(*job) ? protocol::row_key(spec.id) : "";
  std::size_t more = writes_record_of(*job, task.no) ? 0 : 1;
  if (!team.empty() && !teams_.contains(team)) ++more;
  if (!row.empty() && !serialized_.contains(row)) ++more;
  if (writes() + more > settings_.txn_ops) {
    turned_away_ = true;
    return {};
  }
  Edit* e = edit(*job, task.no);
  if (!e) return {};
  assignment.attempt = e->record.next;
  e->has_starts = true;
  e->record.assigned[task.no] = assignment;
  if (!team.empty()) teams_.insert(team);
  if (!row.empty()) serialized_.insert(row);
  return assignment.attempt;
}

// Does the record, with one more task held, fit into a value of the store? One that was written under a
// larger limit takes starts again once enough of its tasks have ended.
bool RecordBatch::has_room_for_start(const Job& job, TaskNo no,
                                     const Assignment& assignment) const {
  const Edit* e = find(job, no);
  const auto& record = e ? e->record : job.chunks[job.record.chunk_of(no)].record;
  return protocol::encoded_size_bound(record) + protocol::encoded_size_bound(assignment) <=
         settings_.value_bytes;
}

bool RecordBatch::fits_with_completions(const Job& job, std::uint32_t chunk,
                                        const std::vector<TaskCompletion>& completions) const {
  protocol::ChunkRecord record = job.chunks[chunk].record;
  for (const TaskCompletion& end : completions) {
    record.assigned.erase(end.no);
    if (end.done) record.done[place_in_record(job, end.no)] = true;
  }
  return protocol::encoded_size_bound(record) <= settings_.value_bytes;
}

std::set<JobId> RecordBatch::finalized_jobs() const {
  struct Counts {
    TaskNo done = 0, assigned = 0;
  };
  std::map<JobId, Counts> after;  // with what is written here
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
    const bool over = job.cancelled_on_record() || counts.done >= job.record.spec.tasks;
    if (counts.assigned > 0 || !over || !cache_.is_settled(job)) continue;
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
  add_rows(txn, self);
  for (const JobId& id : finalized) add_finalization(txn, *cache_.job(id), time_of_day);
  // Last: they take only what room for conditions is left.
  for (const JobId& id : finalized) guard_task_records(txn, *cache_.job(id), settings_.txn_ops);
  return txn;
}

// A piece is as the chunk that was divided says until it has a record of its own: this must be the chunk as it
// was when it was divided, and not an older copy of it.
void RecordBatch::guard_whole_chunk(Transaction& txn, const Job& job, std::uint32_t piece) {
  if (job.whole.empty()) return;
  const std::uint32_t chunk = piece / job.record.pieces_of_chunk();
  txn.preconditions[protocol::chunk_key(job.record.spec.id, chunk)] = job.whole[chunk].version;
}

// Starts of a team with a limit stand in a row, whoever makes them: its use, as counted from the local
// copy, misses none that came before this version.
void RecordBatch::add_rows(Transaction& txn, const protocol::ControllerIncarnation& self) const {
  for (const auto& keys : {teams_, serialized_}) {
    for (const std::string& key : keys) {
      txn.preconditions[key] = cache_.version(key);
      txn.writes.push_back({key, to_json(self), {}});
    }
  }
}

}  // namespace saddleslip::coordination
