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

// A local replica of the records in the state service, updated by the watch and by the process's
// own commits.
//
// Items may arrive in any order and more than once. The newest version of each key is kept, so the
// replica is never older than the watch. Values that cannot be parsed are logged and treated as
// absent.
//
// Not thread-safe. Returned references and pointers are valid until the next change.
class StateCache {
 public:
  // Creates an empty replica. The settings must outlive it.
  explicit StateCache(const base::Settings& settings) : settings_(settings) {}

  // --- Changes

  // Applies an item from a full read, the watch or a single read. Returns false if the item is not
  // newer than what is known about its key.
  bool apply(const Item& item, Time now);
  // Applies all writes of a transaction that was committed at this revision.
  void apply(const protocol::Transaction& transaction, Revision committed, Time now);
  // Records that another controller announced the committed cancellation of the job. This stops its
  // tasks and prevents starts, but is not written to any record. Does nothing if the job is not
  // known.
  void notify_cancelled(const JobId& id);
  // Adds the final state of a job, and unblocks or cancels the jobs that depend on it.
  void add_final_state(const JobId& id, const FinalState& state);
  // Records that the watch, or a full read, has delivered all changes up to this revision.
  void advance_to(Revision revision) { versions_.advance_to(revision); }
  // Removes all records except final states and the catalogue, for a full read, e.g. after the
  // watch fell too far behind.
  void clear();

  // --- Jobs

  // Returns all unfinished jobs.
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  // Returns the job, or null if it does not exist or is finished.
  const Job* job(const JobId& id) const;
  // Returns the final state of the job, or nothing if it is not cached here; the state service may
  // have it.
  std::optional<FinalState> final_state(const JobId& id) const { return final_states_.find(id); }
  // Returns whether the watch has delivered all changes before the known version of the job's
  // record. If a cancellation was read ahead of the watch, a start that precedes it may still be
  // missing.
  bool is_settled(const Job& job) const {
    return !job.record.cancelled || revision().get() >= job.version.get();
  }
  // Returns how often a job was added, removed, cancelled or unblocked. A changed value means that
  // values derived from the jobs are stale.
  std::uint64_t job_changes() const { return job_changes_; }
  // Returns the records whose job is not known, by key. Garbage collection may remove them.
  const std::map<std::string, Version>& orphans() const { return orphans_.all(); }

  // --- Dependencies

  // Returns the dependencies between unfinished jobs.
  const DependencyGraph& dependency_graph() const { return dependency_graph_; }
  // Returns how often a waiting job was unblocked: its last open dependency was done, or its
  // dependency lists were read completely and all dependencies in them were done.
  std::uint64_t jobs_unblocked() const { return jobs_unblocked_; }
  // Returns the jobs that others wait for and of which neither a record nor a final state is known
  // here. Their final states, which may be old, must be read from the state service.
  std::vector<JobId> unresolved_dependencies() const;
  // Returns the unresolved jobs that this job depends on, directly or transitively: neither a
  // record nor a final state of them is known here.
  std::vector<JobId> unresolved_dependencies(const JobId& job) const;

  // --- Assignments and quotas, from the assignment index

  // Returns the tasks that are assigned to the machine.
  const std::map<TaskId, Assignment>& assignments_on(const MachineId& machine) const {
    return assignments_.tasks_on(machine);
  }
  // Returns the assigned tasks of all machines that have any.
  const std::map<MachineId, std::map<TaskId, Assignment>>& assignments_by_machine() const {
    return assignments_.by_machine();
  }
  // Returns a stamp that changes whenever the machine's assignments change, or whether their tasks
  // should keep running. 0 if no task is assigned to the machine.
  std::uint64_t assignment_stamp(const MachineId& machine) const {
    return assignments_.stamp(machine);
  }
  // Returns a stamp that changes whenever the stamp of any machine changes.
  std::uint64_t last_assignment_stamp() const { return assignments_.last_stamp(); }
  // Returns the resources requested by all assigned tasks of the team.
  Resources team_use(const std::string& team) const { return assignments_.team_use(team); }
  // Returns whether the team's use of cores or GPUs is limited.
  bool has_quota_limit(const std::string& team) const;

