#include "base/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace saddleslip::base {

namespace {

// The time that a worker needs to stop its tasks after its lease has expired.
constexpr Seconds kWorkerStopDelay{1.0};

// Returns the contents of a file. Throws BadSettings if it cannot be read.
std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw BadSettings("cannot read " + path);
  std::stringstream contents;
  contents << file.rdbuf();
  if (file.bad()) throw BadSettings("cannot read " + path);
  return contents.str();
}

}  // namespace

Seconds max_member_ttl(const Settings& settings) {
  const Seconds lease_with_drift = settings.worker_lease * (1.0 + 2.0 * kDrift);
  const Seconds remaining = settings.cancel_within - lease_with_drift - kWorkerStopDelay;
  return std::min(settings.worker_lease * 0.5, remaining);
}

Seconds longest_member_ttl(const Settings& settings) {
  return std::max(kMinMemberTtl, max_member_ttl(settings));
}

std::optional<std::string> cancellation_time_warning(const Settings& settings) {
  if (settings.tuning.member_ttl <= max_member_ttl(settings)) return {};
  std::ostringstream warning;
  warning << "settings: member_ttl_s (" << settings.tuning.member_ttl.count()
          << " s) is more than half of lease_s (" << settings.worker_lease.count()
          << " s), or both together may exceed cancel_s (" << settings.cancel_within.count()
          << " s): tasks of cancelled jobs may run too long";
  return warning.str();
}

Settings load_settings(const std::string& path, const std::optional<std::string>& operators_path) {
  Settings settings = parse_settings(read_file(path));
  if (operators_path) apply_tuning(settings, read_file(*operators_path));
  return settings;
}

}  // namespace saddleslip::base
