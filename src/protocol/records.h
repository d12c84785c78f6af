// What the service keeps in the state service, and what controllers tell each other.
//
//   s/j/<job>            a job that is not over: what it asks, and whether it was cancelled
//   s/t/<job>/<chunk>    its tasks' ranges: done, and held by machines (a chunk is as many tasks as
//                        the job's record says)
//   s/t/<job>/p<piece>   the same for a piece of a chunk, once the job's record says that its chunks are
//                        divided: what the chunk's own record says holds for pieces that have none
//   s/n/<job>            which set of lists names the jobs that it needs, if these do not fit into its record;
//                        written before the job's own record, which guards its version
//   s/n/<job>/<set>/<i>  one of the lists of that set
//   s/f/<job>            a job that is over, for good
//   s/q/<team>           written with each start for a team with a limit: puts the starts in a row
//   s/q/job/<job>        the same for a job of several chunks whose tasks share or avoid zones
//   s/m/<member>         a member's life, under its lease
//   s/lead               the leader, under its lease
//   s/format             the format that all controllers read, once each of them has said so
//   s/view               epoch and members; every commit on tasks guards its version
//   s/p/<machine>        a member that doesn't reach the leader claims a machine that can't reach its
//                        owner; otherwise the leader is told so
//   s/catalogue          the machine types
//   s/fleet              machines rented and not heard of yet
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.h"

namespace saddleslip::protocol {

using base::Epoch;
using base::Incarnation;
using base::LeaseId;
using base::Revision;
using base::Time;
using base::Version;

inline constexpr TaskNo kMostChunk = 256;  // its record must fit one value of the store
inline const std::string kAll = "s/";
inline const std::string kViewKey = "s/view";
inline const std::string kLeadKey = "s/lead";
inline const std::string kFormatKey = "s/format";
// What this version reads. 1, or not told: whole chunks only; 2: also pieces of them.
inline constexpr std::uint64_t kFormat = 2;
inline constexpr std::uint64_t kFormatWithPieces = 2;
inline const std::string kCatalogueKey = "s/catalogue";
inline const std::string kFleetKey = "s/fleet";
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
std::string team_key(const std::string& team);
std::string row_key(const JobId& id);
std::string claim_key(const MachineId& machine);
std::string member_key(const MemberId& member);
struct ChunkName {
  JobId job;
  std::uint32_t chunk = 0;
  bool is_piece = false;  // then the number is a piece's
};
std::optional<ChunkName> parse_chunk_key(const std::string& key);

struct Item {
  std::string key;
  Json value;  // null: removed
  Version version;
};

struct Put {
  std::string key;
  std::optional<Json> value;  // none: remove
  std::optional<LeaseId> lease;
};

// The store takes so many conditions for each change that a transaction may hold.
inline constexpr std::size_t kPreconditionsPerWrite = 4;

struct Transaction {
  std::map<std::string, Version> preconditions;
  std::vector<Put> writes;
};

// The lists that name the jobs that a job needs, kept apart from its record. The set's name stands for what
// is in them: lists of two submissions of one id are never mixed up.
struct DependencyLists {
  std::string set;
  std::size_t count = 0;
};
std::string dependency_lists_key(const JobId& id);
std::string dependency_list_key(const JobId& id, const std::string& set, std::size_t number);
// The job that a key of its need lists is for.
std::optional<JobId> job_of_dependency_key(const std::string& key);
// The lists' values, each of so many bytes at most.
std::vector<Json> split_dependencies(const std::vector<JobId>& dependencies,
                                     std::size_t most_bytes);
// Names the set by its content.
DependencyLists name_dependency_lists(const std::vector<Json>& lists);
Json to_json(const DependencyLists& lists);

struct JobRecord {
  JobSpec spec;
  std::optional<DependencyLists> dependency_lists;  // where spec.needs is kept, if not here
  double submitted = 0;  // by the time of day of the node that accepted it
  bool cancelled = false;
  TaskNo chunk = kMostChunk;  // tasks that share a record
  TaskNo piece = 0;  // of these, so many do since the chunks were divided; 0: they were not

