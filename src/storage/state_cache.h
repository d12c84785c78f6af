// This process's copy of what the state service holds, fed by its watch and by its own commits.
// Never older than the watch; each key keeps the newest version seen.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/settings.h"
#include "protocol/records.h"
#include "storage/dependency_graph.h"
#include "storage/final_states.h"
#include "storage/key_versions.h"
#include "storage/orphan_records.h"
#include "storage/partial_dependencies.h"

namespace saddleslip::storage {

using base::Attempt;
using base::JobId;
using base::MachineId;
using base::MemberId;
using base::Revision;
using base::TaskId;
using base::TaskNo;
using base::Time;
using base::Version;
using protocol::Assignment;
using protocol::ChunkRecord;
using protocol::ControllerIncarnation;
using protocol::FinalState;
using protocol::Item;
using protocol::JobRecord;
using protocol::JobStatus;
using protocol::MachineType;
using protocol::Resources;
using protocol::View;

struct Chunk {
  ChunkRecord record;
  Version version;
};

struct Job {
  JobRecord record;
  Version version;
  std::vector<Chunk> chunks;  // or pieces of them, if the record says so
  // The chunks' own records, since they are divided: nothing starts by these any more. A piece without a
  // record is as they say.
  std::vector<Chunk> whole;
  TaskNo done = 0;
  TaskNo assigned = 0;
  Time seen{};              // when this process first saw it
  Time last_progress_at{};  // when a task of it last began or ended, as far as this process saw
  // Another controller has told that its cancellation is committed; the copy does not show it yet.
  bool notify_cancelled = false;
  // A job that it needs, directly or through others, is cancelled on record: so is this one, whatever
  // its own record says.
  bool dependency_cancelled = false;
  // It waits for other jobs; nothing of it may start.
  bool blocked = false;
  double unblocked_at =
      0;  // when the last job that it needed was done, by the time of day; 0: not known

  // Is its cancellation on record, its own or that of a job that it needs? What users are told and what
  // is written goes by this.
  bool cancelled_on_record() const { return record.cancelled || dependency_cancelled; }
  // Nothing of it is to run any more.
  bool cancelled() const { return cancelled_on_record() || notify_cancelled; }
  // Since when its tasks could have started, by the time of day.
  double startable_since() const { return std::max(record.submitted, unblocked_at); }

  TaskNo chunk_first(std::size_t c) const {
    return record.first_task(static_cast<std::uint32_t>(c));
  }
  TaskNo chunk_size(std::size_t c) const { return record.tasks_of(static_cast<std::uint32_t>(c)); }
  // Tasks that could start now.
  TaskNo pending() const {
    return cancelled() || blocked ? 0 : record.spec.tasks - done - assigned;
  }
  bool is_done(TaskNo no) const {
    const auto number = record.chunk_of(no);
    return chunks[number].record.done[no - record.first_task(number)];
  }
  const Assignment* assignment(TaskNo no) const {
    const auto& assignments_on = chunks[record.chunk_of(no)].record.assigned;
    const auto it = assignments_on.find(no);
    return it == assignments_on.end() ? nullptr : &it->second;
  }
};

class StateCache {
 public:
  explicit StateCache(const base::Settings& settings) : settings_(settings) {}

  // An item as listed, watched or committed. Returns false if it was known or older.
  bool apply(const Item& item, Time now);
  // All that a transaction wrote, which was committed at this revision.
  void apply(const protocol::Transaction& txn, Revision committed, Time now);
  // Another controller's word that the job's cancellation is committed. It stops and holds back
  // starts, and is put on no record; what it names may be unknown here.
  void notify_cancelled(const JobId& id);
  // The watch (or the first load) has told everything up to here.
  void advance_to(Revision revision) { versions_.advance_to(revision); }
  Revision revision() const { return versions_.revision(); }
  // Starts over, as after a watch that fell too far behind. Final states stay.
  void clear();

  const std::map<JobId, Job>& jobs() const { return jobs_; }
  const Job* job(const JobId& id) const;
  std::optional<FinalState> final_state(const JobId& id) const { return final_states_.find(id); }
  // Has the watch brought all that came before the job's record as it is known here? A cancellation
  // read ahead of it may be known while a start before it is not.
  bool is_settled(const Job& job) const {
    return !job.record.cancelled || revision().get() >= job.version.get();
  }
  void remember_final(const JobId& id, const FinalState& state);

