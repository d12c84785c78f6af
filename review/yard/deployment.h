// A small deployment for the cases of the second review: three controllers, each a process of its
// own that is started with the command of the deploy file, and the project's stand-in for the state service
// (tests/loopback). All addresses are loopback addresses.
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
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "loopback/controller_processes.h"  // ReservedPort
#include "loopback/state_service_stand_in.h"

namespace review {

using Json = nlohmann::json;
using saddleslip::testing::ReservedPort;
using saddleslip::testing::StateServiceLimits;
using saddleslip::testing::StateServiceStandIn;

// The exit statuses of a case.
enum ExitStatus { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

constexpr std::size_t kControllers = 3;

inline void sleep_seconds(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes what was sent, answered and run to a file, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  // May be called from any thread.
  void add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> age = std::chrono::steady_clock::now() - began_at_;
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%7.3f ", age.count());
    file_ << stamp << line << std::endl;
  }

 private:
  const std::chrono::steady_clock::time_point began_at_ = std::chrono::steady_clock::now();
  std::mutex mutex_;  // guards file_
  std::ofstream file_;
};

// The reply to a request; the status is 0 if there was none.
struct Reply {
  int status = 0;
  std::string body;
};

// Three controllers and the project's stand-in for the state service. The workers and the cloud come
// from the case.
class Deployment {
 public:
  Deployment(std::string program, std::string folder, Record& record)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        record_(record),
        state_(kControllers, StateServiceLimits{200, 60, 16u << 10, 12}, 1) {}
  ~Deployment() { kill_all(); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void kill_all() {
    for (pid_t& pid : pids_) {
      if (pid == 0) continue;
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      pid = 0;
    }
  }

  // Starts all controllers with these settings (the field `settings` of the platform's file).
  void start_all(const Json& settings, int cloud_port) {
    settings_ = settings;
    cloud_port_ = cloud_port;
    for (std::size_t i = 0; i < kControllers; ++i) start(i);
  }
  std::vector<std::string> members() const {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < kControllers; ++i) names.push_back(name(i));
    return names;
  }
  std::vector<int> ports() const {
    std::vector<int> result;
    for (const ReservedPort& port : ports_) result.push_back(port.number());
    return result;
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
    record_.add(
        "user -> " + name(controller) + ": " + method + " " + path.substr(0, 60) +
        (path.size() > 60 ? "... (" + std::to_string(path.size()) + " bytes)" : "") + " " +
        body.substr(0, 80) + " => " +
        (reply.status == 0 ? "no answer" : std::to_string(reply.status) + " " + reply.body));
    return reply;
  }

  StateServiceStandIn& state() { return state_; }

 private:
  std::string write_settings(std::size_t controller) const {
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const std::string zone = settings_.at("zones").at(0);
    Json siblings = Json::array();
    for (std::size_t i = 0; i < kControllers; ++i) {
      if (i == controller) continue;
      siblings.push_back(
          {{"member", name(i)}, {"area", zone}, {"address", address(peer_ports_[i].number())}});
    }
    const Json root = {
        {"member", name(controller)},
        {"area", zone},
        {"serve_on", address(ports_[controller].number())},
        {"peer_listen", address(peer_ports_[controller].number())},
        {"siblings", siblings},
        {"endpoints",
         {{"cloud", address(cloud_port_)}, {"state", address(state_.port(controller))}}},
        {"settings", settings_}};
    const std::string path = folder_ + "/" + name(controller) + ".json";
    std::ofstream(path) << root.dump(2);
    return path;
  }

  const std::string program_, folder_;
  Record& record_;
  StateServiceStandIn state_;
  Json settings_;
  int cloud_port_ = 0;
  ReservedPort ports_[kControllers], peer_ports_[kControllers];
  pid_t pids_[kControllers] = {};
  std::string ends_[kControllers];
};

// The limits of the small deployment of temari-hw.
inline Json settings() {
  const auto team = [](const char* name, double guarantee, double limit) {
    return Json{
        {"name", name}, {"cpus", guarantee}, {"cpus_max", limit}, {"gpus", 0.0}, {"gpus_max", 0.0}};
  };
  return {{"size", kControllers},
          {"zones", {"addis-east"}},
          {"teams", {team("platform-core", 56, 136), team("assessment", 40, 136)}},
          {"objectives",
           {{{"kind", "wait"}, {"class", "homework-api"}, {"within_s", 18.0}, {"share", 0.85}}}},
          {"workers",
           {{"report_s", 1.5},
            {"lease_s", 12.0},
            {"gang_wait_s", 45.0},
            {"gang_peer_s", 4.0},
            {"cancel_s", 42.0}}},
          {"state", {{"rps", 200.0}, {"write_rps", 60.0}, {"value_kb", 16.0}, {"txn_ops", 12}}},
          {"cloud", {{"rps", 2.0}, {"list_lag_s", 10.0}}},
          {"quota", {{"cores", 0.096}, {"mem_mb", 56.0}, {"sockets", 800}}},
          {"skew_ms", 5.0}};
}

// Returns the body of a submission. `ride_s` is 0 for a service.
inline std::string submission(const std::string& id, const char* job_class, const char* team,
                              double ride_s, std::uint32_t tasks, double cores, double memory_gb) {
  const bool is_service = ride_s == 0;
  return Json{{"name_id", id},
              {"herd", job_class},
              {"drover", team},
              {"gait", is_service ? "daemon" : "array"},
              {"rank", is_service ? "critical" : "standard"},
              {"strides", tasks},
              {"cores", cores},
              {"gpus", 0.0},
              {"memory_gb", memory_gb},
              {"breeds", nullptr},
              {"paddock", nullptr},
              {"same_place", false},
              {"apart", false},
              {"strays", false},
              {"brand", "img-01"},
              {"image_gb", 0.3},
              {"ride_s", ride_s},
              {"waypoint_s", 0.0},
              {"unload_s", 0.0},
              {"sundown_s", nullptr}}
      .dump();
}

// Returns whether the disruption is to be played: not if TROUBLE is 0.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

}  // namespace review
