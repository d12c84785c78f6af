// Arrivals of services: how many tasks of each class came lately, and so how
// many to expect while a machine boots.
//
// Holds state only; takes the time as an argument. Not safe for use from
// several threads at once.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/fleet/scaling_plan.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

class ServiceArrivals {
 public:
  // Takes in the services that the state cache has received since the last
  // call, and drops those that arrived too long ago to say anything about the
  // present rate.
  void update(const storage::StateCache& cache, Time now);

  // What the expected number of tasks depends on.
  struct Forecast {
    Time counted_since{};  // services that were there by then are no arrivals
    Seconds boot_time{};   // the time for which capacity is to be ready in advance
    double headroom = 0;   // the share of the expected tasks that capacity is kept for
  };
  // The demand of the services that are expected within the forecast's boot
  // time. Its job specifications hold until the next update().
  std::vector<Demand> expected(const Forecast& forecast, Time now) const;

 private:
  struct Arrival {
    Time at{};
    base::TaskNo tasks = 0;
  };
  struct ClassArrivals {
    protocol::JobSpec latest_spec;
    std::deque<Arrival> recent;
  };

  std::map<std::string, ClassArrivals> arrivals_;  // by job class
  std::set<base::JobId> counted_;                  // live jobs that are among the arrivals
};

}  // namespace saddleslip::coordination
