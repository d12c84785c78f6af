// What users, workers and the cloud say and are told. The words of the wire stay in this folder.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace saddleslip::protocol {

using Json = nlohmann::json;
using base::AgentIncarnation;
using base::Attempt;
using base::FencingToken;
using base::JobId;
using base::MachineId;
using base::MemberId;
using base::Seconds;
using base::Sequence;
using base::TaskId;
using base::TaskNo;

// Cores, GPUs, memory: what a task takes and a machine has.
struct Resources {
  std::array<double, 3> v{};
  double cores() const { return v[0]; }
  double gpus() const { return v[1]; }
  double memory() const { return v[2]; }
  bool fits(const Resources& request) const {
    for (std::size_t i = 0; i < v.size(); ++i) {
      if (request.v[i] > v[i] + 1e-6) return false;
    }
    return true;
  }
  Resources& operator+=(const Resources& o) {
    for (std::size_t i = 0; i < v.size(); ++i) v[i] += o.v[i];
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    for (std::size_t i = 0; i < v.size(); ++i) v[i] -= o.v[i];
    return *this;
  }
  friend Resources operator*(Resources a, double f) {
    for (double& x : a.v) x *= f;
    return a;
  }
  bool operator==(const Resources&) const = default;
};

enum class Kind { kArray, kGang, kService };
enum class Rank { kCritical, kUrgent, kStandard, kIdle };

struct JobSpec {
  JobId id;
  std::string job_class;
  std::string team;
  Kind kind = Kind::kArray;
  Rank rank = Rank::kStandard;
  TaskNo tasks = 0;
  Resources request;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  std::string image;
  double image_gb = 0;
  Seconds estimate{0};
  Seconds checkpoint{0};
  Seconds save{0};
  std::optional<Seconds> deadline;
  // Jobs that must be done before any task of this one starts; each is named once.
  std::vector<JobId> dependencies;
};

// Where users submit jobs; a job's own path is this, a slash and its id.
inline const std::string kSubmissionsPath = "/submissions";
// Of a submission: the jobs that it needs.
inline constexpr const char* kDependenciesField = "follows";
// Behind a job's path: its cancellation.
inline const std::string kCancelSuffix = "/withdraw";

bool valid_job_id(const std::string& id);
Json to_json(const JobSpec& spec);
// The reason for a 400, or the job.
std::variant<JobSpec, std::string> parse_submission(const std::string& body);

enum class JobStatus { kQueued, kRunning, kDone, kCancelled };
std::string user_status(const JobId& id, JobStatus status, std::optional<TaskNo> done = {},
                        std::optional<TaskNo> running = {});
std::string error_body(const std::string& reason);

// --- workers

enum class TaskState { kPulling, kGathering, kRunning, kSaving, kEnded };
enum class Cause { kNone, kDone, kHalted, kError, kNoRoom, kBusy, kUnknown };
const char* to_string(Cause cause);

struct ReportedAttempt {
  Attempt attempt;
  TaskState state = TaskState::kPulling;
  Cause cause = Cause::kNone;
  bool operator==(const ReportedAttempt&) const = default;
};

struct Heartbeat {
  MachineId machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  AgentIncarnation agent_incarnation;
  Sequence sequence;
  FencingToken fencing_token;
  std::optional<Seconds> notice;
  std::map<TaskId, std::vector<ReportedAttempt>> tasks;  // seldom more than one attempt of a task
};

std::optional<Heartbeat> parse_heartbeat(const std::string& body);

struct Command {
  enum class Op { kRun, kKill, kForget } op = Op::kRun;
  TaskId task;
  Attempt attempt;
  Seconds grace{0};
};

std::string heartbeat_response(FencingToken fencing_token, const std::vector<Command>& commands);
std::string orders(FencingToken fencing_token, AgentIncarnation agent_incarnation,
                   const std::vector<Command>& commands);
std::string redirect(const std::optional<MemberId>& owner);

// --- cloud

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0;
  Seconds boot{0};
  std::vector<std::string> zones;
};

std::optional<std::vector<MachineType>> parse_catalogue(const Json& body);
Json to_json(const std::vector<MachineType>& types);

enum class CloudState { kStarting, kRunning, kFailed };
struct CloudMachine {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  CloudState state = CloudState::kStarting;
  Seconds age{0};
};

}  // namespace saddleslip::protocol
