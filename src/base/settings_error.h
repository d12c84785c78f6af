// The error type for invalid settings.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

namespace saddleslip::base {

// The two settings files of a controller.
enum class SettingsFile {
  kPlatform,   // JSON, written by the platform
  kOperators,  // YAML, written by operators
};

// Thrown if a settings file is invalid or cannot be read. what() is a message of one line for the
// author of the file.
class BadSettings : public std::runtime_error {
 public:
  // An error that is not in one file: a file cannot be read, or settings contradict each other.
  explicit BadSettings(const std::string& message) : std::runtime_error(message) {}
  // An error in a file. `field` is the path of the invalid field from the root, such as
  // "settings.workers.lease_s"; it is empty if the error concerns the whole file or several fields.
  // `reason` completes the sentence that the field begins, such as "is missing".
  BadSettings(SettingsFile file, std::string field, std::string reason);

  // Returns the file that contains the error, or nothing if the error is not in one file.
  const std::optional<SettingsFile>& file() const { return file_; }
  // Returns the path of the invalid field, or "" if there is none.
  const std::string& field() const { return field_; }
  // Returns what is wrong with the field.
  const std::string& reason() const { return reason_; }

 private:
  std::optional<SettingsFile> file_;
  std::string field_;
  std::string reason_;
};

}  // namespace saddleslip::base
