#include "daemon/http_routes.h"

#include <algorithm>

#include "daemon/error_reply.h"
#include "protocol/paths.h"

namespace saddleslip {

using base::JobId;
using base::SteadyClock;
using base::Time;
using coordination::Controller;
using transport::Reply;
using transport::Request;

namespace {

Reply wrong_method() {
  return error_reply(405, "wrong method");
}

// Returns whether a heartbeat calls for a scheduling round now: an attempt has ended, or the
// machine is idle.
bool needs_scheduling_round(const protocol::Heartbeat& heartbeat) {
  const auto has_ended = [](const auto& attempt) {
    return attempt.state == protocol::TaskState::kEnded;
  };
  return heartbeat.tasks.empty() ||
         std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const auto& task) {
           return std::any_of(task.second.begin(), task.second.end(), has_ended);
         });
}

RequestSource source_of(const Request& request) {
  if (request.path == protocol::kHeartbeatPath) return RequestSource::kAgent;
  if (request.path == protocol::kReadinessPath) return RequestSource::kLoadBalancer;
  return RequestSource::kUser;
}

}  // namespace

Reply HttpRoutes::serve(const Request& request) {
  const Time began_at = SteadyClock::now();
  const RequestSource source = source_of(request);
  Reply reply = serve_from(source, request);
  statistics_.record(source, reply, base::between(began_at, SteadyClock::now()));
  return reply;
}

Reply HttpRoutes::serve_from(RequestSource source, const Request& request) {
  switch (source) {
    case RequestSource::kAgent:
      return request.method == "POST" ? handle_heartbeat(request.body) : wrong_method();
    case RequestSource::kLoadBalancer:
      return request.method == "GET" ? handle_readiness_probe() : wrong_method();
    case RequestSource::kUser:
      break;
  }
  return admit_user_request(request);
}

Reply HttpRoutes::admit_user_request(const Request& request) {
  const bool is_admitted = active_user_requests_.fetch_add(1) < max_concurrent_user_requests_;
  Reply reply = is_admitted ? serve_user_request(request)
                            : error_reply(503, "too many requests are waiting", 1);
  --active_user_requests_;
  return reply;
}

Reply HttpRoutes::serve_user_request(const Request& request) {
  const std::string& submissions = protocol::kSubmissionsPath;
  if (request.path == submissions) {
    return request.method == "POST" ? user_api_.submit(request.body, SteadyClock::now())
                                    : wrong_method();
  }
  if (request.path.starts_with(submissions + "/")) {
    return serve_job_request(request, request.path.substr(submissions.size() + 1));
  }
  return error_reply(404, "no such path");
}

Reply HttpRoutes::serve_job_request(const Request& request, std::string id) {
  const std::string& cancel_suffix = protocol::kCancelSuffix;
  const bool is_cancellation = id.size() > cancel_suffix.size() && id.ends_with(cancel_suffix);
  if (is_cancellation) id.resize(id.size() - cancel_suffix.size());
  if (!protocol::is_valid_job_id(id)) return error_reply(404, "no such job");
  if (is_cancellation) {
    return request.method == "POST" ? user_api_.cancel(JobId(id), SteadyClock::now())
                                    : wrong_method();
  }
  return request.method == "GET" ? user_api_.status(JobId(id)) : wrong_method();
}

Reply HttpRoutes::handle_heartbeat(const std::string& body) {
  const auto heartbeat = protocol::parse_heartbeat(body);
  if (!heartbeat) return error_reply(400, "not a report");
  const auto reply = context_.controller.with_lock([&](Controller& controller) {
    return controller.handle_heartbeat(*heartbeat, SteadyClock::now());
  });
  if (reply.status == 200 && needs_scheduling_round(*heartbeat))
    context_.wakeups.scheduling.notify();
  return {reply.status, reply.body, 0};
}

Reply HttpRoutes::handle_readiness_probe() {
  const Time now = SteadyClock::now();
  const bool was_ready = was_ready_;
  const bool is_ready =
      replicator_.is_loaded() && context_.controller.with_lock([&](Controller& controller) {
        if (controller.cache().catalogue().empty()) return false;
        // A controller that was ready stays ready without a lease while its peers have none either:
        // in an outage of the state service no controller is better than another, and removal from
        // the load balancer would outlast the outage. A controller that alone cannot reach the
        // service is not ready.
        return controller.has_lease(now) || (was_ready && !controller.any_peer_has_lease(now));
      });
  if (!is_ready) return error_reply(503, "not ready", 1);
  was_ready_ = true;
  return {200, protocol::kReadyBody, 0};
}

}  // namespace saddleslip
