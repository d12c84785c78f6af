#include "base/settings_error.h"

#include <utility>

namespace saddleslip::base {

namespace {

// Builds the text of what().
std::string format_message(SettingsFile file, const std::string& field, const std::string& reason) {
  const std::string prefix =
      file == SettingsFile::kPlatform ? "settings: " : "operators' settings: ";
  return prefix + (field.empty() ? "" : field + " ") + reason;
}

}  // namespace

BadSettings::BadSettings(SettingsFile file, std::string field, std::string reason)
    : std::runtime_error(format_message(file, field, reason)),
      file_(file),
      field_(std::move(field)),
      reason_(std::move(reason)) {}

}  // namespace saddleslip::base
