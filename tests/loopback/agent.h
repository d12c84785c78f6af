// The agent of one machine of a loopback cluster: its tasks, its lease and its fencing token.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loopback/cluster_ledger.h"

namespace saddleslip::testing {

// The only machine type of a loopback cluster.
inline constexpr const char* kMachineType = "standard";
inline constexpr double kMachineCores = 8;

// Executes commands and runs tasks in real time, without sockets. Reports starts and ends to the
// ledger.
//
// Not thread-safe.
class Agent {
 public:
  using Clock = std::chrono::steady_clock;
  using Time = Clock::time_point;

  Agent(std::string id, std::string zone, ClusterLedger& ledger, Time now);

  const std::string& zone() const { return zone_; }

  const std::string& id() const { return id_; }
  // Ends all tasks if the lease has expired, which happens on a hanging machine too. Returns whether
  // it has.
  bool expire_lease(Time now, std::chrono::duration<double> lease);
  // Advances the tasks to `now`. Returns whether something has changed that the agent reports at
  // once.
  bool advance(Time now);
  // Returns the next heartbeat, with this address for direct commands.
  std::string heartbeat(const std::string& address);
  // Processes the body of a response 200 to the heartbeat that was sent at `sent_at`. Returns
  // whether the response was accepted.
  bool handle_response(const nlohmann::json& response, Time sent_at, Time now);
  // Executes a direct command batch. Returns the status of the response.
  int handle_orders(const nlohmann::json& orders, Time now);
  // Ends all tasks because the machine is gone.
  void end_all_tasks();
  // Returns the session, which late responses must match.
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct Attempt {
    std::uint64_t number = 0;
    std::string state = "pulling";
    std::string cause = "none";
    Time image_ready_at{}, ends_at{};
    double cores = 0;

    bool is_active() const { return state != "ended"; }
    bool is_running() const { return state == "running"; }
  };
  using TaskKey = std::pair<std::string, std::uint32_t>;  // job and task number

  void execute(const nlohmann::json& commands, Time now);
  void run(const TaskKey& task, std::uint64_t number, Time now);
  void end(const TaskKey& task, Attempt& attempt, const std::string& cause);
  bool advance_attempt(const TaskKey& task, Attempt& attempt, Time now);
  double cores_in_use() const;

  const std::string id_, zone_;
  ClusterLedger& ledger_;
  std::uint64_t incarnation_ = 1, sequence_ = 0, token_ = 0;
  Time last_answered_at_;
  std::map<TaskKey, std::vector<Attempt>> tasks_;
};

}  // namespace saddleslip::testing
