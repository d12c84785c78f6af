#include "coordination/fleet/service_arrivals.h"

#include <algorithm>
#include <cmath>

namespace saddleslip::coordination {

namespace {

constexpr Seconds kArrivalWindow{120.0};  // the rate of arrivals is computed over this time
constexpr Seconds kMinArrivalSpan{30.0};  // over a shorter time the rate would be mostly chance
// Jobs first seen until this long after counting started were already there and are no arrivals.
constexpr Seconds kInitialJobsMargin{2.0};
// Boots take up to this factor times the usual boot time.
constexpr double kBootMargin = 1.5;
constexpr int kExpectedTier = 100;  // packed after all waiting tasks

}  // namespace

void ServiceArrivals::update(const storage::StateCache& cache, Time now) {
  for (const auto& [id, job] : cache.jobs()) {
    const protocol::JobSpec& spec = job.record.spec;
    if (spec.kind != protocol::Kind::kService || !counted_.insert(id).second) continue;
    ClassArrivals& arrivals = arrivals_[spec.job_class];
    arrivals.latest_spec = spec;
    arrivals.recent.push_back({job.first_seen_at, spec.tasks});
  }
  std::erase_if(counted_, [&](const base::JobId& id) { return !cache.job(id); });
  for (auto& [job_class, arrivals] : arrivals_) {
    auto& recent = arrivals.recent;
    while (!recent.empty() && base::between(recent.front().at, now) > kArrivalWindow) {
      recent.pop_front();
    }
  }
}

std::vector<Demand> ServiceArrivals::expected_demand(const ForecastParameters& forecast,
                                                     Time now) const {
  std::vector<Demand> demands;
  const Seconds time_span =
      std::clamp(base::between(forecast.counted_since, now), kMinArrivalSpan, kArrivalWindow);
  for (const auto& [job_class, arrivals] : arrivals_) {
    double tasks = 0;
    for (const Arrival& arrival : arrivals.recent) {
      if (base::between(forecast.counted_since, arrival.at) > kInitialJobsMargin)
        tasks += arrival.tasks;
    }
    Demand demand;
    demand.request = arrivals.latest_spec.request;
    demand.count = static_cast<std::size_t>(std::ceil(
        tasks / time_span.count() * forecast.boot_time.count() * kBootMargin * forecast.headroom));
    demand.tier = kExpectedTier;
    demand.spec = &arrivals.latest_spec;
    if (demand.count > 0) demands.push_back(demand);
  }
  return demands;
}

}  // namespace saddleslip::coordination
