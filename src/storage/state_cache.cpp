#include "storage/state_cache.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace saddleslip::storage {

bool StateCache::apply(const Item& item, Time now) {
  if (item.key.starts_with(protocol::kTombstonePrefix)) {
    // Versions of final states are not tracked: they never change, and their number grows without
    // limit.
    if (const auto state = protocol::parse_final_state(item.value))
      add_final_state(JobId(item.key.substr(protocol::kTombstonePrefix.size())), *state);
    return true;
  }
  if (!versions_.is_newer(item.key, item.version)) return false;
  if (precedes_job_record(item)) return true;
  if (item.value.is_null()) {
    versions_.record_removal(item.key, item.version);
  } else {
    versions_.record_value(item.key, item.version);
  }
  apply_value(item, now);
  return true;
}

void StateCache::apply(const protocol::Transaction& transaction, Revision committed, Time now) {
  for (const protocol::Write& write : transaction.writes) {
    apply({write.key, write.value ? *write.value : protocol::Json(), Version(committed.get())},
          now);
  }
}

// A full read lists jobs before task records, so it can miss a job that is accepted meanwhile but
// include its task records. The version of such a task record is not recorded, so that the watch
// delivers the record again after the job. Otherwise the job would seem to have no task record, and
// its tasks would be started twice.
bool StateCache::precedes_job_record(const Item& item) {
  if (!item.key.starts_with(protocol::kTaskRecordPrefix) || item.value.is_null()) return false;
  const auto key = protocol::parse_task_record_key(item.key);
  const Job* owner = key ? job(key->job) : nullptr;
  if (!owner) {
    orphans_.add(item.key, item.version);
    return true;
  }
  // The record of a piece must wait too if it is read before the job's record says that the chunks
  // are split.
  return key->is_piece && !RecordLayout(owner->record).is_split();
}

void StateCache::apply_value(const Item& item, Time now) {
  if (item.key.starts_with(protocol::kJobPrefix)) {
    apply_job(item, now);
  } else if (item.key.starts_with(protocol::kTaskRecordPrefix)) {
    apply_task_record(item, now);
  } else if (item.key.starts_with(protocol::kDependencyListPrefix)) {
    apply_dependency_list(item);
  } else if (item.key.starts_with(protocol::kMemberPrefix)) {
    apply_member(item);
  } else if (item.key.starts_with(protocol::kClaimPrefix)) {
    apply_ownership_claim(item);
  } else {
    apply_system_record(item);
  }
}

void StateCache::apply_member(const Item& item) {
  const MemberId member(item.key.substr(protocol::kMemberPrefix.size()));
  if (const auto record = protocol::parse_member(item.value)) {
    members_[member] = *record;
  } else {
    members_.erase(member);
  }
}

void StateCache::apply_ownership_claim(const Item& item) {
  const MachineId machine(item.key.substr(protocol::kClaimPrefix.size()));
  if (const auto claimant = protocol::parse_incarnation(item.value)) {
    claims_[machine] = *claimant;
  } else {
    claims_.erase(machine);
  }
}

void StateCache::apply_system_record(const Item& item) {
  if (item.key == protocol::kViewKey) {
    view_ = protocol::parse_view(item.value);
  } else if (item.key == protocol::kFormatKey) {
    format_ = item.value.is_number_unsigned() ? item.value.get<std::uint64_t>() : 1;
  } else if (item.key == protocol::kLeaderKey) {
    leader_ = protocol::parse_incarnation(item.value);
  } else if (item.key == protocol::kCatalogueKey) {
    if (auto catalogue = protocol::parse_catalogue(item.value)) catalogue_ = std::move(*catalogue);
  } else if (item.key == protocol::kFleetKey) {
    booting_ = protocol::parse_fleet(item.value);
  }
}

// --- Jobs

void StateCache::apply_job(const Item& item, Time now) {
  ++job_changes_;
  const JobId id(item.key.substr(protocol::kJobPrefix.size()));
  auto record = protocol::parse_job(item.value);
  if (!record) {
    if (!item.value.is_null()) spdlog::error("job record cannot be parsed: job={}", id.get());
    remove_job(id);
  } else if (const auto entry = jobs_.find(id); entry != jobs_.end()) {
    update_job(entry->second, std::move(*record), item.version, now);
  } else {
    add_job(id, std::move(*record), item.version, now);
  }
}

