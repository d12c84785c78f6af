// A simulated cluster: real controllers surrounded by simulated versions of the state service, the
// cloud, the network, the workers and the users. It uses neither a real clock nor random numbers,
// so that a scenario plays the same way every time. The protocol's rules are checked in every step.
#pragma once

#include "simulation/cluster_config.h"
#include "simulation/command_channel.h"
#include "simulation/failure_log.h"
#include "simulation/rule_checks.h"
#include "simulation/scenario_trace.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_cloud.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulated_jobs.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_state_service.h"
#include "simulation/simulated_users.h"
#include "simulation/simulated_workers.h"
#include "simulation/trouble_tracker.h"
#include "simulation/whole_day_checks.h"

namespace saddleslip::testing {

// Constructs and connects the parts of the cluster. Each part owns its state and refers only to
// parts that are declared before it.
struct SimulatedCluster {
  SimulatedCluster() = default;
  ~SimulatedCluster() = default;
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Advances the cluster by one step of simulated time.
  void step();
  // Advances the cluster by the given simulated seconds; stops early at the first failure.
  void run(double seconds);

  SimulatedClock clock;
  ClusterConfig config;
  ScenarioTrace trace;
  FailureLog failures{clock};
  SimulatedNetwork network;
  SimulatedStateService state{clock, network};
  SimulatedJobs jobs{state};
  SimulatedWorkers workers{{clock, config, network}, jobs, trace, failures};
  SimulatedCloud cloud{clock, workers, failures};
  CommandChannel commands{clock, network, workers};
  SimulatedControllers controllers{
      {clock, config, network, state, cloud, commands, trace, failures}};
  TroubleTracker troubles{clock, network, state, controllers};
  RuleChecks rules{{clock, config, workers, controllers, troubles}, jobs, trace, failures};
  WholeDayChecks whole_day{{clock, config, jobs, workers, troubles}, failures};
  SimulatedUsers users{clock, jobs, controllers, rules, failures};
};

}  // namespace saddleslip::testing
