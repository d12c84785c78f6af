// The users of a loopback cluster: they submit jobs, ask about them, repeat submissions and cancel
// some. Most requests go through the load balancer, the others to any controller.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "loopback/cluster_ledger.h"
#include "loopback/load_balancer.h"

namespace httplib {
class Client;
}  // namespace httplib

namespace saddleslip::testing {

// Runs a fixed number of threads, each with one request at a time. The replies go to the ledger.
class UserClients {
 public:
  struct Options {
    std::vector<int> controller_ports;
    std::size_t threads = 8;
    std::uint64_t seed = 1;
    double submissions_per_second = 2;
    double requests_per_second = 50;   // of all kinds
    double cancellation_share = 0.15;  // of the jobs
    std::uint32_t max_tasks = 8;
    double max_run_s = 20;
  };

  // The replies of users that found no healthy controller, in reply_counts().
  static constexpr int kNoHealthyController = -1;

  UserClients(Options options, ClusterLedger& ledger, LoadBalancer& load_balancer);
  ~UserClients();
  UserClients(const UserClients&) = delete;
  UserClients& operator=(const UserClients&) = delete;

  // Submits services of one task each, which ask for half a machine, to all controllers in turn.
  void submit_services(std::size_t count);
  // Ends submissions and cancellations. From then on the users ask about every accepted job in
  // turn, through the load balancer only.
  void begin_quiet_time() { is_quiet_ = true; }
  // Returns how many replies had this status, for all statuses; 0 stands for no reply.
  std::map<int, std::uint64_t> reply_counts() const;

 private:
  struct ThreadState;
  // A request to a controller.
  struct Call {
    std::string path;
    std::string body;  // empty for a GET request
    int timeout_s = 0;
  };

  void run(std::size_t thread);
  // Sends the request to the controller that is chosen for it and counts its reply.
  int call(ThreadState& state, const Call& request, const std::string& job);
  // Sends a request and records its reply about the job. Returns the status, 0 without a reply.
  int send(httplib::Client& client, const Call& request, const std::string& job);
  // Returns the controller that gets the next request, or nothing if none is healthy.
  std::optional<std::size_t> choose_controller(ThreadState& state);
  void submit_new_job(ThreadState& state);
  void repeat_submission(ThreadState& state, const std::string& id);
  void ask(ThreadState& state, const std::string& id);
  void cancel(ThreadState& state, const std::string& id);
  void ask_about_unknown_job(ThreadState& state);
  // Returns the next job that is to be asked about in quiet time.
  std::string next_accepted_job();
  void count_reply(int status);

  const Options options_;
  ClusterLedger& ledger_;
  LoadBalancer& load_balancer_;
  std::atomic<bool> is_stopping_{false}, is_quiet_{false};
  std::atomic<std::uint64_t> last_job_{0}, next_question_{0};
  mutable std::mutex mutex_;  // guards the members below
  std::map<int, std::uint64_t> reply_counts_;
  std::vector<std::thread> threads_;
};

}  // namespace saddleslip::testing
