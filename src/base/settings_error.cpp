#include "base/settings_error.h"

#include <utility>

namespace saddleslip::base {

namespace {

std::string message(SettingsFile file, const std::string& field, const std::string& reason) {
  const std::string prefix =
      file == SettingsFile::kPlatform ? "settings: " : "operators' settings: ";
  return prefix + (field.empty() ? "" : field + " ") + reason;
}

}  // namespace

BadSettings::BadSettings(SettingsFile file, std::string field, std::string reason)
    : std::runtime_error(message(file, field, reason)),
      file_(file),
      field_(std::move(field)),
      reason_(std::move(reason)) {}

}  // namespace saddleslip::base
