// Tracks the arrivals of services by job class, to estimate how many tasks will arrive while a
// machine boots.
//
// Holds state only; takes the time as an argument. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/scaling_plan.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Counts recently submitted services and derives the demand to expect from them.
class ServiceArrivals {
 public:
  // Records the services that were added to the state cache since the last call, and drops arrivals
  // that are too old for the current rate.
  void update(const storage::StateCache& cache, Time now);

  // The parameters of an estimate of expected tasks.
  struct ForecastParameters {
    Time counted_since{};  // services that existed at this time are not arrivals
    Seconds boot_time{};   // how far ahead capacity must be requested
    double headroom = 0;   // share of the expected tasks that capacity is kept for
  };
  // Returns the demand of services that are expected to arrive within the forecast's boot time. The
  // job specifications in the result stay valid until the next update().
  std::vector<Demand> expected_demand(const ForecastParameters& forecast, Time now) const;

 private:
  // The tasks of one service that arrived.
  struct Arrival {
    Time at{};
    base::TaskNumber tasks = 0;
  };
  // The recent arrivals of one job class.
  struct ClassArrivals {
    protocol::JobSpec latest_spec;
    std::deque<Arrival> recent;
  };

  std::map<std::string, ClassArrivals> arrivals_;  // keyed by job class
  std::set<base::JobId> counted_;                  // live jobs that have been counted
};

}  // namespace saddleslip::coordination
