// The HTTP routes for users, workers and the load balancer's health probes.
#pragma once

#include <atomic>
#include <string>

#include "api/user_api.h"
#include "daemon/request_statistics.h"
#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "transport/http.h"

namespace saddleslip {

// Dispatches requests to their handlers by path and method. May be called by several threads at
// once.
class HttpRoutes {
 public:
  // Serves at most `max_concurrent_user_requests` user requests at the same time and refuses others
  // with 503. Most user requests wait for the state service; while it is slow or unavailable, they
  // must not occupy all threads that serve workers and probes.
  HttpRoutes(const DaemonContext& context, const StateReplicator& replicator, UserApi& user_api,
             int max_concurrent_user_requests)
      : context_(context),
        replicator_(replicator),
        user_api_(user_api),
        max_concurrent_user_requests_(max_concurrent_user_requests) {}

  // Returns the reply to a request of any path and method.
  transport::Reply serve(const transport::Request& request);

  // Returns how requests were answered since the last call.
  RequestStatistics::Report take_report() { return statistics_.take_report(); }

 private:
  transport::Reply serve_from(RequestSource source, const transport::Request& request);
  // Serves a submission, a status request or a cancellation, unless too many are being served.
  transport::Reply admit_user_request(const transport::Request& request);
  // Serves a submission, a status request or a cancellation.
  transport::Reply serve_user_request(const transport::Request& request);
  // Serves a request for one job. `id` is the path after the submissions path and its slash; a
  // cancellation has a suffix there.
  transport::Reply serve_job_request(const transport::Request& request, std::string id);
  // Passes a worker's heartbeat to the controller and replies with its commands.
  transport::Reply handle_heartbeat(const std::string& body);
  // Replies to a readiness probe: 200 if the load balancer may send requests here, 503
  // if not.
  transport::Reply handle_readiness_probe();

  const DaemonContext context_;
  const StateReplicator& replicator_;
  UserApi& user_api_;
  const int max_concurrent_user_requests_;
  std::atomic<int> active_user_requests_{0};  // being served now
  RequestStatistics statistics_;
  std::atomic<bool> was_ready_{false};  // a readiness probe was answered with 200 before
};

}  // namespace saddleslip
