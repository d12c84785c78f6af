// A machine that reports to this controller: what it last said, and what it was last told.
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

// A heartbeat is overdue after this many intervals: none of a healthy machine is.
inline constexpr double kOverdue = 1.5;

// Fencing tokens: each batch of commands that starts attempts has a token of its own, and the next
// heartbeat response carries a higher one. Once the agent has shown the higher token, no late copy of
// the batch can be carried out any more.
struct Machine {
  Heartbeat last_heartbeat;
  mutable MachineCapacity capacity;
  Time last_heartbeat_at{};  // when the newest heartbeat came
  Time last_answered_at{};   // when a controller that owned it may last have renewed its lease
  Time idle_since{};
  std::optional<Time> taken_at;  // when the cloud takes the machine, by the notice that it gave

  FencingToken fencing_token;  // for the next response or batch of commands
  FencingToken fence_floor;    // what the agent must have shown to be fenced
  // A heartbeat that shows this token was sent after a response of this owner reached the machine.
  // Before that, a healthy machine can't be told from late copies of a dead machine's heartbeats, nor
  // from a machine whose heartbeats arrive while no response reaches it.
  FencingToken confirmation_token;
  Time fencing_token_since{};    // when the present token was first sent in a response
  FencingToken last_sent_token;  // the one of the latest response; 0: none was sent
  int unacknowledged_replies =
      0;  // heartbeats in a row that did not show the latest response's token
  std::optional<Time> half_open_since;

  bool commands_lost = false;      // no commands are sent until it reports again
  bool cordoned = false;           // takes no new tasks
  bool draining = false;           // its services are being moved elsewhere
  bool release_requested = false;  // the leader is asked to release it
  std::set<TaskId> evict;          // tasks to be stopped, though their jobs go on
  // Images that it has, as far as its tasks have shown, the latest used last; and those under way.
  std::vector<std::pair<std::string, double>> images;
  std::set<std::string> pulling;
  std::map<TaskId, Seconds> ran_before;  // how long those ran that are over and not yet on record
  std::map<TaskId, Time> ran;            // when a task was first seen running

  // What peers are told of the machine.
  protocol::MachineStatus status;
  std::uint64_t status_changed_at = 0;  // the revision of its last change; 0: never built
  std::pair<AgentIncarnation, Sequence> status_heartbeat;  // whose images the status names

  bool has_image(const std::string& image) const;
  // A task ran here, so its image is here. The least recently used images give way.
  void used_image(const std::string& image, double gb, double cache_gb);

  // Has the agent shown that no copy of the commands sent so far can be carried out any more?
  bool is_fenced() const { return last_heartbeat.fencing_token >= fence_floor; }
  // Has this incarnation of its agent received a response of this owner?
  bool is_confirmed() const { return last_heartbeat.fencing_token >= confirmation_token; }
  // Do its heartbeats arrive while responses don't? One response may be lost, or late.
  bool is_half_open() const { return unacknowledged_replies >= 2; }
  // Was the heartbeat sent after the last one that was taken in?
  bool is_newer(const Heartbeat& heartbeat) const;

  // What the machine last reported of this attempt; null: nothing.
  const protocol::ReportedAttempt* reported_attempt(const TaskId& task,
                                                    const Assignment& assignment) const;
  // Has it reported the end of this attempt? Its resources are free then, on record or not.
  bool reported_ended(const TaskId& task, const Assignment& assignment) const;

  // The machine is owned under tokens from this one on, of which it has heard none.
  void start_fencing(FencingToken first);
  // The view changed, and the machine stays with this owner, which then sends tokens from `first` on.
  // `follows_previous`: no view was skipped, so nobody else can have owned it meanwhile. Else another
  // owner may have renewed its lease until `others_answered_until`.
  void continue_fencing(FencingToken first, bool follows_previous, Time others_answered_until);
  // The agent was restarted: nothing that ran before runs now.
  void begin_agent_incarnation(Time now);
  // Counts whether heartbeats show the token of the latest response. Returns true when the machine
  // has just turned out to be half open.
  bool track_acknowledgement(FencingToken shown, Time now);
  // A response is about to be sent: returns its token, a new one at least every `renewal`. A token that
  // never changes would not show whether responses arrive.
  FencingToken token_for_response(Seconds renewal, Time now);
};

}  // namespace saddleslip::storage
