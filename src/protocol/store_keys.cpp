#include "protocol/store_keys.h"

#include <cctype>

namespace saddleslip::protocol {

namespace {

// The state service allows keys of at most 200 bytes without spaces; an escaped byte takes three.
constexpr std::size_t kMaxTeamBytes = 80;
constexpr std::size_t kMaxNumberDigits = 6;

// Appends the character, as % and two hex digits unless it is a letter, a digit, - or _.
void append_escaped(std::string& out, char character) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  const auto byte = static_cast<unsigned char>(character);
  if (std::isalnum(byte) || character == '-' || character == '_') {
    out += character;
    return;
  }
  out += '%';
  out += kHexDigits[byte >> 4];
  out += kHexDigits[byte & 15];
}

}  // namespace

std::string job_key(const JobId& id) {
  return kJobPrefix + id.get();
}

std::string tombstone_key(const JobId& id) {
  return kTombstonePrefix + id.get();
}

std::string chunk_record_key(const JobId& id, std::uint32_t chunk) {
  return kTaskRecordPrefix + id.get() + "/" + std::to_string(chunk);
}

std::string piece_record_key(const JobId& id, std::uint32_t piece) {
  return kTaskRecordPrefix + id.get() + "/p" + std::to_string(piece);
}

std::string dependency_lists_key(const JobId& id) {
  return kDependencyListPrefix + id.get();
}

std::string dependency_list_key(const JobId& id, const std::string& set, std::size_t number) {
  return dependency_lists_key(id) + "/" + set + "/" + std::to_string(number);
}

std::string team_start_key(const std::string& team) {
  std::string key = kStartConflictPrefix;
  for (const char character : team.substr(0, kMaxTeamBytes)) append_escaped(key, character);
  return key;
}

std::string job_start_key(const JobId& id) {
  return kStartConflictPrefix + "job/" + id.get();
}

std::string claim_key(const MachineId& machine) {
  return kClaimPrefix + machine.get();
}

std::string member_key(const MemberId& member) {
  return kMemberPrefix + member.get();
}

std::optional<TaskRecordKey> parse_task_record_key(const std::string& key) {
  const auto slash = key.rfind('/');
  if (slash == std::string::npos || slash <= kTaskRecordPrefix.size()) return {};
  const bool is_piece = key.compare(slash, 2, "/p") == 0;
  const std::size_t digits_at = slash + (is_piece ? 2 : 1);
  if (digits_at >= key.size() || key.size() - digits_at > kMaxNumberDigits) return {};
  std::uint32_t number = 0;
  for (std::size_t i = digits_at; i < key.size(); ++i) {
    if (key[i] < '0' || key[i] > '9') return {};
    number = number * 10 + static_cast<std::uint32_t>(key[i] - '0');
  }
  const std::string job = key.substr(kTaskRecordPrefix.size(), slash - kTaskRecordPrefix.size());
  return TaskRecordKey{JobId(job), number, is_piece};
}

std::optional<JobId> job_of_dependency_key(const std::string& key) {
  if (!key.starts_with(kDependencyListPrefix)) return {};
  const std::size_t end = key.find('/', kDependencyListPrefix.size());
  return JobId(key.substr(kDependencyListPrefix.size(), end - kDependencyListPrefix.size()));
}

}  // namespace saddleslip::protocol
