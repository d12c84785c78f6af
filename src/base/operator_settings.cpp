// The operators' file (YAML): parsing, and the range of each field.
#include <yaml-cpp/yaml.h>

#include <cmath>
#include <functional>
#include <map>

#include "base/settings.h"

namespace saddleslip::base {

namespace {

constexpr double kSecondsPerDay = 86400;

[[noreturn]] void fail(const std::string& field, const std::string& reason) {
  throw BadSettings(SettingsFile::kOperators, field, reason);
}

// Sets a field; false if the value is out of its range.
using Setter = std::function<bool(double value)>;

Setter number(double& field, double min, double max) {
  return [&field, min, max](double value) {
    if (value < min || value > max) return false;
    field = value;
    return true;
  };
}

Setter seconds(Seconds& field, double min, double max) {
  return [&field, min, max](double value) {
    if (value < min || value > max) return false;
    field = Seconds(value);
    return true;
  };
}

Setter integer(int& field, int min, int max) {
  return [&field, min, max](double value) {
    if (value < min || value > max || value != std::floor(value)) return false;
    field = static_cast<int>(value);
    return true;
  };
}

// The setters refer to the tuning of `settings`.
std::map<std::string, Setter> setters(Settings& settings) {
  Tuning& tuning = settings.tuning;
  const double longest_ttl = longest_member_ttl(settings).count();
  return {
      {"round_period_s", seconds(tuning.round_period, 0.05, 60)},
      {"member_ttl_s", seconds(tuning.member_ttl, kShortestMemberTtl.count(), longest_ttl)},
      {"idle_return_s", seconds(tuning.idle_return, 0, kSecondsPerDay)},
      {"longest_wait_s", seconds(tuning.longest_wait, 1, kSecondsPerDay)},
      {"record_within_s", seconds(tuning.record_within, 0, 600)},
      {"headroom", number(tuning.headroom, 0, 10)},
      {"mute_release_s", seconds(tuning.silent_release, 0, kSecondsPerDay)},
      {"spot_share", number(tuning.spot_share, 0, 1)},
      {"max_connections", integer(tuning.max_connections, 8, 100000)},
  };
}

YAML::Node load(const std::string& yaml_text) {
  try {
    return YAML::Load(yaml_text);
  } catch (const YAML::Exception& e) {
    fail("", e.what());
  }
}

}  // namespace

void apply_tuning(Settings& settings, const std::string& yaml_text) {
  const YAML::Node root = load(yaml_text);
  if (root.IsNull()) return;
  if (!root.IsMap()) fail("", "not a map");
  const auto fields = setters(settings);
  for (const auto& entry : root) {
    std::string name;
    try {
      name = entry.first.as<std::string>();
      const auto field = fields.find(name);
      if (field == fields.end()) fail("", "unknown field '" + name + "'");
      const double value = entry.second.as<double>();
      if (!std::isfinite(value) || !field->second(value)) fail(name, "is out of range");
    } catch (const YAML::Exception&) {
      // A key that is no string has no name to show: its place stays empty.
      fail(name, name.empty() ? " must be a number" : "must be a number");
    }
  }
}

}  // namespace saddleslip::base
