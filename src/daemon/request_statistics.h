// Counts the requests of users, agents and the load balancer by how they were answered.
#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "transport/http.h"

namespace saddleslip {

// Who sent a request.
enum class RequestSource { kUser, kAgent, kLoadBalancer };
inline constexpr std::size_t kRequestSources = 3;

// The requests from one source since the last report.
struct RequestReport {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;     // answered with a status from 400 to 499
  std::uint64_t unavailable = 0;  // answered with a status from 500 on
  base::Seconds slowest{0};
  std::string last_unavailable;  // the body of the last answer with a status from 500 on
};

// May be used by several threads at once.
class RequestStatistics {
 public:
  using Report = std::array<RequestReport, kRequestSources>;  // indexed by RequestSource

  void record(RequestSource source, const transport::Reply& reply, base::Seconds duration);
  // Returns the counts since the last call.
  Report take_report();

 private:
  std::mutex mutex_;
  Report report_;  // guarded by mutex_
};

}  // namespace saddleslip
