#include "daemon/activity_log.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include "base/log.h"

namespace saddleslip {

using base::MonitoredMutex;
using base::Seconds;
using base::SteadyClock;
using coordination::Controller;

namespace {

constexpr Seconds kInterval{10.0};
// Indexed by StateClient::Purpose.
constexpr std::array<const char*, protocol::StateClient::kPurposes> kPurposeNames = {
    "commit", "read", "list", "lease", "watch", "changes"};
// Indexed by RequestSource.
constexpr std::array<const char*, kRequestSources> kSourceNames = {"users", "agents", "probes"};
// Users wait at most two seconds for a status, and need the mutex several times for it.
constexpr Seconds kLongHold{0.5};

// Returns the file and the line of the caller.
std::string name_of(const base::CallSite& caller) {
  const std::string_view path = caller.file;
  return std::string(path.substr(path.rfind('/') + 1)) + ":" + std::to_string(caller.line);
}

}  // namespace

void ActivityLog::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    sleep_for(kInterval, stop);
    if (stop.stop_requested()) return;
    log_controller();
    log_requests();
    log_answers();
    log_command_batches();
  }
}

void ActivityLog::log_requests() {
  protocol::StateClient::RequestCounts total;
  for (protocol::StateClient* client : sources_.state_clients) {
    const auto counts = client->take_request_counts();
    for (std::size_t i = 0; i < kPurposeNames.size(); ++i) {
      total.sent[i] += counts.sent[i];
      total.failed[i] += counts.failed[i];
    }
  }
  std::string line;
  for (std::size_t i = 0; i < kPurposeNames.size(); ++i)
    line +=
        fmt::format(" {0}={1} {0}_failed={2}", kPurposeNames[i], total.sent[i], total.failed[i]);
  const transport::RefusedConnections refused = sources_.take_refused_connections();
  spdlog::info("requests to the state service:{} refused_connections={} refused_agents={}", line,
               refused.over_connection_limit, refused.over_path_limit);
}

void ActivityLog::log_answers() {
  const RequestStatistics::Report report = sources_.http_routes.take_report();
  std::string line;
  for (std::size_t i = 0; i < kSourceNames.size(); ++i) {
    line +=
        fmt::format(" {0}_served={1} {0}_rejected={2} {0}_unavailable={3} {0}_slowest_s={4:.3f}",
                    kSourceNames[i], report[i].served, report[i].rejected, report[i].unavailable,
                    report[i].slowest.count());
  }
  const RequestReport& users = report[static_cast<std::size_t>(RequestSource::kUser)];
  spdlog::info("requests answered:{} users_last_unavailable={}", line, users.last_unavailable);
}

void ActivityLog::log_command_batches() {
  const CommandBatchReport report = sources_.command_sender.take_report();
  spdlog::info("command batches: answered={} unanswered={} out_of_date={} dropped={}",
               report.answered, report.unanswered, report.out_of_date, report.dropped);
}

void ActivityLog::log_controller() {
  const MonitoredMutex::Report mutex = context_.controller.mutex().take_report();
  if (mutex.hold.duration > kLongHold) {
    spdlog::warn("one step held the controller's mutex for long: hold_s={:.2f} caller={}",
                 mutex.hold.duration.count(), name_of(mutex.hold.caller));
  }
  struct State {
    bool is_leader = false, has_authority = false;
    std::uint64_t view = 0, first_token = 0, revision = 0;
    std::size_t jobs = 0, machines = 0;
    base::Seconds authority_left{};
  };
  const State state = context_.controller.with_lock([](Controller& controller) {
    const base::Time now = SteadyClock::now();
    const auto& cache = controller.cache();
    State result;
    result.is_leader = controller.is_leader(now);
    result.has_authority = controller.has_authority(now);
    result.authority_left = std::max(base::Seconds(0), controller.authority_left(now));
    if (cache.view()) result.view = cache.view()->epoch.get();
    result.first_token = controller.base_fencing_token().get();
    result.revision = cache.revision().get();
    result.jobs = cache.jobs().size();
    result.machines = controller.machine_count();
    return result;
  });
  spdlog::info(
      "controller activity: leader={} authority={} authority_left_s={:.1f} view={} first_token={} "
      "revision={} last_read_s={:.1f} jobs={} machines={} mutex_wait_s={:.3f} waiter={} "
      "mutex_hold_s={:.3f} holder={}",
      state.is_leader, state.has_authority, state.authority_left.count(), state.view,
      state.first_token, state.revision, sources_.replicator.time_since_read().count(), state.jobs,
      state.machines, mutex.wait.duration.count(), name_of(mutex.wait.caller),
      mutex.hold.duration.count(), name_of(mutex.hold.caller));
}

}  // namespace saddleslip
