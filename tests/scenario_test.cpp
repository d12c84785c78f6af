// Plays each scenario in tests/scenarios/*.txt as a test of its own.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/log.h"
#include "simulation/scenario_player.h"

namespace saddleslip::testing {

// Returns the names of the scenario files without the extension, in alphabetical order.
std::vector<std::string> scenario_names() {
  std::vector<std::string> names;
  for (const auto& file : std::filesystem::directory_iterator(SCENARIOS)) {
    if (file.path().extension() == ".txt") names.push_back(file.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

// The parameter is the name of a scenario.
class Scenario : public ::testing::TestWithParam<std::string> {};

TEST_P(Scenario, KeepsTheRules) {
  if (!std::getenv("LOG_LEVEL")) spdlog::set_level(spdlog::level::off);
  std::ifstream file(std::string(SCENARIOS) + "/" + GetParam() + ".txt");
  std::stringstream text;
  text << file.rdbuf();
  ScenarioPlayer player;
  player.enable_trace(GetParam());
  for (const std::string& failure : player.play(text.str())) ADD_FAILURE() << failure;
}

INSTANTIATE_TEST_SUITE_P(All, Scenario, ::testing::ValuesIn(scenario_names()),
                         [](const auto& test) { return test.param; });

}  // namespace saddleslip::testing
