// The machines that report to this process: what they last said, and what they were last told.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "storage/state_cache.h"

namespace saddleslip::storage {

using base::AgentIncarnation;
using base::FencingToken;
using base::Seconds;
using base::Sequence;
using protocol::Heartbeat;

// A report that is later than so many intervals is overdue: none that is well is.
inline constexpr double kOverdue = 1.5;

// What follows from a machine's report and the record, worked out once while neither changes.
struct MachineCapacity {
  bool known = false;
  std::uint64_t stamp = 0;     // of the record
  std::uint64_t checked = 0;   // the last stamp of any machine when this one's was looked at
  std::uint32_t assigned = 0;  // tasks that the record has on it
  AgentIncarnation agent_incarnation;
  Sequence sequence;
  std::size_t evicted = 0;
  Resources free;
  Resources preemptible;  // taken by tasks that more urgent work may stop
  bool active = false;    // it reports something that is not over
  bool stops = false;     // something on it is to be stopped
  struct EndedAttempt {
    TaskId task;
    const char* why;
    bool done;
  };
  std::vector<EndedAttempt> ended_attempts;  // held, and over by the machine's own word
};

struct Machine {
  Heartbeat last_heartbeat;
  mutable MachineCapacity capacity;
  Time last_heartbeat_at{};  // when the newest report came
  Time
      last_answered_at{};  // when a report was last answered with 200 by anyone who may have done so
  Time idle_since{};
  std::optional<Time> taken_at;  // when the cloud's notice says that the machine goes
  // Tokens. A direct order is given under a token of its own; the next answer carries a higher one.
  // Once the worker has shown that, no copy of the order can be carried out any more.
  FencingToken fencing_token;  // for the next answer or order
  FencingToken fence_floor;    // what the worker must have shown for "fenced"
  // A report that shows this was sent after this owner's answer reached the machine. Before that
  // nothing tells a machine that hears from a late copy of its reports, or from one whose reports
  // arrive while no answer reaches it.
  FencingToken confirmation_token;
  Time fencing_token_since{};      // when the present token was first given in an answer
  FencingToken last_sent_token;    // the one of the latest answer
  int unacknowledged_replies = 0;  // reports in a row that did not show what was answered before
  std::optional<Time> half_open_since;
  bool commands_lost = false;      // no direct orders until it reports again
  bool cordoned = false;           // takes no new tasks
  bool draining = false;           // its services are being moved elsewhere
  bool release_requested = false;  // its release was asked for
  std::set<TaskId> evict;          // tasks to be stopped, though their jobs live on
  // Images that it has, as far as its tasks have shown, the latest used last; and those under way.
  std::vector<std::pair<std::string, double>> images;
  std::set<std::string> pulling;
  std::map<TaskId, Seconds> ran_before;  // how long those ran that are over and not yet on record
  std::map<TaskId, Time> ran;            // when a task was first seen running
  // As other members are told of it, and which telling brought the last change.
  protocol::MachineStatus status;
  std::uint64_t status_changed_at = 0;
  std::pair<AgentIncarnation, Sequence> status_heartbeat;  // the report that its images are of

  bool has_image(const std::string& image) const {
    return std::any_of(images.begin(), images.end(),
                       [&image](const auto& i) { return i.first == image; });
  }
  // A task has run here, so its image is here; the least recently used ones give way.
  void used_image(const std::string& image, double gb, double cache_gb) {
    std::erase_if(images, [&image](const auto& i) { return i.first == image; });
    images.emplace_back(image, gb);
    double sum = 0;
    for (const auto& i : images) sum += i.second;
    while (images.size() > 1 && sum > cache_gb) {
      sum -= images.front().second;
      images.erase(images.begin());
    }
  }
  bool is_fenced() const { return last_heartbeat.fencing_token >= fence_floor; }
  // Has it heard this owner, in this session of its own?
  bool is_confirmed() const { return last_heartbeat.fencing_token >= confirmation_token; }
  // One answer may be lost, or late; two in a row are a sign.
  bool is_half_open() const { return unacknowledged_replies >= 2; }
};

}  // namespace saddleslip::storage
