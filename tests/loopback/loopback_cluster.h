// A whole cluster on this machine: controllers as processes, and stand-ins for the state service,
// the cloud, the agents and the users.
#pragma once

#include <memory>
#include <string>

#include "loopback/agent_swarm.h"
#include "loopback/cloud_stand_in.h"
#include "loopback/cluster_ledger.h"
#include "loopback/controller_processes.h"
#include "loopback/load_balancer.h"
#include "loopback/state_service_stand_in.h"
#include "loopback/user_clients.h"

namespace saddleslip::testing {

// The sizes and limits of a loopback cluster.
struct LoopbackOptions {
  std::string program;  // the path of the controllers' program
  std::string folder;   // for settings and logs
  std::string log_level = "info";
  std::uint64_t seed = 1;
  std::size_t controllers = 3;
  std::size_t machines = 60;
  double heartbeat_interval_s = 1.5;
  double lease_s = 12;
  double cancel_s = 42;
  double processor_share = 1;
  int sockets = 2000;
  double memory_mb = 158;
  StateServiceLimits state;
  UserClients::Options users;
  bool agents_ignore_leases = false;
  // Each controller's operators' settings are drawn anew at each start, and zones can be
  // cut off.
  bool has_mixed_settings = false;
};

// Starts everything and ends it on destruction. The users start with start_users().
class LoopbackCluster {
 public:
  explicit LoopbackCluster(const LoopbackOptions& options);
  ~LoopbackCluster();
  LoopbackCluster(const LoopbackCluster&) = delete;
  LoopbackCluster& operator=(const LoopbackCluster&) = delete;

  // Starts the users' requests.
  void start_users();

  ClusterLedger& ledger() { return ledger_; }
  StateServiceStandIn& state_service() { return state_service_; }
  ControllerProcesses& controllers() { return controllers_; }
  AgentSwarm& agents() { return *agents_; }
  UserClients& users() { return *users_; }
  LoadBalancer& load_balancer() { return *load_balancer_; }

 private:
  const LoopbackOptions options_;
  ClusterLedger ledger_;
  StateServiceStandIn state_service_;
  ControllerProcesses controllers_;
  std::unique_ptr<AgentSwarm> agents_;
  std::unique_ptr<CloudStandIn> cloud_;
  std::unique_ptr<LoadBalancer> load_balancer_;
  std::unique_ptr<UserClients> users_;
};

}  // namespace saddleslip::testing
