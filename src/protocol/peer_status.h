// What controllers tell each other: the status of their machines, and offers of tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/base_types.h"
#include "protocol/member_records.h"
#include "protocol/resources.h"

namespace saddleslip::protocol {

// A machine as its owner sees it.
struct MachineStatus {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool open = true;       // it takes new tasks
  Resources free;         // capacity that no task holds
  Resources preemptible;  // held by tasks of standard and idle rank, which urgent work may displace
  std::uint32_t tasks = 0;
  Time idle_since{};  // when it last had a task; only if it has none now
  std::vector<std::string> images;
  bool silent = false;  // no heartbeat for a while, or none that shows that responses reach it
  bool unsure = false;  // its heartbeats arrive, and the last did not show the latest response
  bool late = false;    // its heartbeat is overdue
  bool soon = false;    // new: opens once it has shown that responses reach it

  bool has_image(const std::string& image) const {
    return std::find(images.begin(), images.end(), image) != images.end();
  }
  bool operator==(const MachineStatus&) const = default;
};

// Whether heartbeats of the machines that a member owns reach it. Unknown while it may not answer
// them, or owns none.
enum class WorkerContact { kUnknown, kGood, kLost };

// What a member tells a peer of its machines: those that changed between two revisions of the member's
// own count of changes. Sent as a delta, since the status of hundreds of machines sent in full each
// time cost more than all else that a controller does.
struct MemberStatus {
  ControllerIncarnation from;
  bool has_state = false;   // its lease in the store was renewed lately
  std::uint64_t since = 0;  // the revision that the peer has acknowledged; 0: all machines are told
  std::uint64_t upto = 0;   // the revision that the peer has after this
  std::vector<MachineStatus> machines;
  std::vector<MachineId> left;               // no longer among its machines
  std::vector<MachineId> release_requested;  // machines that it asks the leader to release
  std::vector<MachineId> misdirected;  // machines of other owners that lately sent heartbeats here
  std::vector<MachineId> ownership_claims;  // those of them that cannot reach their owners
  WorkerContact contact = WorkerContact::kUnknown;
  std::vector<JobId> crash_looping_jobs;  // jobs that failed on every machine it has seen them on
};

// Times leave the process as ages, so both calls take the present time.
Json to_json(const MemberStatus& status, Time now);
// None if the message is malformed.
std::optional<MemberStatus> parse_status(const Json& body, Time now);

// Tasks of a job that the sender's own machines have no capacity for.
struct Offer {
  JobId job;
  std::vector<std::pair<TaskNo, TaskNo>> ranges;  // first task, count
};

struct Offers {
  ControllerIncarnation from;
  Epoch epoch;  // of the view in which they were made
  std::vector<Offer> offers;
};

Json to_json(const Offers& offers);
// None if the message is malformed.
std::optional<Offers> parse_offers(const Json& body);

}  // namespace saddleslip::protocol
