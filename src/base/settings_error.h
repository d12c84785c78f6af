// What is wrong with a settings file.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

namespace saddleslip::base {

enum class SettingsFile {
  kPlatform,   // JSON, written by the platform
  kOperators,  // YAML, written by operators
};

// The reason why a controller does not start. what() is one line for whoever wrote the file.
class BadSettings : public std::runtime_error {
 public:
  // A file that cannot be read, or settings that do not go together.
  explicit BadSettings(const std::string& message) : std::runtime_error(message) {}
  // A fault in a file. `field`: its path from the root, e.g. "settings.workers.lease_s"; empty: the
  // fault concerns more than one field, or the whole file. `reason` reads on from the field.
  BadSettings(SettingsFile file, std::string field, std::string reason);

  // None: the fault is not in one file.
  const std::optional<SettingsFile>& file() const { return file_; }
  const std::string& field() const { return field_; }
  const std::string& reason() const { return reason_; }

 private:
  std::optional<SettingsFile> file_;
  std::string field_;
  std::string reason_;
};

}  // namespace saddleslip::base
