// What users, workers and the load balancer's probes ask a controller.
#pragma once

#include <atomic>
#include <string>

#include "api/user_api.h"
#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "transport/http.h"

namespace saddleslip {

// Dispatches requests by path and method. Safe for use from any number of threads.
class HttpRoutes {
 public:
  // Of users' requests, at most `max_user_requests` are served at once. Most of them wait for the
  // state service; while it is slow or silent they must not occupy all the threads that answer
  // workers and probes.
  HttpRoutes(const DaemonContext& context, const StateReplicator& replicator, UserApi& users,
             int max_user_requests)
      : context_(context),
        replicator_(replicator),
        users_(users),
        max_user_requests_(max_user_requests) {}

  transport::Reply serve(const transport::Request& request);

 private:
  transport::Reply serve_user(const transport::Request& request);
  transport::Reply serve_job(const transport::Request& request, std::string id);
  transport::Reply handle_heartbeat(const std::string& body);
  transport::Reply readiness();

  const DaemonContext context_;
  const StateReplicator& replicator_;
  UserApi& users_;
  const int max_user_requests_;
  std::atomic<int> user_requests_{0};
  std::atomic<bool> was_ready_{false};
};

}  // namespace saddleslip
