#include "simulation/scenario_player.h"

#include <sstream>

#include "simulation/scenario_commands.h"

namespace saddleslip::testing {

namespace {

constexpr int kFirstRepetition = 100001;  // six digits, so that all job ids have the same length

}  // namespace

std::vector<std::string> ScenarioPlayer::play(const std::string& text) {
  FailureLog& failures = cluster_.failures;
  std::istringstream in(text);
  std::string line;
  int number = 0;
  while (failures.empty() && std::getline(in, line)) {
    ++number;
    if (line.empty() || line[0] == '#') continue;
    play_command(line);
    if (!failures.empty()) failures.add_scenario_line(number, line);
  }
  if (failures.empty()) cluster_.whole_day.check_served_share(WholeDayChecks::kServedWithinSeconds);
  if (cluster_.rules.start_count() == 0 && failures.empty()) failures.add("nothing_ran");
  return failures.lines();
}

void ScenarioPlayer::play_command(const std::string& text) {
  CommandLine line(text);
  if (line.command() == "repeat") return repeat(line);
  const ScenarioCommand* command = find_command(line.command());
  if (!command) return cluster_.failures.add("unknown command: " + text + "\n" + scenario_help());
  command->play(cluster_, line);
}

void ScenarioPlayer::repeat(CommandLine& line) {
  const std::size_t times = line.next_count();
  const double interval_s = line.next_number();
  const std::string command = line.remaining_text();
  for (std::size_t i = 0; i < times && cluster_.failures.empty(); ++i) {
    std::string numbered = command;
    if (const auto found = numbered.find('#'); found != std::string::npos)
      numbered.replace(found, 1, std::to_string(kFirstRepetition + repetitions_++));
    play_command(numbered);
    cluster_.run(interval_s);
  }
}

}  // namespace saddleslip::testing
