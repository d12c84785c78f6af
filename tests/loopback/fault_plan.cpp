#include "loopback/fault_plan.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <random>
#include <sstream>
#include <stdexcept>

namespace saddleslip::testing {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kKinds = static_cast<std::size_t>(FaultKind::kCount);
constexpr std::array<const char*, kKinds> kNames = {
    "kill",         "pause",         "state_refuses_one", "state_outage", "state_slow",
    "lost_answers", "late_writes",   "agents_cut",        "hang",         "deaf",
    "late_reports", "late_commands", "kill_all",          "zone_cut"};

// The longest time between the beginnings of two faults. Since faults last longer, they overlap.
constexpr double kMaxGapSeconds = 6.0;
constexpr double kMinFaultSeconds = 0.3;
constexpr double kMaxFaultSeconds = 25.0;
constexpr double kQuickRestartShare = 0.4;
constexpr double kMaxQuickRestartSeconds = 0.4;
// Leaders change in series: a kill is followed by kills of the next controllers.
constexpr double kSeriesShare = 0.3;
constexpr int kSeriesLength = 5;
constexpr double kSeriesGapSeconds = 3.0;
constexpr double kSlowStateSeconds = 0.4;
constexpr double kFaultyMessageShare = 0.3;
constexpr double kLateMessageShare = 0.05;
constexpr std::size_t kMachinesPerFault = 8;

// A step of the plan: the beginning or the end of a fault.
struct Step {
  double at_s;
  std::function<void()> action;
};

// The faults of the state service that are in effect, since several may concern one controller.
class StateServiceFaults {
 public:
  explicit StateServiceFaults(LoopbackCluster& cluster) : cluster_(cluster) {
    faults_.resize(cluster.controllers().count());
  }
  // Changes the faults of one controller's connection.
  template <class Function>
  void change(std::size_t controller, Function function) {
    function(faults_[controller]);
    cluster_.state_service().set_faults(controller, faults_[controller]);
  }
  // Changes the faults of all controllers' connections.
  template <class Function>
  void change_all(Function function) {
    for (std::size_t i = 0; i < faults_.size(); ++i) change(i, function);
  }

 private:
  LoopbackCluster& cluster_;
  std::vector<StateServiceStandIn::Faults> faults_;
};

using StateFaults = StateServiceStandIn::Faults;

// Cuts the controller and the machines of its zone off from everything else, or ends the cut.
void set_zone_cut(std::size_t controller, bool is_cut, LoopbackCluster& cluster,
                  StateServiceFaults& state) {
  cluster.controllers().set_isolated(controller, is_cut);
  cluster.agents().set_zone_cut(controller, is_cut);
  state.change(controller, [is_cut](StateFaults& f) { f.is_refusing = is_cut; });
}

void begin(const Fault& fault, LoopbackCluster& cluster, StateServiceFaults& state) {
  switch (fault.kind) {
    case FaultKind::kKill:
      return cluster.controllers().kill(fault.controller);
    case FaultKind::kKillAll:
      return cluster.controllers().kill_all();
    case FaultKind::kPause:
      return cluster.controllers().pause(fault.controller);
    case FaultKind::kStateRefusesOne:
      return state.change(fault.controller, [](StateFaults& f) { f.is_refusing = true; });
    case FaultKind::kStateOutage:
      return cluster.state_service().set_outage(true);
    case FaultKind::kStateSlow:
      return state.change_all([](StateFaults& f) { f.latency_s = kSlowStateSeconds; });
    case FaultKind::kLostAnswers:
      return state.change_all([](StateFaults& f) { f.lost_answer_share = kFaultyMessageShare; });
    case FaultKind::kLateTransactions:
      return state.change_all(
          [](StateFaults& f) { f.late_transaction_share = kFaultyMessageShare; });
    case FaultKind::kAgentsCutFromOne:
      return cluster.agents().cut_from_controller(fault.controller, fault.for_s);
    case FaultKind::kMachinesHang:
      return cluster.agents().hang(kMachinesPerFault, fault.for_s);
    case FaultKind::kMachinesDeaf:
      return cluster.agents().make_deaf(kMachinesPerFault, fault.for_s);
    case FaultKind::kLateHeartbeats:
      return cluster.agents().set_message_faults({kLateMessageShare, 0});
    case FaultKind::kLateCommands:
      return cluster.agents().set_message_faults({0, kFaultyMessageShare});
    case FaultKind::kZoneCut:
      return set_zone_cut(fault.controller, true, cluster, state);
    case FaultKind::kCount:
      return;
  }
}

void end(const Fault& fault, LoopbackCluster& cluster, StateServiceFaults& state) {
  switch (fault.kind) {
    case FaultKind::kKill:
      return cluster.controllers().start(fault.controller);
    case FaultKind::kKillAll:
      for (std::size_t i = 0; i < cluster.controllers().count(); ++i)
        cluster.controllers().start(i);
      return;
    case FaultKind::kPause:
      return cluster.controllers().resume(fault.controller);
    case FaultKind::kStateRefusesOne:
      return state.change(fault.controller, [](StateFaults& f) { f.is_refusing = false; });
    case FaultKind::kStateOutage:
      return cluster.state_service().set_outage(false);
    case FaultKind::kStateSlow:
      return state.change_all([](StateFaults& f) { f.latency_s = 0; });
    case FaultKind::kLostAnswers:
      return state.change_all([](StateFaults& f) { f.lost_answer_share = 0; });
    case FaultKind::kLateTransactions:
      return state.change_all([](StateFaults& f) { f.late_transaction_share = 0; });
    case FaultKind::kLateHeartbeats:
    case FaultKind::kLateCommands:
      return cluster.agents().set_message_faults({});
    case FaultKind::kZoneCut:
      return set_zone_cut(fault.controller, false, cluster, state);
    case FaultKind::kAgentsCutFromOne:
    case FaultKind::kMachinesHang:
    case FaultKind::kMachinesDeaf:
    case FaultKind::kCount:
      return;  // they end by themselves
  }
}

}  // namespace

