// Periodic log lines on the state and the load of this controller.
#pragma once

#include <stop_token>

#include "daemon/shared_controller.h"

namespace saddleslip {

// Logs one line in each interval, so that its volume does not depend on the number of machines and
// requests.
class ActivityLog {
 public:
  explicit ActivityLog(const DaemonContext& context) : context_(context) {}

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  void log_interval();

  const DaemonContext context_;
};

}  // namespace saddleslip
