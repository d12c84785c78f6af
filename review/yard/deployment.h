// A small deployment for the cases of the second review: three controllers, each a process of its
// own that is started with the command of the deploy file, and the project's stand-ins for the state
// service, the cloud and the workers (tests/loopback). All addresses are loopback addresses.
#pragma once

#include <fcntl.h>
#include <httplib.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "loopback/agent_swarm.h"
#include "loopback/cloud_stand_in.h"
#include "loopback/cluster_ledger.h"
#include "loopback/controller_processes.h"  // ReservedPort
#include "loopback/state_service_stand_in.h"
#include "loopback/zones.h"

namespace review {

using Json = nlohmann::json;
using saddleslip::testing::AgentSwarm;
using saddleslip::testing::CloudStandIn;
using saddleslip::testing::ClusterLedger;
using saddleslip::testing::LoopbackJob;
using saddleslip::testing::ReservedPort;
using saddleslip::testing::StateServiceLimits;
using saddleslip::testing::StateServiceStandIn;

// The exit statuses of a case.
enum ExitStatus { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// The limits of the small deployment: those of the first operator's brief.
constexpr double kReportSeconds = 3;
constexpr double kLeaseSeconds = 22;
constexpr double kCancelSeconds = 47;
constexpr std::size_t kControllers = 3;

inline void sleep_seconds(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes what was sent, answered and run to a file, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void add(const std::string& line) {
    const std::chrono::duration<double> age = std::chrono::steady_clock::now() - began_at_;
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%7.3f ", age.count());
    file_ << stamp << line << std::endl;
  }

 private:
  const std::chrono::steady_clock::time_point began_at_ = std::chrono::steady_clock::now();
  std::ofstream file_;
};

// The reply to a request; the status is 0 if there was none.
struct Reply {
  int status = 0;
  std::string body;
};

class Deployment {
 public:
  Deployment(std::string program, std::string folder, std::size_t machines, Record& record)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        record_(record),
        ledger_(kCancelSeconds),
        state_(kControllers, StateServiceLimits{200, 60, 16u << 10, 24}, 1) {
    AgentSwarm::Options agents;
    for (std::size_t i = 0; i < kControllers; ++i) {
      agents.members.push_back(name(i));
      agents.controller_ports.push_back(ports_[i].number());
    }
    agents.machines = machines;
    agents.heartbeat_interval_s = kReportSeconds;
    agents.lease_s = kLeaseSeconds;
    agents_ = std::make_unique<AgentSwarm>(agents, ledger_);
    cloud_ = std::make_unique<CloudStandIn>(*agents_);
    for (std::size_t i = 0; i < kControllers; ++i) start(i);
  }
  ~Deployment() {
    for (std::size_t i = 0; i < kControllers; ++i) {
      if (pids_[i] == 0) continue;
      ::kill(pids_[i], SIGKILL);
      ::waitpid(pids_[i], nullptr, 0);
    }
  }

  static std::string name(std::size_t controller) { return "stall-" + std::to_string(controller); }
  int port(std::size_t controller) const { return ports_[controller].number(); }

  // Starts a controller with the command of the deploy file.
  void start(std::size_t controller) {
    const std::string settings = write_settings(controller);
    const std::string log = folder_ + "/" + name(controller) + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(file, STDERR_FILENO);
      ::execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
      ::_exit(127);
    }
    pids_[controller] = pid;
  }

  // Returns how the controller ended by itself, or an empty text if it is running.
  std::string end_of(std::size_t controller) {
    int status = 0;
    if (pids_[controller] == 0) return ends_[controller];
    if (::waitpid(pids_[controller], &status, WNOHANG) != pids_[controller]) return {};
    pids_[controller] = 0;
    ends_[controller] = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                            : "exit status " + std::to_string(WEXITSTATUS(status));
    return ends_[controller];
  }

  // Returns whether all controllers became ready within the time.
  bool wait_until_ready(double seconds) {
    for (std::size_t i = 0; i < kControllers; ++i) {
      bool is_ready = false;
      for (; !is_ready && seconds > 0; seconds -= 0.2) {
        httplib::Client client("127.0.0.1", port(i));
        client.set_read_timeout(1);
        const auto response = client.Get("/ready");
        is_ready = response && response->status == 200;
        if (!is_ready) sleep_seconds(0.2);
      }
      if (!is_ready) return false;
    }
    return true;
  }

  // Sends one request of a user on a new connection. Users wait 5 s for submissions and
  // cancellations and 2 s for a status.
  Reply send(std::size_t controller, const std::string& method, const std::string& path,
             const std::string& body = {}) {
    httplib::Client client("127.0.0.1", port(controller));
    client.set_connection_timeout(2);
    client.set_read_timeout(method == "GET" ? 2 : 5);
    const auto response =
        method == "GET" ? client.Get(path) : client.Post(path, body, "application/json");
    Reply reply;
    if (response) reply = {response->status, response->body};
    record_.add("user -> " + name(controller) + ": " + method + " " + path.substr(0, 60) +
                (path.size() > 60 ? "... (" + std::to_string(path.size()) + " bytes)" : "") + " " +
                body.substr(0, 80) + " => " +
                (reply.status == 0 ? "no answer" : std::to_string(reply.status) + " " + reply.body));
    return reply;
  }

  ClusterLedger& ledger() { return ledger_; }
  StateServiceStandIn& state() { return state_; }
  AgentSwarm& agents() { return *agents_; }

 private:
  std::string write_settings(std::size_t controller) const {
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    Json siblings = Json::array();
    for (std::size_t i = 0; i < kControllers; ++i) {
      if (i == controller) continue;
      siblings.push_back({{"member", name(i)},
                          {"area", saddleslip::testing::zone_by_number(i)},
                          {"address", address(peer_ports_[i].number())}});
    }
    const Json team = {
        {"name", "team"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}};
    const Json settings = {
        {"size", kControllers},
        {"zones", saddleslip::testing::kZones},
        {"teams", Json::array({team})},
        {"objectives", Json::array()},
        {"workers",
         {{"report_s", kReportSeconds},
          {"lease_s", kLeaseSeconds},
          {"gang_wait_s", 45.0},
          {"gang_peer_s", 4.0},
          {"cancel_s", kCancelSeconds}}},
        {"state", {{"rps", 200.0}, {"write_rps", 60.0}, {"value_kb", 16.0}, {"txn_ops", 24}}},
        {"cloud", {{"rps", 5.0}, {"list_lag_s", 8.0}}},
        {"quota", {{"cores", 0.2}, {"mem_mb", 104.0}, {"sockets", 1500}}},
        {"skew_ms", 5.0}};
    const Json root = {
        {"member", name(controller)},
        {"area", saddleslip::testing::zone_by_number(controller)},
        {"serve_on", address(ports_[controller].number())},
        {"peer_listen", address(peer_ports_[controller].number())},
        {"siblings", siblings},
        {"endpoints",
         {{"cloud", address(cloud_->port())}, {"state", address(state_.port(controller))}}},
        {"settings", settings}};
    const std::string path = folder_ + "/" + name(controller) + ".json";
    std::ofstream(path) << root.dump(2);
    return path;
  }

  const std::string program_, folder_;
  Record& record_;
  ClusterLedger ledger_;
  StateServiceStandIn state_;
  ReservedPort ports_[kControllers], peer_ports_[kControllers];
  std::unique_ptr<AgentSwarm> agents_;
  std::unique_ptr<CloudStandIn> cloud_;
  pid_t pids_[kControllers] = {};
  std::string ends_[kControllers];
};

// Returns whether the disruption is to be played: not if TROUBLE is 0.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

}  // namespace review