  // --- Versions, and records that concern the whole system

  // Returns the version of the key's value, or 0 if the key is not known to exist.
  Version version(const std::string& key) const { return versions_.version_of(key); }
  // Returns the revision up to which all changes have been delivered.
  Revision revision() const { return versions_.revision(); }
  // Returns the current membership view, if there is one.
  const std::optional<View>& view() const { return view_; }
  // Returns the incarnation that the state service records as leader, if any.
  const std::optional<ControllerIncarnation>& leader() const { return leader_; }
  // Returns the records of all members.
  const std::map<MemberId, protocol::Member>& members() const { return members_; }
  // Returns the ownership claims, by machine. A member claims a machine that cannot reach its
  // owner.
  const std::map<MachineId, ControllerIncarnation>& ownership_claims() const { return claims_; }
  // Returns the machine types that the cloud offers.
  const std::vector<MachineType>& catalogue() const { return catalogue_; }
  // Returns the machine type, or null if the catalogue does not contain it.
  const MachineType* type(const std::string& name) const;
  // Returns the record format that all controllers can read, as recorded in the state service.
  std::uint64_t format() const { return format_; }
  // Returns the booting machines that the leader last recorded.
  const std::vector<protocol::BootingMachine>& booting() const { return booting_; }

 private:
  // Returns whether this is a task record that must not be applied before a record that it depends
  // on. Adds it to the orphaned records if its job is not known.
  bool precedes_job_record(const Item& item);
  // Applies a newer value of a key, with one function for each kind of key. A null value is a
  // removal.
  void apply_value(const Item& item, Time now);
  void apply_job(const Item& item, Time now);
  void apply_task_record(const Item& item, Time now);
  void apply_dependency_list(const Item& item);
  void apply_member(const Item& item);
  void apply_ownership_claim(const Item& item);
  void apply_system_record(const Item& item);

  // Adds a job that is seen for the first time, with its dependencies.
  void add_job(const JobId& id, JobRecord&& record, Version version, Time now);
  // Applies a newer record of a known job.
  void update_job(Job& job, JobRecord record, Version version, Time now);
  // Removes a finished job, and marks its remaining records as orphaned.
  void remove_job(const JobId& id);
  // Adds the remaining records of a finished job to the orphaned records, to be removed from the
  // state service.
  void mark_records_orphaned(const Job& job);

  // Sets the job's dependencies from its separate dependency lists, if it has any. Returns false if
  // some lists have not been read yet.
  bool resolve_dependency_lists(Job& job);
  // Adds a job, whose dependencies are known, to the dependency graph.
  void add_to_dependency_graph(Job& job);
  // Marks all jobs that depend on a job cancelled in the state service as cancelled too.
  void cancel_dependents(const JobId& id);
  // Records that a dependency of the job was done at this time (seconds since the epoch). The job
  // is unblocked if it was the last one.
  void mark_dependency_done(Job& job, double done_at);
  // Returns whether neither a record nor a final state of the job is known here.
  bool is_unresolved(const JobId& id) const;

  // Splits each chunk of a job (the tasks of one task record) into pieces with a task record each,
  // as the job's record says.
  void split_chunks(Job& job, Time now);
  // Sets the pieces of the chunk that have no record of their own from the record of the unsplit
  // chunk.
  void set_pieces_from_unsplit_chunk(Job& job, std::uint32_t chunk, Time now);
  // Replaces a task record in the job, and updates the assignment index.
  void replace_chunk(Job& job, std::size_t number, Chunk chunk, Time now);
  // Removes the assignments in these records from the assignment index.
  void remove_assignments(const Job& job, const std::vector<Chunk>& chunks);
  // Changes the stamps of all machines with a task of the job, because whether these tasks should
  // keep running has changed.
  void change_machine_stamps(const Job& job);

  const base::Settings& settings_;
  std::map<JobId, Job> jobs_;
  // A hash table with a pointer to each unfinished job, because a job is looked up for every task
  // in every heartbeat.
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
  std::vector<protocol::BootingMachine> booting_;
};

}  // namespace saddleslip::storage
