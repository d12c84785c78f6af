// Keys of the records that controllers keep in the state service.
//
//   s/j/<job>            a job that is not final: its submission, and whether it was cancelled
//   s/t/<job>/<chunk>    the tasks of one chunk: done, and assigned to machines; the job's record says
//                        how many tasks a chunk has
//   s/t/<job>/p<piece>   the same for a piece of a chunk, once the job's record says that its chunks are
//                        split; the chunk's own record holds for pieces that have no record
//   s/n/<job>            which set of lists holds the job's dependencies, if they do not fit into its
//                        record; written before the job's own record, which guards its version
//   s/n/<job>/<set>/<i>  one of the lists of that set
//   s/f/<job>            the tombstone of a final job
//   s/q/<team>           written with each start for a team with a quota: makes concurrent starts
//                        conflict
//   s/q/job/<job>        the same for a job of several chunks whose tasks share or avoid zones
//   s/m/<member>         a member's incarnation, under its lease
//   s/lead               the leader, under its lease
//   s/format             the format that all controllers read, once each of them has said so
//   s/view               epoch and members; every commit on tasks guards its version
//   s/p/<machine>        an ownership claim: by a member without contact to the leader, on a machine
//                        that cannot reach its owner; a member with contact tells the leader instead
//   s/catalogue          the machine types
//   s/fleet              machines that are rented and have sent no heartbeat yet
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// Single keys
inline const std::string kViewKey = "s/view";
inline const std::string kLeadKey = "s/lead";
inline const std::string kFormatKey = "s/format";
inline const std::string kCatalogueKey = "s/catalogue";
inline const std::string kFleetKey = "s/fleet";

// Prefixes
inline const std::string kAll = "s/";
inline const std::string kJobs = "s/j/";
inline const std::string kChunks = "s/t/";
inline const std::string kDependencies = "s/n/";
inline const std::string kFinals = "s/f/";
inline const std::string kMembers = "s/m/";
inline const std::string kTeams = "s/q/";
inline const std::string kClaims = "s/p/";

std::string job_key(const JobId& id);
std::string final_key(const JobId& id);
std::string chunk_key(const JobId& id, std::uint32_t chunk);
std::string piece_key(const JobId& id, std::uint32_t piece);
std::string dependency_lists_key(const JobId& id);
std::string dependency_list_key(const JobId& id, const std::string& set, std::size_t number);
// Escapes what a key may not hold; names that agree in their first 80 bytes share a key.
std::string team_key(const std::string& team);
// The key that makes concurrent starts of one job's tasks conflict.
std::string row_key(const JobId& id);
std::string claim_key(const MachineId& machine);
std::string member_key(const MemberId& member);

// What the key of a task record names.
struct ChunkName {
  JobId job;
  std::uint32_t chunk = 0;  // the number of the chunk, or of the piece
  bool is_piece = false;
};
// `key` starts with kChunks. None if the rest is malformed.
std::optional<ChunkName> parse_chunk_key(const std::string& key);

// The job that a key of dependency lists belongs to; none for keys of other records.
std::optional<JobId> job_of_dependency_key(const std::string& key);

}  // namespace saddleslip::protocol
