// Plays a scenario: a text with one command a line, in which # begins a comment. The commands are
// listed, with their help texts, in the tables of cluster_commands.cpp, fault_commands.cpp,
// user_commands.cpp and expectations.cpp; there is also:
//   repeat TIMES EVERY_S COMMAND: plays a command again and again; # in it is a number of its own
#pragma once

#include <string>
#include <vector>

#include "simulation/command_line.h"
#include "simulation/simulated_cluster.h"

namespace saddleslip::testing {

class ScenarioPlayer {
 public:
  // Logs what is played under this name, if the environment asks for it.
  void trace_as(const std::string& scenario) { cluster_.trace.open(scenario); }
  // Returns what went wrong, line by line (empty: all as expected). Stops at the first line that
  // goes wrong. To be called once.
  std::vector<std::string> play(const std::string& text);

 private:
  void play_command(const std::string& text);
  void repeat(CommandLine& line);

  SimulatedCluster cluster_;
  int repetitions_ = 0;
};

}  // namespace saddleslip::testing