void StateCache::add_job(const JobId& id, JobRecord&& record, Version version, Time now) {
  Job& job = jobs_.try_emplace(id, std::move(record), version, now).first->second;
  job_index_[id] = &job;
  for (const std::string& key : job.task_record_keys()) orphans_.remove(key);
  job.blocked = !resolve_dependency_lists(job);
  if (!job.blocked) add_to_dependency_graph(job);
  if (job.cancelled_on_record()) cancel_dependents(id);
}

void StateCache::update_job(Job& job, JobRecord record, Version version, Time now) {
  job.update_record(std::move(record), version);
  if (job.has_pending_split()) split_chunks(job, now);
  change_machine_stamps(job);
  if (job.record.cancelled) cancel_dependents(job.record.spec.id);
}

void StateCache::remove_job(const JobId& id) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) return;
  remove_assignments(entry->second, entry->second.chunks);
  dependency_graph_.remove(id);
  mark_records_orphaned(entry->second);
  job_index_.erase(id);
  jobs_.erase(entry);
}

void StateCache::mark_records_orphaned(const Job& job) {
  const JobId& id = job.record.spec.id;
  std::vector<std::string> keys = job.task_record_keys();
  if (const auto& lists = job.record.dependency_lists) {
    keys.push_back(protocol::dependency_lists_key(id));
    for (std::size_t number = 0; number < lists->count; ++number)
      keys.push_back(protocol::dependency_list_key(id, lists->set, number));
  }
  for (const std::string& key : keys) {
    partial_dependencies_.remove(key);
    if (const Version version = versions_.version_of(key); version.get() != 0)
      orphans_.add(key, version);
  }
}

void StateCache::notify_cancelled(const JobId& id) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end() || entry->second.cancelled()) return;
  entry->second.cancellation_announced = true;
  ++job_changes_;
  change_machine_stamps(entry->second);
}

// --- Dependencies

void StateCache::apply_dependency_list(const Item& item) {
  orphans_.remove(item.key);
  const auto id = protocol::job_of_dependency_key(item.key);
  // The record that names the set of lists contains nothing beyond the job's own record.
  if (!id || item.key == protocol::dependency_lists_key(*id) || !item.value.is_array()) return;
  partial_dependencies_.add(item.key, item.value);
  const auto entry = jobs_.find(*id);
  if (entry == jobs_.end() || !entry->second.record.dependency_lists) return;
  Job& job = entry->second;
  if (!job.record.spec.dependencies.empty() || !resolve_dependency_lists(job)) return;
  add_to_dependency_graph(job);
  if (job.cancelled_on_record()) cancel_dependents(*id);
  if (!job.blocked) ++jobs_unblocked_;
}

bool StateCache::resolve_dependency_lists(Job& job) {
  const auto& lists = job.record.dependency_lists;
  if (!lists) return true;
  auto dependencies = partial_dependencies_.take_if_complete(job.record.spec.id, *lists);
  if (!dependencies) return false;
  job.record.spec.dependencies = std::move(*dependencies);
  ++job_changes_;
  return true;
}

void StateCache::add_to_dependency_graph(Job& job) {
  std::vector<JobId> open;
  for (const JobId& dependency : job.record.spec.dependencies) {
    const auto final = final_state(dependency);
    const Job* dependency_job = this->job(dependency);
    if (dependency_job && dependency_job->cancelled_on_record()) job.dependency_cancelled = true;
    if (final && final->status == JobStatus::kCancelled) job.dependency_cancelled = true;
    if (final && final->status == JobStatus::kDone) {
      job.unblocked_at = std::max(job.unblocked_at, final->recorded_at);
    } else {
      open.push_back(dependency);
    }
  }
  job.blocked = !open.empty();
  dependency_graph_.add(job.record.spec.id, open);
}

void StateCache::cancel_dependents(const JobId& id) {
  for (const JobId& dependent : dependency_graph_.all_dependents(id)) {
    const auto entry = jobs_.find(dependent);
    if (entry == jobs_.end() || entry->second.dependency_cancelled) continue;
    entry->second.dependency_cancelled = true;
    ++job_changes_;
    change_machine_stamps(entry->second);
  }
}

void StateCache::mark_dependency_done(Job& job, double done_at) {
  job.unblocked_at = std::max(job.unblocked_at, done_at);
  if (!dependency_graph_.open_dependencies(job.record.spec.id).empty()) return;
  job.blocked = false;
  ++job_changes_;
  ++jobs_unblocked_;
}

