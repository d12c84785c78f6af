// Reads and validates typed fields of a JSON object.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "protocol/base_types.h"
#include "protocol/parse_error.h"

namespace saddleslip::protocol {

// The largest number that is accepted in a field that holds an amount, a size or a time in seconds.
inline constexpr double kMaxAmount = 1e9;

// Reads fields of one JSON object and records the first error. A read that fails returns a
// placeholder and later reads still work, so check error() before using any of the values. Keeps a
// reference to the object, which must outlive the reader.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : object_(object) {}

  // Reads a non-empty string of at most `max_size` bytes.
  std::string read_string(const char* field, std::size_t max_size = 256);
  // Reads a finite number from `min` to kMaxAmount.
  double read_amount(const char* field, double min);
  // Reads a finite number from `min` to kMaxAmount; nullopt if the field is missing or null.
  std::optional<double> read_optional_amount(const char* field, double min);
  // Reads an integer from `min` to `max`.
  std::uint64_t read_integer(const char* field, std::uint64_t min, std::uint64_t max);
  // Reads true or false.
  bool read_boolean(const char* field);

  // Returns the field's value; a null pointer if the field is missing.
  const Json* find(const char* field) const;
  // Returns the field's value; a null pointer if the field is missing or holds JSON null.
  const Json* find_non_null(const char* field) const;

  // Records that the field is invalid, unless an earlier error is recorded.
  void record_error(const char* field, const char* reason);
  // Returns the first error; nullopt if all reads succeeded.
  const std::optional<ParseError>& error() const { return error_; }

 private:
  const Json& object_;
  std::optional<ParseError> error_;
};

}  // namespace saddleslip::protocol
