#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/settings.h"
#include "storage/assignment_index.h"
#include "storage/dependency_graph.h"
#include "storage/final_states.h"
#include "storage/job.h"
#include "storage/key_versions.h"
#include "storage/names.h"
#include "storage/orphan_records.h"
#include "storage/partial_dependencies.h"

namespace saddleslip::storage {

// This process's copy of what the store holds: a local replica that is fed by the watch and by the
// process's own commits.
//
// Items may arrive in any order and more than once; each key keeps the newest version seen, so the
// copy is never older than the watch. Values that cannot be parsed are logged and count as absent.
//
// Not safe for use from several threads at once. References and pointers that it returns are valid
// until the next change.
class StateCache {
 public:
  // The settings must outlive the cache.
  explicit StateCache(const base::Settings& settings) : settings_(settings) {}

  // --- Changes

  // Applies an item as listed, watched or read. Returns false if it was known or is older than what
  // is known.
  bool apply(const Item& item, Time now);
  // Applies all writes of a transaction that was committed at this revision.
  void apply(const protocol::Transaction& txn, Revision committed, Time now);
  // Another controller announces that the job's cancellation is committed. This stops its tasks and
  // holds back starts, but is written to no record. Does nothing if the job is not known here.
  void notify_cancelled(const JobId& id);
  // Remembers how a job ended, and tells the jobs that depend on it.
  void remember_final(const JobId& id, const FinalState& state);
  // The watch, or a full read, has delivered every change up to this revision.
  void advance_to(Revision revision) { versions_.advance_to(revision); }
  // Starts over, as after a watch that fell too far behind. Final states and the catalogue stay.
  void clear();

  // --- Jobs

  const std::map<JobId, Job>& jobs() const { return jobs_; }
  // nullptr: no such job, or it is over.
  const Job* job(const JobId& id) const;
  // None: not known here; the store may have it.
  std::optional<FinalState> final_state(const JobId& id) const { return final_states_.find(id); }
  // Has the watch brought all that came before the job's record as it is known here? A cancellation
  // read ahead of it may be known while a start before it is not.
  bool is_settled(const Job& job) const {
    return !job.record.cancelled || revision().get() >= job.version.get();
  }
  // Counts jobs that were added, removed, cancelled or unblocked.
  std::uint64_t job_changes() const { return job_changes_; }
  // Records whose job is not known, by key: what garbage collection may remove.
  const std::map<std::string, Version>& orphans() const { return orphans_.all(); }

  // --- Dependencies

  const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // Counts jobs that had waited for others and wait no more.
  std::uint64_t jobs_unblocked() const { return jobs_unblocked_; }
  // Jobs that others wait for, and of which neither a record nor a final state is known here: the
  // final state, which may have been written long ago, is to be read from the store.
  std::vector<JobId> unresolved_dependencies() const;
  // The same, of those that this job depends on, directly or through others.
  std::vector<JobId> unresolved_dependencies(const JobId& job) const;

  // --- Assignments and quotas; see AssignmentIndex

  const std::map<TaskId, Assignment>& assignments_on(const MachineId& machine) const {
    return assignments_.on(machine);
  }
  const std::map<MachineId, std::map<TaskId, Assignment>>& assigned() const {
    return assignments_.by_machine();
  }
  // Changes whenever the machine's assignments do, or whether their tasks are to run on; 0: no task
  // is assigned to it.
  std::uint64_t stamp(const MachineId& machine) const { return assignments_.stamp(machine); }
  std::uint64_t last_stamp() const { return assignments_.last_stamp(); }  // of any machine
  Resources team_use(const std::string& team) const { return assignments_.team_use(team); }
  bool has_quota_limit(const std::string& team) const;

  // --- Versions and records of the whole system

  // The version of a key's value; 0: it does not exist as far as is known.
  Version version(const std::string& key) const { return versions_.of(key); }
  Revision revision() const { return versions_.revision(); }
  const std::optional<View>& view() const { return view_; }
  const std::optional<ControllerIncarnation>& leader() const { return leader_; }
  const std::map<MemberId, protocol::Member>& members() const { return members_; }
  const std::map<MachineId, ControllerIncarnation>& ownership_claims() const { return claims_; }
  const std::vector<MachineType>& catalogue() const { return catalogue_; }
  // nullptr: the catalogue has no such type.
  const MachineType* type(const std::string& name) const;
  // The format of records that all controllers can read, as the store says.
  std::uint64_t format() const { return format_; }
  const std::vector<protocol::Booting>& booting() const { return booting_; }

 private:
  // Is this a task record that cannot be taken in before a record that it depends on? Notes it as an
  // orphan if its job is not known.
  bool is_ahead_of_its_job(const Item& item);
  // One function for each kind of key; a null value is a removal.
  void apply_value(const Item& item, Time now);
  void apply_job(const Item& item, Time now);
  void apply_task_record(const Item& item, Time now);
  void apply_dependency_list(const Item& item);
  void apply_member(const Item& item);
  void apply_ownership_claim(const Item& item);
  void apply_system_record(const Item& item);

  void add_job(const JobId& id, JobRecord&& record, Version version, Time now);
  void update_job(Job& job, JobRecord record, Version version, Time now);
  void remove_job(const JobId& id);
  // What the store keeps of the job besides its own record is to be removed now that it is over.
  void orphan_records_of(const Job& job);

  // Gives the job the dependencies that lists of their own name. False: some are not read yet.
  bool take_dependency_lists(Job& job);
  // Adds a job, whose dependencies are known, to the dependency graph.
  void link_dependencies(Job& job);
  // The job's cancellation is in the store: so all that depend on it are cancelled too.
  void cancel_dependents(const JobId& id);
  // A dependency of the job was done then (seconds since 1970): it may start if that was the last.
  void mark_dependency_done(Job& job, double done_at);
  // Is neither a record nor a final state of the job known here?
  bool is_unresolved(const JobId& id) const;

  // The job's record says that its chunks are divided into pieces.
  void divide_chunks(Job& job, Time now);
  // The chunk's pieces that have no record of their own are as the undivided chunk's record says.
  void derive_pieces(Job& job, std::uint32_t chunk, Time now);
  // Puts a newer task record in place, in the job and in the index of assignments.
  void replace_chunk(Job& job, std::size_t number, Chunk chunk, Time now);
  // Takes the assignments of these records out of the index.
  void remove_assignments(const Job& job, const std::vector<Chunk>& chunks);
  // What is to run on each machine with a task of the job has changed.
  void touch_machines_of(const Job& job);

  const base::Settings& settings_;
  std::map<JobId, Job> jobs_;
  // The same jobs by hash: looked up for every task of every heartbeat.
  std::unordered_map<JobId, Job*> job_index_;
  AssignmentIndex assignments_;
  KeyVersions versions_;
  OrphanRecords orphans_;
  FinalStates final_states_;
  DependencyGraph dependency_graph_;
  PartialDependencies partial_dependencies_;
  std::uint64_t job_changes_ = 0;
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
