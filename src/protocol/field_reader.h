// Reads the typed fields of a JSON object.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/base_types.h"
#include "protocol/parse_error.h"

namespace saddleslip::protocol {

// The largest amount, size or time in seconds that a message may hold.
inline constexpr double kMaxAmount = 1e9;

// Reads fields of one object and keeps the first error. After an error the reads go on and return
// placeholders: check error() before any of the values is used. Holds a reference to the object.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : object_(object) {}

  // A non-empty string of at most `max_size` bytes.
  std::string text(const char* field, std::size_t max_size = 256);
  // A finite number from `min` to kMaxAmount.
  double amount(const char* field, double min);
  // The same; none if the field is missing or null.
  std::optional<double> optional_amount(const char* field, double min);
  // An integer from `min` to `max`.
  std::uint64_t integer(const char* field, std::uint64_t min, std::uint64_t max);
  bool boolean(const char* field);

  // The field's value; null if the field is missing.
  const Json* find(const char* field) const;
  // The same; null also if the value is null.
  const Json* find_value(const char* field) const;

  // Records an error, unless there is one already.
  void fail(const char* field, const char* reason);
  const std::optional<ParseError>& error() const { return error_; }

 private:
  const Json& object_;
  std::optional<ParseError> error_;
};

}  // namespace saddleslip::protocol