void StateCache::add_final_state(const JobId& id, const FinalState& state) {
  if (!final_states_.add(id, state)) return;
  if (state.status == JobStatus::kCancelled) {
    cancel_dependents(id);
    return;
  }
  for (const JobId& dependent : dependency_graph_.mark_done(id)) {
    if (const auto entry = jobs_.find(dependent); entry != jobs_.end())
      mark_dependency_done(entry->second, state.recorded_at);
  }
}

bool StateCache::is_unresolved(const JobId& id) const {
  return !job(id) && !final_states_.contains(id);
}

std::vector<JobId> StateCache::unresolved_dependencies() const {
  std::vector<JobId> unresolved;
  for (const auto& [dependency, dependents] : dependency_graph_.dependents_by_dependency()) {
    if (is_unresolved(dependency)) unresolved.push_back(dependency);
  }
  return unresolved;
}

std::vector<JobId> StateCache::unresolved_dependencies(const JobId& id) const {
  std::vector<JobId> dependencies = dependency_graph_.all_open_dependencies(id);
  std::erase_if(dependencies,
                [this](const JobId& dependency) { return !is_unresolved(dependency); });
  return dependencies;
}

// --- Task records

void StateCache::apply_task_record(const Item& item, Time now) {
  const auto key = protocol::parse_task_record_key(item.key);
  if (!key) return;
  orphans_.remove(item.key);
  const auto entry = jobs_.find(key->job);
  if (entry == jobs_.end()) return;
  Job& job = entry->second;
  const RecordLayout layout(job.record);
  if (key->is_piece && !layout.is_split()) return;
  const bool is_unsplit_chunk = !key->is_piece && layout.is_split();
  const std::vector<Chunk>& chunks = is_unsplit_chunk ? job.unsplit_chunks : job.chunks;
  if (key->chunk >= chunks.size()) return;
  const TaskRange tasks =
      is_unsplit_chunk ? layout.tasks_of_chunk(key->chunk) : layout.tasks_of_record(key->chunk);
  auto record = protocol::parse_chunk(item.value, tasks.first, tasks.count);
  if (!record) {
    spdlog::error("task record cannot be parsed: key={}", item.key);
    return;
  }
  const Version version = item.value.is_null() ? Version(0) : item.version;
  if (is_unsplit_chunk) {
    job.unsplit_chunks[key->chunk] = {std::move(*record), version};
    set_pieces_from_unsplit_chunk(job, key->chunk, now);
  } else {
    replace_chunk(job, key->chunk, {std::move(*record), version}, now);
  }
}

void StateCache::split_chunks(Job& job, Time now) {
  job.split_chunks();
  remove_assignments(job, job.unsplit_chunks);
  for (std::uint32_t chunk = 0; chunk < job.unsplit_chunks.size(); ++chunk)
    set_pieces_from_unsplit_chunk(job, chunk, now);
}

void StateCache::set_pieces_from_unsplit_chunk(Job& job, std::uint32_t chunk, Time now) {
  const RecordLayout layout(job.record);
  const std::size_t end = std::min<std::size_t>(layout.end_of_pieces(chunk), job.chunks.size());
  for (std::uint32_t piece = layout.first_piece(chunk); piece < end; ++piece) {
    if (job.chunks[piece].version.get() != 0) continue;
    replace_chunk(job, piece, {job.piece_of_unsplit_chunk(piece), Version(0)}, now);
  }
}

void StateCache::replace_chunk(Job& job, std::size_t number, Chunk chunk, Time now) {
  const ChunkRecord& before = job.chunks[number].record;
  assignments_.update(job.record.spec, before.assigned, chunk.record.assigned);
  job.replace_chunk(number, std::move(chunk), now);
}

void StateCache::remove_assignments(const Job& job, const std::vector<Chunk>& chunks) {
  for (const Chunk& chunk : chunks) assignments_.update(job.record.spec, chunk.record.assigned, {});
}

void StateCache::change_machine_stamps(const Job& job) {
  for (const Chunk& chunk : job.chunks) assignments_.change_stamps(chunk.record.assigned);
}

// --- The whole cache

void StateCache::clear() {
  ++job_changes_;
  jobs_.clear();
  job_index_.clear();
  assignments_.clear();
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
  const auto entry = job_index_.find(id);
  return entry == job_index_.end() ? nullptr : entry->second;
}

bool StateCache::has_quota_limit(const std::string& team) const {
  const auto entry = settings_.teams.find(team);
  return entry != settings_.teams.end() &&
         (entry->second.max_cores > 0 || entry->second.max_gpus > 0);
}

const MachineType* StateCache::type(const std::string& name) const {
  for (const MachineType& type : catalogue_) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

}  // namespace saddleslip::storage
