#include "storage/state_cache.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::storage {

bool StateCache::apply(const Item& item, Time now) {
  const std::string& key = item.key;
  if (key.starts_with(protocol::kFinals)) {
    if (const auto f = protocol::parse_final(item.value)) {
      remember_final(JobId(key.substr(protocol::kFinals.size())), *f);
    }
    return true;  // no version kept: there is no end to them
  }
  // Told already, or overtaken: a read or a second watch that was answered before the key changed or
  // went must not bring it back.
  if (!versions_.is_newer(key, item.version)) return false;

  const bool removal = item.value.is_null();
  if (key.starts_with(protocol::kChunks) && !removal) {
    // Read before its job: while all is read, jobs come first, and one that is accepted meanwhile is
    // not among them. Its version is not kept, so that the watch brings the record again, after the
    // job; kept, the job would seem to have no record, and its tasks would start a second time.
    const auto name = protocol::parse_chunk_key(key);
    if (!name || !job_index_.contains(name->job)) {
      orphans_.add(key, item.version);
      return true;
    }
    // Likewise a piece that is read before the record that divides its job's chunks.
    if (name->is_piece && job_index_.at(name->job)->record.piece == 0) return true;
  }
  if (removal) {
    versions_.record_removal(key, item.version);
  } else {
    versions_.record_value(key, item.version);
  }
  if (key.starts_with(protocol::kJobs)) {
    put_job(item, now);
  } else if (key.starts_with(protocol::kChunks)) {
    put_chunk(item, now);
  } else if (key.starts_with(protocol::kDependencies)) {
    put_dependency_list(item);
  } else if (key.starts_with(protocol::kMembers)) {
    const MemberId member(key.substr(protocol::kMembers.size()));
    if (const auto record = protocol::parse_member(item.value)) {
      members_[member] = *record;
    } else {
      members_.erase(member);
    }
  } else if (key.starts_with(protocol::kClaims)) {
    const MachineId machine(key.substr(protocol::kClaims.size()));
    if (const auto incarnation = protocol::parse_incarnation(item.value)) {
      claims_[machine] = *incarnation;
    } else {
      claims_.erase(machine);
    }
  } else if (key == protocol::kViewKey) {
    view_ = protocol::parse_view(item.value);
  } else if (key == protocol::kFormatKey) {
    format_ = item.value.is_number_unsigned() ? item.value.get<std::uint64_t>() : 1;
  } else if (key == protocol::kLeadKey) {
    leader_ = protocol::parse_incarnation(item.value);
  } else if (key == protocol::kCatalogueKey) {
    if (auto c = protocol::parse_catalogue(item.value)) catalogue_ = std::move(*c);
  } else if (key == protocol::kFleetKey) {
    booting_ = protocol::parse_fleet(item.value);
  }
  return true;
}

void StateCache::apply(const protocol::Transaction& txn, Revision committed, Time now) {
  for (const protocol::Put& w : txn.writes) {
    apply({w.key, w.value ? *w.value : protocol::Json(), Version(committed.get())}, now);
  }
}

void StateCache::count(const Job& job, TaskNo no, const Assignment& assignment, int sign) {
  const TaskId task{job.record.spec.id, no};
  if (sign > 0) {
    assignments_by_machine_[assignment.machine][task] = assignment;
    stamps_[assignment.machine] = ++last_stamp_;
  } else if (const auto on = assignments_by_machine_.find(assignment.machine);
             on != assignments_by_machine_.end()) {
    on->second.erase(task);
    if (on->second.empty()) {
      assignments_by_machine_.erase(on);
      stamps_.erase(assignment.machine);
      ++last_stamp_;
    } else {
      stamps_[assignment.machine] = ++last_stamp_;
    }
  }
  team_use_[job.record.spec.team] += job.record.spec.request * static_cast<double>(sign);
}

void StateCache::remove_assignments(const Job& job) {
  for (const Chunk& c : job.chunks) {
    for (const auto& [no, assignment] : c.record.assigned) count(job, no, assignment, -1);
  }
}

