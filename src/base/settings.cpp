#include "base/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace saddleslip::base {

namespace {

// Until a worker whose lease has ended has stopped its tasks.
constexpr Seconds kWorkerDelay{1.0};

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw BadSettings("cannot read " + path);
  std::stringstream text;
  text << in.rdbuf();
  if (in.bad()) throw BadSettings("cannot read " + path);
  return text.str();
}

}  // namespace

Seconds longest_member_ttl(const Settings& settings) {
  const Seconds lease_with_drift = settings.worker_lease * (1.0 + 2.0 * kDrift);
  const Seconds left = settings.cancel_within - lease_with_drift - kWorkerDelay;
  return std::min(settings.worker_lease * 0.5, left);
}

std::optional<std::string> caution(const Settings& settings) {
  if (settings.tuning.member_ttl <= longest_member_ttl(settings)) return {};
  std::ostringstream out;
  out << "settings: a controller's authority (" << settings.tuning.member_ttl.count()
      << " s) and then a worker's lease (" << settings.worker_lease.count()
      << " s) may outlast cancel_s (" << settings.cancel_within.count()
      << " s), or half a lease: cancelled tasks may stay too long";
  return out.str();
}

Settings load_settings(const std::string& path, const std::optional<std::string>& operators_path) {
  Settings settings = parse_settings(read_file(path));
  if (operators_path) apply_tuning(settings, read_file(*operators_path));
  return settings;
}

}  // namespace saddleslip::base
