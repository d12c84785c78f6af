// The status and the offers of tasks that controllers send to each other.
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

// The state of a machine, as seen by the controller that owns it.
struct MachineStatus {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool open = true;  // accepts new tasks
  Resources free;    // capacity that is not assigned to any task
  // Capacity assigned to tasks of standard and idle rank, which more urgent tasks may preempt.
  Resources preemptible;
  std::uint32_t tasks = 0;          // the number of tasks assigned to the machine
  Time idle_since{};                // when its last task ended; unset while it has tasks
  std::vector<std::string> images;  // images known to be in its cache
  // No recent heartbeat, or none that proves that responses reach the machine.
  bool is_silent = false;
  // Heartbeats arrive, but the last one did not acknowledge the latest response.
  bool has_unacknowledged_response = false;
  bool heartbeat_overdue = false;  // its next heartbeat has not arrived in time
  // A new machine, which accepts tasks once a heartbeat has proved that responses reach it.
  bool awaits_confirmation = false;

  // Returns whether the image is known to be in the cache of the machine.
  bool has_image(const std::string& image) const {
    return std::find(images.begin(), images.end(), image) != images.end();
  }
  bool operator==(const MachineStatus&) const = default;
};

// Whether a member receives the heartbeats of the machines that it owns. Unknown while it lacks the
// authority to answer them, or owns no machines.
enum class WorkerContact { kUnknown, kGood, kLost };

// The status that a member sends to a peer: the machines that changed between two revisions, which
// count the changes of the sender's machines. It is sent as a delta, since sending the full status
// of hundreds of machines each time cost more than everything else that a controller does.
struct MemberStatus {
  ControllerIncarnation from;
  bool has_lease = false;  // its lease in the state service was renewed recently
  // Base revision of the delta, acknowledged by the peer; 0: full status.
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;  // revision that the peer has after applying this status
  std::vector<MachineStatus> machines;
  std::vector<MachineId> departed_machines;  // machines that it no longer owns
  std::vector<MachineId> release_requested;  // machines that the leader should release
  std::vector<MachineId> misdirected;  // machines of other owners that recently sent it heartbeats
  // Machines in `misdirected` that cannot reach their owners, so this member claims their
  // ownership.
  std::vector<MachineId> ownership_claims;
  WorkerContact worker_contact = WorkerContact::kUnknown;
  // Jobs that failed on every machine on which this member saw them run.
  std::vector<JobId> crash_looping_jobs;
};

// Encodes a status. Times are written as ages relative to `now`, as clocks are not comparable
// between processes.
Json to_json(const MemberStatus& status, Time now);
// Parses a status, converting ages to times relative to `now`; nullopt if it is malformed.
std::optional<MemberStatus> parse_status(const Json& body, Time now);

// An offer to run tasks of a job for which the sender's own machines lack capacity.
struct Offer {
  JobId job;
  std::vector<std::pair<TaskNumber, TaskNumber>> ranges;  // first task and number of tasks
};

// Offers that a member makes under one membership view.
struct Offers {
  ControllerIncarnation from;
  Epoch epoch;  // epoch of that membership view
  std::vector<Offer> offers;
};

Json to_json(const Offers& offers);
// Parses the offers of a member; nullopt if they are malformed.
std::optional<Offers> parse_offers(const Json& body);

}  // namespace saddleslip::protocol