void StateCache::put_job(const Item& item, Time now) {
  ++job_changes_;
  const JobId id(item.key.substr(protocol::kJobs.size()));
  const auto at = jobs_.find(id);
  auto record = protocol::parse_job(item.value);
  if (!record) {
    if (!item.value.is_null()) spdlog::error("job {} in the store can't be read", id.get());
    if (at == jobs_.end()) return;
    remove_assignments(at->second);
    dependency_graph_.remove(id);
    orphan_records_of(at->second);
    job_index_.erase(id);
    jobs_.erase(at);
    return;
  }
  if (at != jobs_.end()) {
    if (record->dependency_lists)
      record->spec.dependencies = std::move(at->second.record.spec.dependencies);
    at->second.record = std::move(*record);
    at->second.version = item.version;
    if (at->second.record.piece != 0 && at->second.whole.empty()) split_chunks(at->second, now);
    stamp_assigned_machines(at->second);
    if (at->second.record.cancelled) cancel_dependents(id);
    return;
  }
  Job job;
  job.record = std::move(*record);
  job.version = item.version;
  job.seen = now;
  job.chunks.resize(job.record.chunks());
  for (std::size_t c = 0; c < job.chunks.size(); ++c) {
    job.chunks[c].record.done.assign(job.chunk_size(c), false);
    orphans_.remove(job.record.record_key(static_cast<std::uint32_t>(c)));
  }
  if (job.record.piece != 0) {
    job.whole.resize((job.record.spec.tasks + job.record.chunk - 1) / job.record.chunk);
    for (std::size_t c = 0; c < job.whole.size(); ++c)
      orphans_.remove(protocol::chunk_key(id, static_cast<std::uint32_t>(c)));
  }
  Job& added = jobs_.emplace(id, std::move(job)).first->second;
  job_index_[id] = &added;
  added.blocked = !take_dependency_lists(added);
  if (!added.blocked) link_dependencies(added);
  if (added.cancelled_on_record()) cancel_dependents(id);
}

void StateCache::orphan_records_of(const Job& job) {
  const JobId& id = job.record.spec.id;
  std::vector<std::string> keys;
  for (std::size_t c = 0; c < job.chunks.size(); ++c)
    keys.push_back(job.record.record_key(static_cast<std::uint32_t>(c)));
  for (std::size_t c = 0; c < job.whole.size(); ++c)
    keys.push_back(protocol::chunk_key(id, static_cast<std::uint32_t>(c)));
  if (const auto& lists = job.record.dependency_lists) {
    keys.push_back(protocol::dependency_lists_key(id));
    for (std::size_t i = 0; i < lists->count; ++i)
      keys.push_back(protocol::dependency_list_key(id, lists->set, i));
  }
  for (const std::string& key : keys) {
    partial_dependencies_.remove(key);
    if (const Version version = versions_.of(key); version.get() != 0) orphans_.add(key, version);
  }
}

void StateCache::put_dependency_list(const Item& item) {
  orphans_.remove(item.key);
  const auto id = protocol::job_of_dependency_key(item.key);
  // The record that only names the set tells nothing that the job's own does not.
  if (!id || item.key == protocol::dependency_lists_key(*id) || !item.value.is_array()) return;
  partial_dependencies_.add(item.key, item.value);
  const auto at = jobs_.find(*id);
  if (at == jobs_.end() || !at->second.record.dependency_lists) return;
  Job& job = at->second;
  if (!job.record.spec.dependencies.empty() || !take_dependency_lists(job)) return;
  link_dependencies(job);
  if (job.cancelled_on_record()) cancel_dependents(*id);
  if (!job.blocked) ++jobs_unblocked_;
}

bool StateCache::take_dependency_lists(Job& job) {
  const auto& lists = job.record.dependency_lists;
  if (!lists) return true;
  auto dependencies = partial_dependencies_.take(job.record.spec.id, *lists);
  if (!dependencies) return false;
  job.record.spec.dependencies = std::move(*dependencies);
  ++job_changes_;
  return true;
}

