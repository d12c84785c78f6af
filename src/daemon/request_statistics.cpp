#include "daemon/request_statistics.h"

#include <algorithm>
#include <utility>

namespace saddleslip {

namespace {

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

}  // namespace

void RequestStatistics::record(RequestSource source, const transport::Reply& reply,
                               base::Seconds duration) {
  const std::lock_guard lock(mutex_);
  RequestReport& report = report_[static_cast<std::size_t>(source)];
  report.slowest = std::max(report.slowest, duration);
  if (reply.status >= kFirstServerError) {
    ++report.unavailable;
    report.last_unavailable = reply.body;
  } else if (reply.status >= kFirstClientError) {
    ++report.rejected;
  } else {
    ++report.served;
  }
}

RequestStatistics::Report RequestStatistics::take_report() {
  const std::lock_guard lock(mutex_);
  return std::exchange(report_, {});
}

}  // namespace saddleslip
