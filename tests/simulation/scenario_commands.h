// The commands and expectations of the scenario language, each with its help text and the function
// that plays it.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "simulation/command_line.h"
#include "simulation/simulated_cluster.h"

namespace saddleslip::testing {

// A command or an expectation, with its arguments and summary for the help text.
struct ScenarioCommand {
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
  void (*play)(SimulatedCluster& cluster, CommandLine& line);
};

// Commands that set up and configure the cluster.
std::span<const ScenarioCommand> cluster_commands();
// Commands that cause or end faults of controllers, the state service, the cloud and the network.
std::span<const ScenarioCommand> service_fault_commands();
// Commands that cause or end faults of machines and of the delivery of commands to machines.
std::span<const ScenarioCommand> machine_fault_commands();
// Commands for user actions, for advancing the time and for expectations.
std::span<const ScenarioCommand> user_commands();
// The expectations that may follow the command `expect`.
std::span<const ScenarioCommand> expectations();

// Returns the command with this name, or null if there is none.
const ScenarioCommand* find_command(std::string_view name);
// Returns the expectation with this name, or null if there is none.
const ScenarioCommand* find_expectation(std::string_view name);
// Returns the help texts of all commands and expectations, one per line.
std::string scenario_help();

}  // namespace saddleslip::testing