void StateCache::link_dependencies(Job& job) {
  const JobId& id = job.record.spec.id;
  std::vector<JobId> open;
  for (const JobId& need : job.record.spec.dependencies) {
    const auto over = final_state(need);
    const Job* live = this->job(need);
    job.dependency_cancelled = job.dependency_cancelled || (live && live->cancelled_on_record()) ||
                               (over && over->status == JobStatus::kCancelled);
    if (over && over->status == JobStatus::kDone) {
      job.unblocked_at = std::max(job.unblocked_at, over->at);
    } else {
      open.push_back(need);
    }
  }
  job.blocked = !open.empty();
  dependency_graph_.add(id, open);
}

void StateCache::cancel_dependents(const JobId& id) {
  for (const JobId& dependent : dependency_graph_.all_dependents(id)) {
    const auto at = jobs_.find(dependent);
    if (at == jobs_.end() || at->second.dependency_cancelled) continue;
    at->second.dependency_cancelled = true;
    ++job_changes_;
    stamp_assigned_machines(at->second);
  }
}

void StateCache::mark_dependency_done(Job& job, double done_at) {
  job.unblocked_at = std::max(job.unblocked_at, done_at);
  if (!dependency_graph_.open_dependencies(job.record.spec.id).empty()) return;
  job.blocked = false;
  ++job_changes_;
  ++jobs_unblocked_;
}

std::vector<JobId> StateCache::unresolved_dependencies() const {
  std::vector<JobId> out;
  for (const auto& [need, dependents] : dependency_graph_.waited_for()) {
    if (!job(need) && !final_state(need)) out.push_back(need);
  }
  return out;
}

std::vector<JobId> StateCache::unresolved_dependencies(const JobId& id) const {
  std::vector<JobId> out;
  for (const JobId& need : dependency_graph_.all_open_dependencies(id)) {
    if (!job(need) && !final_state(need)) out.push_back(need);
  }
  return out;
}

void StateCache::notify_cancelled(const JobId& id) {
  const auto at = jobs_.find(id);
  if (at == jobs_.end() || at->second.cancelled()) return;
  at->second.notify_cancelled = true;
  ++job_changes_;
  stamp_assigned_machines(at->second);
}

// What is wanted on each machine that holds a task of the job has changed.
void StateCache::stamp_assigned_machines(const Job& job) {
  for (const Chunk& c : job.chunks) {
    for (const auto& [no, assignment] : c.record.assigned)
      stamps_[assignment.machine] = ++last_stamp_;
  }
}

void StateCache::put_chunk(const Item& item, Time now) {
  const auto name = protocol::parse_chunk_key(item.key);
  if (!name) return;
  orphans_.remove(item.key);
  const auto at = jobs_.find(name->job);
  if (at == jobs_.end()) return;
  Job& job = at->second;
  const bool is_whole = !name->is_piece && job.record.piece != 0;
  if (name->is_piece && job.record.piece == 0) return;
  if (name->chunk >= (is_whole ? job.whole.size() : job.chunks.size())) return;
  const TaskNo first = is_whole ? name->chunk * job.record.chunk : job.chunk_first(name->chunk);
  const TaskNo count = is_whole ? std::min(job.record.chunk, job.record.spec.tasks - first)
                                : job.chunk_size(name->chunk);
  auto record = protocol::parse_chunk(item.value, first, count);
  if (!record) {
    spdlog::error("{} in the store can't be read", item.key);
    return;
  }
  const Version version = item.value.is_null() ? Version(0) : item.version;
  if (is_whole) {
    job.whole[name->chunk] = {std::move(*record), version};
    derive_pieces(job, name->chunk, now);
  } else {
    replace(job, name->chunk, std::move(*record), version, now);
  }
}

void StateCache::split_chunks(Job& job, Time now) {
  job.whole = std::move(job.chunks);
  job.chunks.clear();
  job.chunks.resize(job.record.chunks());
  for (std::size_t c = 0; c < job.chunks.size(); ++c)
    job.chunks[c].record.done.assign(job.chunk_size(c), false);
  for (const Chunk& c : job.whole) {
    for (const auto& [no, assignment] : c.record.assigned) count(job, no, assignment, -1);
  }
  job.assigned = 0;
  job.done = 0;
  for (std::uint32_t c = 0; c < job.whole.size(); ++c) derive_pieces(job, c, now);
}

