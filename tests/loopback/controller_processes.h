// The controllers of a loopback cluster, each a process of its own.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "loopback/peer_links.h"

namespace saddleslip::testing {

// A TCP port of the loopback address that no other cluster on this machine uses. A controller that
// is down does not hold its port, so a UDP socket of the same number reserves it.
class ReservedPort {
 public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  int number() const { return port_; }

 private:
  int port_ = 0;
  int guard_ = -1;
};

// Starts the controllers and ends, pauses and restarts them. Their settings and logs are in a
// folder.
//
// All functions may be called from any thread.
class ControllerProcesses {
 public:
  struct Options {
    std::string program;
    std::string folder;
    std::string log_level = "info";
    // The share of a processor core that each process gets; 1 does not limit it.
    double processor_share = 1;
    // The field `settings` of the platform's file.
    nlohmann::json settings;
    double memory_mb = 158;
    // Draws the operators' settings of each controller anew at each start, and puts links between
    // the controllers that set_isolated() can hold up; none: the same settings for all, no links.
    std::optional<std::uint64_t> settings_seed;
    double max_member_ttl_s = 1;   // the longest that is drawn
    std::vector<int> state_ports;  // of the state service, for each controller
  };
  explicit ControllerProcesses(Options options);
  // Ends all processes.
  ~ControllerProcesses();
  ControllerProcesses(const ControllerProcesses&) = delete;
  ControllerProcesses& operator=(const ControllerProcesses&) = delete;

  std::size_t count() const { return processes_.size(); }
  std::vector<std::string> members() const;
  // Returns the ports for users and agents.
  std::vector<int> ports() const;

  // Sets the port of the cloud for processes that are started from now on.
  void set_cloud_port(int port) { cloud_port_ = port; }
  void start(std::size_t controller);
  // Ends a process with SIGKILL. Does nothing if it is not running.
  void kill(std::size_t controller);
  void kill_all();
  // Stops a process from executing until resume() is called.
  void pause(std::size_t controller);
  void resume(std::size_t controller);
  // Holds up all messages between the controller and its peers, or delivers them again. No effect
  // without Options::settings_seed.
  void set_isolated(std::size_t controller, bool is_isolated);
  // Returns the largest resident memory that the process has had, or 0 if it is not running.
  std::size_t peak_memory_bytes(std::size_t controller);
  // Returns a line for each process that has ended although kill() was not called for it, and for
  // each that has used more memory than its quota.
  std::vector<std::string> unexpected_ends();

 private:
  struct Process {
    ReservedPort port, peer_port;
    pid_t pid = 0;  // 0: not running
    bool is_paused = false;
    std::uint64_t starts = 0;
  };

  // Adds a line if the process has ended by itself. Returns whether it has.
  bool check_ended(std::size_t controller);
  // Adds a line if the process has used more memory than its quota.
  void check_memory(std::size_t controller);
  static std::size_t peak_memory_of(pid_t pid);
  std::string write_settings(std::size_t controller) const;
  // Writes the operators' file of the controller and returns its path.
  std::string write_operator_settings(std::size_t controller) const;
  // Stops and continues the processes so that each gets its share of a core.
  void limit_processor_time();

  const Options options_;
  int cloud_port_ = 0;
  std::mutex mutex_;  // guards the members below
  std::vector<Process> processes_;
  std::vector<std::string> unexpected_ends_;
  std::unique_ptr<PeerLinks> links_;  // none without Options::settings_seed
  std::atomic<bool> is_stopping_{false};
  std::thread limiter_;
};

}  // namespace saddleslip::testing
