// The state of a machine that reports to this controller: its last heartbeat, the fencing tokens
// sent to it, and what is planned for it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "storage/machine_capacity.h"
#include "storage/state_cache.h"

namespace saddleslip::storage {

using base::AgentIncarnation;
using base::FencingToken;
using base::Seconds;
using base::Sequence;
using protocol::Heartbeat;

// A heartbeat is overdue after this many intervals. Heartbeats of a healthy machine are never that
// late.
inline constexpr double kHeartbeatOverdueIntervals = 1.5;

// A machine that reports to this controller. Each batch of commands that starts attempts carries
// its own fencing token, and the next heartbeat response carries a higher one. Once the agent has
// reported the higher token, it rejects late copies of the batch.
struct Machine {
  // The newest heartbeat that was processed.
  Heartbeat last_heartbeat;
  // The free capacity, cached by the capacity calculator.
  mutable MachineCapacity capacity;
  Time last_heartbeat_at{};  // when the newest heartbeat was received
  // When a controller that owned the machine may last have renewed its worker lease.
  Time last_answered_at{};
  // When the machine last had work or was given some; an idle machine has been idle since then.
  Time idle_since{};
  std::optional<Time> reclaim_at;  // when the cloud reclaims the machine, according to its notice

  FencingToken fencing_token;           // token for the next response or batch of commands
  FencingToken required_fencing_token;  // the agent is fenced once it has reported this token
  // A heartbeat that reports at least this token was sent after a response of this owner reached
  // the machine. Without such a heartbeat, a healthy machine cannot be distinguished from late
  // copies of a dead machine's heartbeats, or from a machine whose heartbeats arrive while
  // responses do not reach it.
  FencingToken confirmation_token;
  Time fencing_token_since{};    // when `fencing_token` was first sent in a response
  FencingToken last_sent_token;  // token of the latest response; 0 if none was sent
  // The number of consecutive heartbeats that did not report the token of the latest response.
  int unacknowledged_replies = 0;
  // When the first of the consecutive heartbeats without the latest token was received; unset if
  // the latest heartbeat reported that token. Several such heartbeats show a half-open connection,
  // on which heartbeats arrive but responses do not.
  std::optional<Time> half_open_since;

  bool commands_lost = false;       // commands may be lost; none are sent until the next heartbeat
  bool cordoned = false;            // no new tasks are placed on the machine
  bool draining = false;            // services are moved to other machines
  bool release_requested = false;   // the leader is asked to release the machine
  std::set<TaskId> tasks_to_evict;  // tasks to stop although their jobs continue
  // The images on the machine with their sizes in GB, as seen from its tasks, the most recently
  // used last.
  std::vector<std::pair<std::string, double>> images;
  // The images that the machine is pulling.
  std::set<std::string> pulling;
  // The run times of ended tasks whose end is not recorded yet.
  std::map<TaskId, Seconds> ended_run_times;
  std::map<TaskId, Time> running_since;  // when each running task was first seen running

  // The status of the machine that is sent to peers.
  protocol::MachineStatus status;
  // The revision of the last change of the status; 0 if the status was never built.
  std::uint64_t status_changed_at = 0;
  // Identifies the heartbeat that the images in the status are from.
  std::pair<AgentIncarnation, Sequence> status_heartbeat;

  // Returns whether the image is on the machine.
  bool has_image(const std::string& image) const;
  // Records that a task used the image, so that it is on the machine. Removes the least recently
  // used images when the cache size is exceeded.
  void record_image_use(const std::string& image, double gb, double cache_gb);

  // Returns whether the agent has shown that it rejects late copies of all commands sent before
  // `required_fencing_token`.
  bool is_fenced() const { return last_heartbeat.fencing_token >= required_fencing_token; }
  // Returns whether the present incarnation of the agent has received a response from this owner.
  bool is_confirmed() const { return last_heartbeat.fencing_token >= confirmation_token; }
  // Returns whether the connection is half-open: heartbeats arrive but responses do not. A single
  // lost or late response does not count.
  bool is_half_open() const { return unacknowledged_replies >= 2; }
  // Returns whether the heartbeat was sent after the last one that was processed.
  bool is_newer(const Heartbeat& heartbeat) const;

  // Returns what the machine last reported about this attempt, or null if nothing.
  const protocol::ReportedAttempt* reported_attempt(const TaskId& task,
                                                    const Assignment& assignment) const;
  // Returns whether the machine has reported the end of this attempt. Its resources are then free,
  // even if the end is not recorded yet.
  bool reported_ended(const TaskId& task, const Assignment& assignment) const;

  // Starts ownership of the machine with tokens from `first` on, none of which the machine has
  // received.
  void start_fencing(FencingToken first);
  // Continues ownership under a new view, with tokens from `first` on. `follows_previous` means
  // that no view was skipped, so no other controller can have owned the machine in between.
  // Otherwise another owner may have renewed its worker lease until `others_answered_until`.
  void continue_fencing(FencingToken first, bool follows_previous, Time others_answered_until);
  // Handles a restart of the agent, after which no earlier attempt is running.
  void begin_agent_incarnation(Time now);
  // Updates whether heartbeats report the token of the latest response. Returns true when the
  // machine has just become half-open.
  bool track_acknowledgement(FencingToken acknowledged_token, Time now);
  // Returns the token for a response that is about to be sent. It is raised if it is older than
  // `renewal`, since a token that never changes would not show whether responses arrive.
  FencingToken token_for_response(Seconds renewal, Time now);
};

}  // namespace saddleslip::storage
