// Keys of the records that controllers store in the state service.
//
//   s/j/<job>            job record, until the job is final: its specification, and whether it was
//                        cancelled
//   s/t/<job>/<chunk>    task record of a chunk: which tasks are done, and which are assigned to
//                        machines; the job record has the number of tasks per chunk
//   s/t/<job>/p<piece>   task record of a piece, if the job record says that chunks are split; as
//                        long as a piece has no record, the record of its chunk applies
//   s/n/<job>            the set of dependency lists of a job whose dependencies do not fit into
//                        its job record; written before the job record, the commit of which has
//                        a precondition on it
//   s/n/<job>/<set>/<i>  dependency list number <i> of that set
//   s/f/<job>            tombstone of a job that is done or cancelled
//   s/q/<team>           written with each task start for a team with a quota, so that concurrent
//                        starts conflict and cannot exceed the quota together
//   s/q/job/<job>        written with each task start for a job that has several chunks and must
//                        keep its tasks in one zone or spread them over zones, so that concurrent
//                        starts conflict and cannot violate this together
//   s/m/<member>         member record with the member's incarnation, attached to its lease
//   s/lead               incarnation of the leader, attached to its lease
//   s/format             latest record format that all controllers can read, written once every
//                        member record states that format
//   s/view               membership view: epoch and members; each commit that changes tasks has a
//                        precondition on its version
//   s/p/<machine>        ownership claim of a member on a machine that cannot reach its owner;
//                        written only by members that cannot reach the leader, as the others
//                        include their claims in their status messages
//   s/catalogue          machine types of the cloud
//   s/fleet              machines that are rented but have not sent their first heartbeat
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// Keys of single records.
inline const std::string kViewKey = "s/view";
inline const std::string kLeaderKey = "s/lead";
inline const std::string kFormatKey = "s/format";
inline const std::string kCatalogueKey = "s/catalogue";
inline const std::string kFleetKey = "s/fleet";

// Prefixes of the keys of each kind of record.
inline const std::string kAllPrefix = "s/";  // all records
inline const std::string kJobPrefix = "s/j/";
inline const std::string kTaskRecordPrefix = "s/t/";  // task records
inline const std::string kDependencyListPrefix = "s/n/";
inline const std::string kTombstonePrefix = "s/f/";  // tombstones
inline const std::string kMemberPrefix = "s/m/";
// Keys that make concurrent starts conflict.
inline const std::string kStartConflictPrefix = "s/q/";
inline const std::string kClaimPrefix = "s/p/";  // ownership claims

// Returns the key of the job record.
std::string job_key(const JobId& id);
// Returns the key of the tombstone.
std::string tombstone_key(const JobId& id);
// Returns the key of the task record of a chunk.
std::string chunk_record_key(const JobId& id, std::uint32_t chunk);
// Returns the key of the task record of a piece.
std::string piece_record_key(const JobId& id, std::uint32_t piece);
// Returns the key of the record that names the set of dependency lists.
std::string dependency_lists_key(const JobId& id);
// Returns the key of one dependency list of a set.
std::string dependency_list_key(const JobId& id, const std::string& set, std::size_t number);
// Returns the key that makes concurrent starts for a team conflict. Characters that a key may not
// contain are escaped. Teams whose names have the same first 80 bytes share a key.
std::string team_start_key(const std::string& team);
// Returns the key that makes concurrent starts of one job's tasks conflict.
std::string job_start_key(const JobId& id);
// Returns the key of the ownership claim on a machine.
std::string claim_key(const MachineId& machine);
// Returns the key of the member record.
std::string member_key(const MemberId& member);

// The parts of the key of a task record.
struct TaskRecordKey {
  JobId job;
  std::uint32_t chunk = 0;  // number of the chunk, or of the piece if is_piece
  bool is_piece = false;
};
// Parses the key of a task record; nullopt if it is malformed. Requires that `key` starts with
// kTaskRecordPrefix.
std::optional<TaskRecordKey> parse_task_record_key(const std::string& key);

// Returns the job to which a key under kDependencyListPrefix belongs; nullopt for all other keys.
std::optional<JobId> job_of_dependency_key(const std::string& key);

}  // namespace saddleslip::protocol
