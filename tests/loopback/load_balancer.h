// The published behaviour of the load balancer between users and controllers.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace saddleslip::testing {

// Decides from the results of readiness probes which controllers get new connections of users.
//
// Not thread-safe.
class ControllerHealth {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Records the result of a probe.
  void record_probe(bool succeeded, Time now);
  bool is_healthy() const { return is_healthy_; }
  // Returns whether open connections of users are reset now.
  bool resets_connections(Time now) const;
  // Returns how often the controller was removed.
  std::uint64_t removals() const { return removals_; }

 private:
  void remove(Time now);
  void readmit_if_due(Time now);

  bool is_healthy_ = false;
  bool was_healthy_ = false;        // at least once
  std::deque<bool> last_probes_;    // the newest last
  std::deque<Time> last_removals_;  // within the time that lengthens the pause
  Time removed_at_{}, readmit_at_{};
  std::uint64_t removals_ = 0;
};

// Probes all controllers about once a second.
//
// All functions may be called from any thread.
class LoadBalancer {
 public:
  explicit LoadBalancer(std::vector<int> controller_ports);
  ~LoadBalancer();
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;

  // Returns a healthy controller for a new connection, or nothing if none is healthy. Controllers
  // take turns.
  std::optional<std::size_t> pick();
  // Returns whether a connection to the controller that was opened before is still open.
  bool keeps_connection(std::size_t controller) const;
  // Returns for how long no controller was healthy, since reset_longest_gap() or the start.
  double longest_gap_s() const;
  void reset_longest_gap();
  // Returns how often a controller was removed.
  std::uint64_t removals() const;

 private:
  void run_probes(std::size_t controller);
  void record_probe(std::size_t controller, bool succeeded);

  const std::vector<int> ports_;
  mutable std::mutex mutex_;  // guards the members below
  std::vector<ControllerHealth> health_;
  std::size_t next_ = 0;
  std::optional<ControllerHealth::Time> none_healthy_since_;
  double longest_gap_s_ = 0;
  std::atomic<bool> is_stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace saddleslip::testing