std::string Fault::text() const {
  std::ostringstream line;
  line.precision(4);
  line << "at " << at_s << " s for " << for_s << " s: " << kNames[static_cast<std::size_t>(kind)]
       << " n-" << controller;
  return line.str();
}

std::vector<Fault> make_fault_plan(std::uint64_t seed, double seconds, std::size_t controllers,
                                   ZoneCuts zone_cuts) {
  const std::size_t kinds =
      zone_cuts == ZoneCuts::kSome ? kKinds : static_cast<std::size_t>(FaultKind::kZoneCut);
  std::mt19937_64 random(seed);
  const auto draw = [&](double min, double max) {
    return std::uniform_real_distribution<>(min, max)(random);
  };
  std::vector<Fault> plan;
  const auto add = [&](FaultKind kind, double at_s, double for_s, std::size_t controller) {
    if (at_s + kMinFaultSeconds > seconds) return;
    plan.push_back({kind, at_s, std::min(for_s, seconds - at_s), controller});
  };
  for (double at_s = draw(0, kMaxGapSeconds); at_s < seconds; at_s += draw(0, kMaxGapSeconds)) {
    const auto kind =
        static_cast<FaultKind>(std::uniform_int_distribution<std::size_t>(0, kinds - 1)(random));
    const auto controller = std::uniform_int_distribution<std::size_t>(0, controllers - 1)(random);
    const bool is_kill = kind == FaultKind::kKill || kind == FaultKind::kKillAll;
    const bool is_quick = is_kill && draw(0, 1) < kQuickRestartShare;
    const double for_s =
        is_quick ? draw(0, kMaxQuickRestartSeconds) : draw(kMinFaultSeconds, kMaxFaultSeconds);
    add(kind, at_s, for_s, controller);
    if (kind != FaultKind::kKill || draw(0, 1) >= kSeriesShare) continue;
    for (int i = 1; i < kSeriesLength; ++i) {
      add(kind, at_s + i * kSeriesGapSeconds, draw(0, kSeriesGapSeconds),
          (controller + static_cast<std::size_t>(i)) % controllers);
    }
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
  return plan;
}

std::vector<Fault> read_fault_plan(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::vector<Fault> plan;
  for (std::string line; std::getline(file, line);) {
    Fault fault;
    std::array<char, 32> name{};
    if (std::sscanf(line.c_str(), " at %lf s for %lf s: %31s n-%zu", &fault.at_s, &fault.for_s,
                    name.data(), &fault.controller) != 4)
      throw std::runtime_error("not a fault: " + line);
    const auto kind = std::find(kNames.begin(), kNames.end(), std::string(name.data()));
    if (kind == kNames.end()) throw std::runtime_error("unknown kind of fault: " + line);
    fault.kind = static_cast<FaultKind>(kind - kNames.begin());
    plan.push_back(fault);
  }
  return plan;
}

void play_faults(const std::vector<Fault>& plan, double seconds, LoopbackCluster& cluster) {
  StateServiceFaults state(cluster);
  std::vector<Step> steps;
  for (const Fault& fault : plan) {
    steps.push_back({fault.at_s, [&] { begin(fault, cluster, state); }});
    steps.push_back({fault.at_s + fault.for_s, [&] { end(fault, cluster, state); }});
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step& a, const Step& b) { return a.at_s < b.at_s; });
  const auto started_at = Clock::now();
  const auto sleep_until = [&](double at_s) {
    std::this_thread::sleep_until(started_at + std::chrono::duration_cast<Clock::duration>(
                                                   std::chrono::duration<double>(at_s)));
  };
  for (const Step& step : steps) {
    sleep_until(step.at_s);
    step.action();
  }
  sleep_until(seconds);
  // A fault that ended while another of the same kind was in effect may have left something behind.
  cluster.state_service().set_outage(false);
  state.change_all([](StateFaults& faults) { faults = {}; });
  cluster.agents().set_message_faults({});
  for (std::size_t i = 0; i < cluster.controllers().count(); ++i) {
    set_zone_cut(i, false, cluster, state);
    cluster.controllers().resume(i);
    cluster.controllers().start(i);
  }
}

}  // namespace saddleslip::testing
