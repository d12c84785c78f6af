#include "simulation/scenario_commands.h"

#include <algorithm>
#include <array>

namespace saddleslip::testing {

namespace {

using Commands = std::span<const ScenarioCommand>;

const ScenarioCommand* find_in(Commands commands, std::string_view name) {
  const auto found =
      std::find_if(commands.begin(), commands.end(),
                   [&](const ScenarioCommand& command) { return command.name == name; });
  return found == commands.end() ? nullptr : &*found;
}

std::array<Commands, 4> command_groups() {
  return {cluster_commands(), service_fault_commands(), machine_fault_commands(), user_commands()};
}

void append_help(std::string& help, std::string_view prefix, Commands commands) {
  for (const ScenarioCommand& command : commands) {
    help.append(prefix).append(command.name);
    if (!command.arguments.empty()) help.append(" ").append(command.arguments);
    help.append(": ").append(command.summary).append("\n");
  }
}

}  // namespace

const ScenarioCommand* find_command(std::string_view name) {
  for (const Commands group : command_groups()) {
    if (const ScenarioCommand* command = find_in(group, name)) return command;
  }
  return nullptr;
}

const ScenarioCommand* find_expectation(std::string_view name) {
  return find_in(expectations(), name);
}

std::string scenario_help() {
  std::string help;
  for (const Commands group : command_groups()) append_help(help, "", group);
  append_help(help, "expect ", expectations());
  return help;
}

}  // namespace saddleslip::testing