void StateCache::derive_pieces(Job& job, std::uint32_t chunk, Time now) {
  const ChunkRecord& whole = job.whole[chunk].record;
  const std::uint32_t pieces = job.record.pieces_of_chunk();
  for (std::uint32_t i = chunk * pieces; i < (chunk + 1) * pieces && i < job.chunks.size(); ++i) {
    if (job.chunks[i].version.get() != 0) continue;
    const TaskNo first = job.chunk_first(i), count = job.chunk_size(i);
    const TaskNo offset = first - chunk * job.record.chunk;
    ChunkRecord piece;
    piece.next = whole.next;
    piece.done.assign(whole.done.begin() + offset, whole.done.begin() + offset + count);
    piece.assigned.insert(whole.assigned.lower_bound(first),
                          whole.assigned.lower_bound(first + count));
    replace(job, i, std::move(piece), Version(0), now);
  }
}

void StateCache::replace(Job& job, std::size_t number, ChunkRecord record, Version version,
                         Time now) {
  Chunk& chunk = job.chunks[number];
  // Only the tasks whose holder changed: a record of many tasks is written for a few of them, and
  // each machine that is touched here is worked out anew.
  auto was = chunk.record.assigned.begin();
  const auto was_end = chunk.record.assigned.end();
  for (const auto& [no, assignment] : record.assigned) {
    for (; was != was_end && was->first < no; ++was) count(job, was->first, was->second, -1);
    if (was != was_end && was->first == no) {
      const bool same = was->second == assignment;
      if (!same) count(job, no, was->second, -1);
      ++was;
      if (same) continue;
    }
    count(job, no, assignment, +1);
  }
  for (; was != was_end; ++was) count(job, was->first, was->second, -1);
  job.assigned -= static_cast<TaskNo>(chunk.record.assigned.size());
  job.done -= chunk.record.done_count();
  chunk.record = std::move(record);
  chunk.version = version;
  job.last_progress_at = now;
  job.assigned += static_cast<TaskNo>(chunk.record.assigned.size());
  job.done += chunk.record.done_count();
}

void StateCache::clear() {
  jobs_.clear();
  job_index_.clear();
  ++last_stamp_;
  ++job_changes_;
  assignments_by_machine_.clear();
  stamps_.clear();
  team_use_.clear();
  versions_.clear();
  orphans_.clear();
  dependency_graph_.clear();
  partial_dependencies_.clear();
  view_.reset();
  leader_.reset();
  members_.clear();
  claims_.clear();
  booting_.clear();
}

const Job* StateCache::job(const JobId& id) const {
  const auto it = job_index_.find(id);
  return it == job_index_.end() ? nullptr : it->second;
}

void StateCache::remember_final(const JobId& id, const FinalState& state) {
  if (!final_states_.remember(id, state)) return;
  if (state.status == JobStatus::kCancelled) {
    cancel_dependents(id);
  } else {
    for (const JobId& dependent : dependency_graph_.mark_done(id)) {
      if (const auto at = jobs_.find(dependent); at != jobs_.end())
        mark_dependency_done(at->second, state.at);
    }
  }
}

const std::map<TaskId, Assignment>& StateCache::assignments_on(const MachineId& machine) const {
  static const std::map<TaskId, Assignment> kNone;
  const auto it = assignments_by_machine_.find(machine);
  return it == assignments_by_machine_.end() ? kNone : it->second;
}

std::uint64_t StateCache::stamp(const MachineId& machine) const {
  const auto it = stamps_.find(machine);
  return it == stamps_.end() ? 0 : it->second;
}

Resources StateCache::team_use(const std::string& team) const {
  const auto it = team_use_.find(team);
  return it == team_use_.end() ? Resources{} : it->second;
}

bool StateCache::has_quota_limit(const std::string& team) const {
  const auto it = settings_.teams.find(team);
  return it != settings_.teams.end() && (it->second.max_cores > 0 || it->second.max_gpus > 0);
}

const MachineType* StateCache::type(const std::string& name) const {
  for (const MachineType& t : catalogue_) {
    if (t.name == name) return &t;
  }
  return nullptr;
}

}  // namespace saddleslip::storage
