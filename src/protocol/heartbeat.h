// What the agent on a machine reports of itself and its tasks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

enum class TaskState { kPulling, kGathering, kRunning, kSaving, kEnded };

// Why an attempt ended; kNone if it has not.
enum class Cause { kNone, kDone, kHalted, kError, kNoRoom, kBusy, kUnknown };
const char* to_string(Cause cause);

// One attempt of a task that the agent knows.
struct ReportedAttempt {
  Attempt attempt;
  TaskState state = TaskState::kPulling;
  Cause cause = Cause::kNone;
  bool operator==(const ReportedAttempt&) const = default;
};

struct Heartbeat {
  MachineId machine;
  std::string address;  // host:port at which the agent takes commands
  std::string type;
  std::string zone;
  bool spot = false;
  AgentIncarnation agent_incarnation;
  Sequence sequence;              // rises with each heartbeat of one incarnation
  FencingToken fencing_token;     // the latest that the agent has seen; 0: none
  std::optional<Seconds> notice;  // a preemption notice: the machine is taken after this time
  std::map<TaskId, std::vector<ReportedAttempt>> tasks;  // seldom more than one attempt of a task
};

// None if the body is malformed. A task state that is unknown here counts as kGathering: the attempt
// exists and has not ended. An unknown cause counts as kError.
std::optional<Heartbeat> parse_heartbeat(const std::string& body);

}  // namespace saddleslip::protocol
