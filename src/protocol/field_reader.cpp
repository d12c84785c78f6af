#include "protocol/field_reader.h"

#include <cmath>

namespace saddleslip::protocol {

namespace {

bool is_amount(const Json& value, double min) {
  if (!value.is_number()) return false;
  const double amount = value.get<double>();
  return std::isfinite(amount) && amount >= min && amount <= kMaxAmount;
}

bool is_integer(const Json& value, std::uint64_t min, std::uint64_t max) {
  if (!value.is_number_integer()) return false;
  if (!value.is_number_unsigned() && value.get<std::int64_t>() < 0) return false;
  const auto number = value.get<std::uint64_t>();
  return number >= min && number <= max;
}

}  // namespace

std::string FieldReader::read_string(const char* field, std::size_t max_size) {
  const Json* value = find(field);
  const std::string* text = value ? value->get_ptr<const std::string*>() : nullptr;
  if (!text || text->empty() || text->size() > max_size) {
    record_error(field, "must be a non-empty string");
    return {};
  }
  return *text;
}

double FieldReader::read_amount(const char* field, double min) {
  const Json* value = find(field);
  if (!value || !is_amount(*value, min)) {
    record_error(field, "must be a number in range");
    return 0;
  }
  return value->get<double>();
}

std::optional<double> FieldReader::read_optional_amount(const char* field, double min) {
  if (!find_non_null(field)) return {};
  return read_amount(field, min);
}

std::uint64_t FieldReader::read_integer(const char* field, std::uint64_t min, std::uint64_t max) {
  const Json* value = find(field);
  if (!value || !is_integer(*value, min, max)) {
    record_error(field, "must be an integer in range");
    return min;
  }
  return value->get<std::uint64_t>();
}

bool FieldReader::read_boolean(const char* field) {
  const Json* value = find(field);
  if (!value || !value->is_boolean()) {
    record_error(field, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

const Json* FieldReader::find(const char* field) const {
  const auto entry = object_.find(field);
  return entry == object_.end() ? nullptr : &*entry;
}

const Json* FieldReader::find_non_null(const char* field) const {
  const Json* value = find(field);
  return value && !value->is_null() ? value : nullptr;
}

void FieldReader::record_error(const char* field, const char* reason) {
  if (!error_) error_ = ParseError{field, reason};
}

}  // namespace saddleslip::protocol
