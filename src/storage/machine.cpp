#include "storage/machine.h"

#include <algorithm>

namespace saddleslip::storage {

bool Machine::has_image(const std::string& image) const {
  return std::any_of(images.begin(), images.end(),
                     [&image](const auto& entry) { return entry.first == image; });
}

void Machine::record_image_use(const std::string& image, double gb, double cache_gb) {
  std::erase_if(images, [&image](const auto& entry) { return entry.first == image; });
  images.emplace_back(image, gb);
  double total_gb = 0;
  for (const auto& entry : images) total_gb += entry.second;
  while (images.size() > 1 && total_gb > cache_gb) {
    total_gb -= images.front().second;
    images.erase(images.begin());
  }
}

bool Machine::is_newer(const Heartbeat& heartbeat) const {
  return std::pair(heartbeat.agent_incarnation, heartbeat.sequence) >
         std::pair(last_heartbeat.agent_incarnation, last_heartbeat.sequence);
}

const protocol::ReportedAttempt* Machine::reported_attempt(const TaskId& task,
                                                           const Assignment& assignment) const {
  if (assignment.agent_incarnation != last_heartbeat.agent_incarnation) return nullptr;
  const auto entry = last_heartbeat.tasks.find(task);
  if (entry == last_heartbeat.tasks.end()) return nullptr;
  const auto& attempts = entry->second;
  const auto found = std::find_if(attempts.begin(), attempts.end(), [&](const auto& reported) {
    return reported.attempt == assignment.attempt;
  });
  return found == attempts.end() ? nullptr : &*found;
}

bool Machine::reported_ended(const TaskId& task, const Assignment& assignment) const {
  const auto* reported = reported_attempt(task, assignment);
  return reported && reported->state == protocol::TaskState::kEnded;
}

void Machine::start_fencing(FencingToken first) {
  fencing_token = first;
  required_fencing_token = first;
  confirmation_token = first;
}

void Machine::continue_fencing(FencingToken first, bool follows_previous,
                               Time others_answered_until) {
  fencing_token = first;
  required_fencing_token = first;
  // If the machine has already received responses from this process, only responses that are lost
  // from now on count against it.
  confirmation_token = is_confirmed() && follows_previous ? FencingToken(0) : first;
  last_sent_token = FencingToken(0);
  if (!follows_previous) last_answered_at = std::max(last_answered_at, others_answered_until);
}

void Machine::begin_agent_incarnation(Time now) {
  tasks_to_evict.clear();
  running_since.clear();
  // An agent that received no response for the duration of its lease reports no tasks, like a
  // healthy idle one. The new token distinguishes them.
  fencing_token = FencingToken(fencing_token.get() + 1);
  fencing_token_since = now;
  confirmation_token = fencing_token;
}

bool Machine::track_acknowledgement(FencingToken acknowledged_token, Time now) {
  if (last_sent_token.get() == 0) return false;
  if (acknowledged_token >= last_sent_token) {
    unacknowledged_replies = 0;
    half_open_since.reset();
    return false;
  }
  ++unacknowledged_replies;
  if (!half_open_since) half_open_since = now;
  return unacknowledged_replies == 2;
}

FencingToken Machine::token_for_response(Seconds renewal, Time now) {
  if (base::between(fencing_token_since, now) > renewal) {
    fencing_token = FencingToken(fencing_token.get() + 1);
    fencing_token_since = now;
  }
  last_sent_token = fencing_token;
  return fencing_token;
}

}  // namespace saddleslip::storage