  // Records of tasks are numbered: chunks, or pieces if there are such.
  std::uint32_t pieces_of_chunk() const { return piece == 0 ? 1 : (chunk + piece - 1) / piece; }
  std::uint32_t chunk_of(TaskNo no) const {
    const TaskNo within = piece == 0 ? 0 : no % chunk / piece;
    return no / chunk * pieces_of_chunk() + within;
  }
  std::size_t chunks() const { return chunk_of(spec.tasks - 1) + std::size_t{1}; }
  TaskNo first_task(std::uint32_t number) const {
    return number / pieces_of_chunk() * chunk + number % pieces_of_chunk() * piece;
  }
  TaskNo tasks_of(std::uint32_t number) const {
    const TaskNo first = first_task(number);
    const TaskNo left = std::min(chunk - first % chunk, spec.tasks - first);
    return piece == 0 ? left : std::min(piece, left);
  }
  std::string record_key(std::uint32_t number) const {
    return piece == 0 ? chunk_key(spec.id, number) : piece_key(spec.id, number);
  }
};
// So many tasks to a record that each part of the machines can have records of its own: two nodes
// that write the same one get in each other's way. No more than fit into a value of so many bytes,
// each held by a machine of its own.
TaskNo chunk_size(TaskNo tasks, std::size_t partitions, std::size_t most_bytes);
Json to_json(const JobRecord& job);
std::optional<JobRecord> parse_job(const Json& value);

// Where a task is, or may be.
struct Assignment {
  MachineId machine;
  Attempt attempt;
  AgentIncarnation agent_incarnation;
  bool operator==(const Assignment&) const = default;
};
struct ChunkRecord {
  Attempt next{1};  // no attempt of this chunk has had this number or a higher one
  std::vector<bool> done;
  std::map<TaskNo, Assignment> assigned;
  TaskNo done_count() const;
};
// At least as many bytes as the record takes in the store.
std::size_t encoded_size_bound(const ChunkRecord& chunk);
// ... and what one more task that is held adds to it.
std::size_t encoded_size_bound(const Assignment& assigned);
Json to_json(const ChunkRecord& chunk, TaskNo first);
std::optional<ChunkRecord> parse_chunk(const Json& value, TaskNo first, TaskNo count);

// How a job ended, for good.
struct FinalState {
  JobStatus status = JobStatus::kDone;
  double at = 0;  // when this was recorded, by the time of day; 0: not told (versions before 0.2)
};
Json to_json(const FinalState& state);
std::optional<FinalState> parse_final(const Json& value);

struct ControllerIncarnation {
  MemberId member;
  Incarnation incarnation;
  auto operator<=>(const ControllerIncarnation&) const = default;
};
// A member's own record: its life, and whether it reaches any other member.
struct Member {
  ControllerIncarnation incarnation;
  bool reaches = false;
  std::uint64_t format = 1;  // what it reads
};
Json to_json(const Member& member);
std::optional<Member> parse_member(const Json& value);
Json to_json(const ControllerIncarnation& incarnation);
std::optional<ControllerIncarnation> parse_incarnation(const Json& value);

struct View {
  Epoch epoch;
  std::vector<ControllerIncarnation> members;
  // Machines that can't reach the member that the hash names, and who has them instead.
  std::map<MachineId, MemberId> overrides;
  bool operator==(const View&) const = default;
};
Json to_json(const View& view);
std::optional<View> parse_view(const Json& value);

// A machine that was rented and has not reported yet.
struct Booting {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  double rented = 0;  // by the time of day
};
// As many of the latest as fit into a value of so many bytes.
Json to_json(const std::vector<Booting>& fleet, std::size_t most_bytes);
std::vector<Booting> parse_fleet(const Json& value);

// --- between controllers

// A machine as its owner sees it.
struct MachineStatus {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool open = true;  // takes new tasks
  Resources free;
  Resources preemptible;  // held by tasks of standard and idle rank, which urgent work may displace
  std::uint32_t tasks = 0;
  Time idle_since{};  // when it last had a task, if it has none
  std::vector<std::string> images;
  bool silent = false;  // no report for a while, or none that shows that it hears its owner
  bool unsure = false;  // it reports, and did not show the latest answer
  bool late = false;    // its report is overdue
  bool soon = false;    // just heard of: open once it has shown that it hears its owner

  bool has_image(const std::string& image) const {
    return std::find(images.begin(), images.end(), image) != images.end();
  }
  bool operator==(const MachineStatus&) const = default;
};

// Does a member hear the machines that it owns? Unknown while it may not answer them, or has none.
enum class WorkerContact { kUnknown, kGood, kLost };

// What a member tells of its machines: what changed after `since`, a state of its own telling that
// the other side has; 0: all of them. Told in full each time, a part of hundreds of machines cost
// more than all else that a controller does.
struct MemberStatus {
  ControllerIncarnation from;
  bool has_state = false;  // its lease in the store was renewed lately
  std::uint64_t since = 0, upto = 0;
  std::vector<MachineStatus> machines;
  std::vector<MachineId> left;               // no longer among its machines
  std::vector<MachineId> release_requested;  // machines whose release it asks the leader for
  std::vector<MachineId> misdirected;        // machines of others that lately reported here
  std::vector<MachineId> ownership_claims;   // ... those of them that can't reach their owners
  WorkerContact contact = WorkerContact::kUnknown;
  std::vector<JobId> crash_looping_jobs;  // jobs that fail on every machine, as far as it has seen
};
Json to_json(const MemberStatus& status, Time now);
std::optional<MemberStatus> parse_status(const Json& body, Time now);

struct Offer {
  JobId job;
  std::vector<std::pair<TaskNo, TaskNo>> ranges;  // first, count
};
struct Offers {
  ControllerIncarnation from;
  Epoch epoch;
  std::vector<Offer> offers;
};
Json to_json(const Offers& offers);
std::optional<Offers> parse_offers(const Json& body);

}  // namespace saddleslip::protocol
