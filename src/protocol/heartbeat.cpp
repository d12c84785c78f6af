#include "protocol/heartbeat.h"

#include <array>
#include <limits>

#include "protocol/field_reader.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

namespace {

constexpr auto kMaxInteger = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kMaxTaskDigits = 6;

// Names of the causes in heartbeats, in the order of enum EndCause.
constexpr std::array<const char*, 7> kCauseNames = {"none",    "done", "halted", "error",
                                                    "no_room", "busy", "unknown"};

std::optional<TaskId> parse_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0) return {};
  const std::size_t digits = text.size() - slash - 1;
  if (digits == 0 || digits > kMaxTaskDigits) return {};
  TaskNumber number = 0;
  for (std::size_t i = slash + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return {};
    number = number * 10 + static_cast<TaskNumber>(text[i] - '0');
  }
  return TaskId{JobId(text.substr(0, slash)), number};
}

TaskState parse_task_state(const std::string& name) {
  if (name == "pulling") return TaskState::kPulling;
  if (name == "running") return TaskState::kRunning;
  if (name == "saving") return TaskState::kSaving;
  if (name == "ended") return TaskState::kEnded;
  // The gathering state, or one that only newer agents report: the attempt exists and has not
  // ended.
  return TaskState::kGathering;
}

EndCause parse_cause(const Json* value) {
  const std::string name = value && value->is_string() ? value->get<std::string>() : "";
  for (const EndCause cause : {EndCause::kDone, EndCause::kHalted, EndCause::kNoRoom,
                               EndCause::kBusy, EndCause::kUnknown}) {
    if (name == to_string(cause)) return cause;
  }
  return EndCause::kError;
}

// Adds the attempt that `entry` describes to the heartbeat. Returns false if the entry is
// malformed.
bool read_task(const Json& entry, Heartbeat& heartbeat) {
  if (!entry.is_object()) return false;
  FieldReader reader(entry);
  const auto id = parse_task_id(reader.read_string(wire::kTask));
  ReportedAttempt reported;
  reported.attempt = Attempt(reader.read_integer(wire::kAttempt, 0, kMaxInteger));
  reported.state = parse_task_state(reader.read_string("status"));
  if (reported.state == TaskState::kEnded) reported.cause = parse_cause(reader.find("cause"));
  if (!id || reader.error()) return false;
  heartbeat.tasks[*id].push_back(reported);
  return true;
}

bool read_tasks(const Json& tasks, Heartbeat& heartbeat) {
  if (!tasks.is_array()) return false;
  for (const Json& entry : tasks) {
    if (!read_task(entry, heartbeat)) return false;
  }
  return true;
}

}  // namespace

const char* to_string(EndCause cause) {
  return kCauseNames[static_cast<std::size_t>(cause)];
}

std::optional<Heartbeat> parse_heartbeat(const std::string& body) {
  const Json root = Json::parse(body, nullptr, false);
  if (!root.is_object()) return {};
  FieldReader reader(root);
  Heartbeat heartbeat;
  heartbeat.machine = MachineId(reader.read_string(wire::kMachine));
  heartbeat.address = reader.read_string(wire::kAddress);
  heartbeat.type = reader.read_string(wire::kMachineType);
  heartbeat.zone = reader.read_string(wire::kZone);
  heartbeat.spot = reader.find(wire::kSpot) && reader.read_boolean(wire::kSpot);
  heartbeat.agent_incarnation =
      AgentIncarnation(reader.read_integer(wire::kAgentIncarnation, 0, kMaxInteger));
  heartbeat.sequence = Sequence(reader.read_integer(wire::kSequence, 0, kMaxInteger));
  if (reader.find_non_null(wire::kFencingToken)) {
    heartbeat.fencing_token =
        FencingToken(reader.read_integer(wire::kFencingToken, 0, kMaxInteger));
  }
  if (const auto notice = reader.read_optional_amount(wire::kPreemptionNotice, -kMaxAmount)) {
    heartbeat.time_to_preemption = Seconds(*notice);
  }
  const Json* tasks = reader.find_non_null(wire::kTasks);
  if (tasks && !read_tasks(*tasks, heartbeat)) return {};
  if (reader.error()) return {};
  return heartbeat;
}

}  // namespace saddleslip::protocol
