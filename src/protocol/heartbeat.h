// Heartbeats: the messages in which the agent on a machine reports its state and its tasks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// The state of an attempt, as the agent reports it. Only kEnded is final.
enum class TaskState { kPulling, kGathering, kRunning, kSaving, kEnded };

// The reason why an attempt ended; kNone if it has not ended.
enum class EndCause { kNone, kDone, kHalted, kError, kNoRoom, kBusy, kUnknown };
// Returns the cause's name in heartbeats.
const char* to_string(EndCause cause);

// One attempt of a task, as listed in a heartbeat.
struct ReportedAttempt {
  Attempt attempt;
  TaskState state = TaskState::kPulling;
  EndCause cause = EndCause::kNone;
  bool operator==(const ReportedAttempt&) const = default;
};

// The state of a machine and all attempts on it.
struct Heartbeat {
  MachineId machine;
  std::string address;  // host:port at which the agent takes commands
  std::string type;
  std::string zone;
  bool spot = false;
  AgentIncarnation agent_incarnation;
  Sequence sequence;           // increases with each heartbeat of an agent incarnation
  FencingToken fencing_token;  // the highest that the agent has received; 0: none
  // Preemption notice: the time until the cloud reclaims the machine.
  std::optional<Seconds> time_to_preemption;
  std::map<TaskId, std::vector<ReportedAttempt>> tasks;  // a task's attempts; rarely more than one
};

// Parses the body of a heartbeat; nullopt if it is malformed. For compatibility with newer agents,
// an unknown task state is read as kGathering (the attempt exists and has not ended), and an
// unknown cause as kError.
std::optional<Heartbeat> parse_heartbeat(const std::string& body);

}  // namespace saddleslip::protocol