  const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // Counts jobs that had waited for others and wait no more.
  std::uint64_t jobs_unblocked() const { return jobs_unblocked_; }
  // Jobs that others wait for, and of which this copy knows neither a record nor a final state: the final
  // state, which may have been written long ago, is to be read from the store. For one job: those
  // that it depends on, through any number of steps.
  std::vector<JobId> unresolved_dependencies() const;
  std::vector<JobId> unresolved_dependencies(const JobId& job) const;

  const std::map<TaskId, Assignment>& assignments_on(const MachineId& machine) const;
  const std::map<MachineId, std::map<TaskId, Assignment>>& assigned() const {
    return assignments_by_machine_;
  }
  // Changes whenever what is held by the machine does, or whether it is still wanted; 0: nothing is.
  std::uint64_t stamp(const MachineId& machine) const;
  std::uint64_t last_stamp() const { return last_stamp_; }  // of any machine
  // Counts jobs that came, went or were cancelled.
  std::uint64_t job_changes() const { return job_changes_; }
  Resources team_use(const std::string& team) const;
  bool has_quota_limit(const std::string& team) const;
  Version version(const std::string& key) const { return versions_.of(key); }

  const std::optional<View>& view() const { return view_; }
  const std::optional<ControllerIncarnation>& leader() const { return leader_; }
  const std::map<MemberId, protocol::Member>& members() const { return members_; }
  const std::map<MachineId, ControllerIncarnation>& ownership_claims() const { return claims_; }
  const std::vector<MachineType>& catalogue() const { return catalogue_; }
  const MachineType* type(const std::string& name) const;
  // What all controllers read, as is on record.
  std::uint64_t format() const { return format_; }
  const std::vector<protocol::Booting>& booting() const { return booting_; }
  // Records of jobs that are over.
  const std::map<std::string, Version>& orphans() const { return orphans_.all(); }

 private:
  void put_job(const Item& item, Time now);
  void put_dependency_list(const Item& item);
  // Takes in the jobs that the job needs from lists of their own. False: some have not been read yet.
  bool take_dependency_lists(Job& job);
  // What is kept of a job besides its record: to be removed once the job is over.
  void orphan_records_of(const Job& job);
  // Relates a job that is new here to those that it needs.
  void link_dependencies(Job& job);
  // The job is cancelled on record: so is all that depends on it.
  void cancel_dependents(const JobId& id);
  // That job was done at that time of day: one that needs it may start once it was the last.
  void mark_dependency_done(Job& job, double done_at);
  void put_chunk(const Item& item, Time now);
  // The job's record says that its chunks are divided into pieces.
  void split_chunks(Job& job, Time now);
  // The pieces of that chunk that have no record of their own are as the chunk's says.
  void derive_pieces(Job& job, std::uint32_t chunk, Time now);
  // What the record of some tasks says now takes the place of what it said before.
  void replace(Job& job, std::size_t number, ChunkRecord record, Version version, Time now);
  // Takes a task's holder out of the books, or puts it in.
  void count(const Job& job, TaskNo no, const Assignment& assigned, int sign);
  void remove_assignments(const Job& job);
  void stamp_assigned_machines(const Job& job);

  const base::Settings& settings_;
  std::map<JobId, Job> jobs_;
  std::unordered_map<JobId, Job*> job_index_;  // the same: looked up by every task of every report
  std::map<MachineId, std::map<TaskId, Assignment>> assignments_by_machine_;
  std::unordered_map<MachineId, std::uint64_t> stamps_;
  std::uint64_t last_stamp_ = 0, job_changes_ = 0;
  std::map<std::string, Resources> team_use_;
  KeyVersions versions_;
  OrphanRecords orphans_;
  FinalStates final_states_;
  DependencyGraph dependency_graph_;
  PartialDependencies partial_dependencies_;
  std::uint64_t jobs_unblocked_ = 0;
  std::optional<View> view_;
  std::optional<ControllerIncarnation> leader_;
  std::uint64_t format_ = 1;
  std::map<MemberId, protocol::Member> members_;
  std::map<MachineId, ControllerIncarnation> claims_;
  std::vector<MachineType> catalogue_;
  std::vector<protocol::Booting> booting_;
};

}  // namespace saddleslip::storage
