// One runner for all scenarios: tests/scenarios/*.txt, each a test of its own.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/log.h"
#include "simulation/scenario_player.h"

namespace saddleslip::testing {

std::vector<std::string> scenario_names() {
  std::vector<std::string> names;
  for (const auto& f : std::filesystem::directory_iterator(SCENARIOS)) {
    if (f.path().extension() == ".txt") names.push_back(f.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

class Scenario : public ::testing::TestWithParam<std::string> {};

TEST_P(Scenario, KeepsTheRules) {
  if (!std::getenv("LOG_LEVEL")) spdlog::set_level(spdlog::level::off);
  std::ifstream in(std::string(SCENARIOS) + "/" + GetParam() + ".txt");
  std::stringstream text;
  text << in.rdbuf();
  ScenarioPlayer player;
  player.trace_as(GetParam());
  for (const std::string& what : player.play(text.str())) ADD_FAILURE() << what;
}

INSTANTIATE_TEST_SUITE_P(All, Scenario, ::testing::ValuesIn(scenario_names()),
                         [](const auto& i) { return i.param; });

}  // namespace saddleslip::testing
