// The faults of one run of the soak test, derived from a seed.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "loopback/loopback_cluster.h"

namespace saddleslip::testing {

// The kinds of faults. "One" means one controller.
enum class FaultKind {
  kKill,              // one process ends and is started again
  kPause,             // one process does not execute
  kStateRefusesOne,   // the state service answers one controller with 503
  kStateOutage,       // the state service answers everyone with 503
  kStateSlow,         // the state service answers everyone late
  kLostAnswers,       // transactions are applied, but not answered
  kLateTransactions,  // transactions are applied late and not answered
  kAgentsCutFromOne,  // no agent reaches one controller
  kMachinesHang,      // some machines hang
  kMachinesDeaf,      // some machines receive no responses and commands
  kLateHeartbeats,    // copies of heartbeats arrive late
  kLateCommands,      // direct commands are executed late
  kKillAll,           // all processes end and are started again
  kZoneCut,           // one controller and the machines of its zone reach nothing else
  kCount,             // the number of kinds
};

// A fault that begins at a time and lasts for a time.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  double at_s = 0;
  double for_s = 0;
  std::size_t controller = 0;
  // Returns the fault as a line of text.
  std::string text() const;
};

// Whether a plan may cut off zones, which needs links between the controllers.
enum class ZoneCuts { kNone, kSome };

// Returns the faults for a seed, in the order of their times. All have ended after `seconds`.
std::vector<Fault> make_fault_plan(std::uint64_t seed, double seconds, std::size_t controllers,
                                   ZoneCuts zone_cuts = ZoneCuts::kNone);

// Reads a plan whose lines have the form of Fault::text(). Throws std::runtime_error if a line has
// another form.
std::vector<Fault> read_fault_plan(const std::string& path);

// Applies the plan to the cluster and returns after the last fault has ended.
void play_faults(const std::vector<Fault>& plan, double seconds, LoopbackCluster& cluster);

}  // namespace saddleslip::testing
