// Periodic log lines on the state and the load of this controller.
#pragma once

#include <functional>
#include <stop_token>
#include <utility>
#include <vector>

#include "daemon/command_sender.h"
#include "daemon/http_routes.h"
#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "protocol/clients.h"
#include "transport/http_server.h"

namespace saddleslip {

// Logs four lines in each interval, so that its volume does not depend on the number of machines and
// requests.
class ActivityLog {
 public:
  // Where the numbers come from. Everything must outlive the log.
  struct Sources {
    std::vector<protocol::StateClient*> state_clients;
    std::function<transport::RefusedConnections()> take_refused_connections;
    const StateReplicator& replicator;
    CommandSender& command_sender;
    HttpRoutes& http_routes;
  };
  ActivityLog(const DaemonContext& context, Sources sources)
      : context_(context), sources_(std::move(sources)) {}

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  void log_controller();
  void log_requests();
  void log_answers();
  void log_command_batches();

  const DaemonContext context_;
  const Sources sources_;
};

}  // namespace saddleslip
