#include "loopback/load_balancer.h"

#include <httplib.h>

#include <algorithm>

namespace saddleslip::testing {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::seconds;

constexpr seconds kProbeInterval{1};
constexpr int kProbeTimeoutSeconds = 1;
constexpr std::size_t kConsecutiveFailures = 2;
constexpr std::size_t kProbeWindow = 6;
constexpr std::ptrdiff_t kFailuresInWindow = 3;
constexpr std::size_t kConsecutiveSuccesses = 2;
constexpr seconds kFirstPause{3};
constexpr seconds kMaxPause{60};
constexpr seconds kPauseMemory{120};
constexpr seconds kResetDelay{5};
constexpr int kOk = 200;

// Returns whether the newest `count` probes all had this result.
bool ends_with(const std::deque<bool>& probes, std::size_t count, bool succeeded) {
  return probes.size() >= count &&
         std::all_of(probes.end() - static_cast<std::ptrdiff_t>(count), probes.end(),
                     [&](bool probe) { return probe == succeeded; });
}

}  // namespace

// --- ControllerHealth

void ControllerHealth::record_probe(bool succeeded, Time now) {
  last_probes_.push_back(succeeded);
  if (last_probes_.size() > kProbeWindow) last_probes_.pop_front();
  const auto failures = std::count(last_probes_.begin(), last_probes_.end(), false);
  if (!is_healthy_) return readmit_if_due(now);
  if (ends_with(last_probes_, kConsecutiveFailures, false) || failures >= kFailuresInWindow)
    remove(now);
}

void ControllerHealth::remove(Time now) {
  is_healthy_ = false;
  ++removals_;
  removed_at_ = now;
  std::erase_if(last_removals_, [&](Time at) { return now - at > kPauseMemory; });
  seconds pause = kFirstPause;
  for (std::size_t i = 0; i < last_removals_.size(); ++i) pause = std::min(kMaxPause, pause * 2);
  last_removals_.push_back(now);
  readmit_at_ = now + pause;
}

void ControllerHealth::readmit_if_due(Time now) {
  const std::size_t required = was_healthy_ ? kConsecutiveSuccesses : 1;
  if (now < readmit_at_ || !ends_with(last_probes_, required, true)) return;
  is_healthy_ = was_healthy_ = true;
  last_probes_.clear();
}

bool ControllerHealth::resets_connections(Time now) const {
  return !is_healthy_ && now - removed_at_ > kResetDelay;
}

// --- LoadBalancer

LoadBalancer::LoadBalancer(std::vector<int> controller_ports)
    : ports_(std::move(controller_ports)), health_(ports_.size()) {
  for (std::size_t i = 0; i < ports_.size(); ++i)
    threads_.emplace_back([this, i] { run_probes(i); });
}

LoadBalancer::~LoadBalancer() {
  is_stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
}

std::optional<std::size_t> LoadBalancer::pick() {
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < health_.size(); ++i) {
    const std::size_t controller = next_++ % health_.size();
    if (health_[controller].is_healthy()) return controller;
  }
  return {};
}

bool LoadBalancer::keeps_connection(std::size_t controller) const {
  const std::lock_guard lock(mutex_);
  return !health_[controller].resets_connections(Clock::now());
}

double LoadBalancer::longest_gap_s() const {
  const std::lock_guard lock(mutex_);
  if (!none_healthy_since_) return longest_gap_s_;
  const std::chrono::duration<double> current = Clock::now() - *none_healthy_since_;
  return std::max(longest_gap_s_, current.count());
}

void LoadBalancer::reset_longest_gap() {
  const std::lock_guard lock(mutex_);
  longest_gap_s_ = 0;
  if (none_healthy_since_) none_healthy_since_ = Clock::now();
}

std::uint64_t LoadBalancer::removals() const {
  const std::lock_guard lock(mutex_);
  std::uint64_t removals = 0;
  for (const ControllerHealth& health : health_) removals += health.removals();
  return removals;
}

void LoadBalancer::run_probes(std::size_t controller) {
  while (!is_stopping_) {
    const auto next_at = Clock::now() + kProbeInterval;
    httplib::Client client("127.0.0.1", ports_[controller]);
    client.set_connection_timeout(kProbeTimeoutSeconds);
    client.set_read_timeout(kProbeTimeoutSeconds);
    const auto response = client.Get("/ready");
    record_probe(controller, response && response->status == kOk);
    std::this_thread::sleep_until(next_at);
  }
}

void LoadBalancer::record_probe(std::size_t controller, bool succeeded) {
  const std::lock_guard lock(mutex_);
  const auto now = Clock::now();
  health_[controller].record_probe(succeeded, now);
  const bool is_any_healthy =
      std::any_of(health_.begin(), health_.end(), [](const auto& h) { return h.is_healthy(); });
  if (!is_any_healthy && !none_healthy_since_) none_healthy_since_ = now;
  if (!is_any_healthy || !none_healthy_since_) return;
  const std::chrono::duration<double> gap = now - *none_healthy_since_;
  longest_gap_s_ = std::max(longest_gap_s_, gap.count());
  none_healthy_since_.reset();
}

}  // namespace saddleslip::testing
