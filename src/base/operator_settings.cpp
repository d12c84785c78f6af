// Parses the operators' settings file (YAML) and checks the range of each field.
#include <yaml-cpp/yaml.h>

#include <cmath>
#include <functional>
#include <map>

#include "base/settings.h"

namespace saddleslip::base {

namespace {

constexpr double kSecondsPerDay = 86400;

[[noreturn]] void throw_settings_error(const std::string& field, const std::string& reason) {
  throw BadSettings(SettingsFile::kOperators, field, reason);
}

// Sets a field of the settings. Returns false, without setting it, if the value is out of range.
using Setter = std::function<bool(double value)>;

// Returns a setter for a number in the range [min, max].
Setter number_setter(double& field, double min, double max) {
  return [&field, min, max](double value) {
    if (value < min || value > max) return false;
    field = value;
    return true;
  };
}

// Returns a setter for a duration in the range [min, max], in seconds.
Setter seconds_setter(Seconds& field, double min, double max) {
  return [&field, min, max](double value) {
    if (value < min || value > max) return false;
    field = Seconds(value);
    return true;
  };
}

// Returns a setter for an integer in the range [min, max].
Setter integer_setter(int& field, int min, int max) {
  return [&field, min, max](double value) {
    if (value < min || value > max || value != std::floor(value)) return false;
    field = static_cast<int>(value);
    return true;
  };
}

// Returns the setter of each field, by name. The setters keep references to `settings.tuning`.
std::map<std::string, Setter> make_setters(Settings& settings) {
  Tuning& tuning = settings.tuning;
  const double max_ttl = max_member_ttl(settings).count();
  return {
      {"round_period_s", seconds_setter(tuning.round_period, 0.05, 60)},
      {"member_ttl_s", seconds_setter(tuning.member_ttl, kMinMemberTtl.count(), max_ttl)},
      {"idle_return_s", seconds_setter(tuning.idle_return, 0, kSecondsPerDay)},
      {"longest_wait_s", seconds_setter(tuning.longest_wait, 1, kSecondsPerDay)},
      {"record_within_s", seconds_setter(tuning.record_within, 0, 600)},
      {"headroom", number_setter(tuning.headroom, 0, 10)},
      {"mute_release_s", seconds_setter(tuning.silent_release, 0, kSecondsPerDay)},
      {"spot_share", number_setter(tuning.spot_share, 0, 1)},
      {"max_connections", integer_setter(tuning.max_connections, 8, 100000)},
  };
}

// Parses the text of the file. Throws BadSettings if it is not valid YAML.
YAML::Node parse_yaml(const std::string& yaml_text) {
  try {
    return YAML::Load(yaml_text);
  } catch (const YAML::Exception& error) {
    throw_settings_error("", error.what());
  }
}

}  // namespace

void apply_tuning(Settings& settings, const std::string& yaml_text) {
  const YAML::Node root = parse_yaml(yaml_text);
  if (root.IsNull()) return;
  if (!root.IsMap()) throw_settings_error("", "the file must be a map of fields");
  const auto setters = make_setters(settings);
  for (const auto& entry : root) {
    std::string name;
    try {
      name = entry.first.as<std::string>();
      const auto setter = setters.find(name);
      if (setter == setters.end()) throw_settings_error("", "unknown field '" + name + "'");
      const double value = entry.second.as<double>();
      if (!std::isfinite(value) || !setter->second(value))
        throw_settings_error(name, "is out of range");
    } catch (const YAML::Exception&) {
      // The error names no field if the key itself is not a string.
      throw_settings_error(name, name.empty() ? " must be a number" : "must be a number");
    }
  }
}

}  // namespace saddleslip::base
