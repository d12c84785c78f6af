// Plays a scenario: a text with one command per line. Empty lines and lines that begin with # are
// skipped. The commands are listed, with their help texts, in the tables of cluster_commands.cpp,
// fault_commands.cpp, user_commands.cpp and expectations.cpp. One more command is implemented here:
//   repeat TIMES EVERY_S COMMAND: plays COMMAND TIMES times, with EVERY_S seconds after each; the
//     first # in COMMAND is replaced by a number that is used only once in the scenario
#pragma once

#include <string>
#include <vector>

#include "simulation/command_line.h"
#include "simulation/simulated_cluster.h"

namespace saddleslip::testing {

// Plays one scenario on a simulated cluster of its own.
class ScenarioPlayer {
 public:
  // Writes a trace of the scenario under this name if SADDLESLIP_TRACE_DIR is set.
  void enable_trace(const std::string& scenario) { cluster_.trace.open(scenario); }
  // Plays the scenario up to the first line that fails and returns the failures; the result is
  // empty if the scenario passed. Must be called only once.
  std::vector<std::string> play(const std::string& text);

 private:
  void play_command(const std::string& text);
  void repeat(CommandLine& line);

  SimulatedCluster cluster_;
  int repetitions_ = 0;
};

}  // namespace saddleslip::testing
