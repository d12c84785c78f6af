// The commands of the scenario language, each with its help text and what it does.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "simulation/command_line.h"
#include "simulation/simulated_cluster.h"

namespace saddleslip::testing {

struct ScenarioCommand {
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
  void (*play)(SimulatedCluster& cluster, CommandLine& line);
};

// What the cluster consists of and how it is configured.
std::span<const ScenarioCommand> cluster_commands();
// Faults of controllers, of the state service, of the cloud and of the network.
std::span<const ScenarioCommand> service_fault_commands();
// Faults of machines, and of the commands to them.
std::span<const ScenarioCommand> machine_fault_commands();
// What users do, and the passing of time.
std::span<const ScenarioCommand> user_commands();
// What may stand after `expect`.
std::span<const ScenarioCommand> expectations();

// Null: there is no such command.
const ScenarioCommand* find_command(std::string_view name);
const ScenarioCommand* find_expectation(std::string_view name);
// All commands and expectations, one a line.
std::string scenario_help();

}  // namespace saddleslip::testing
