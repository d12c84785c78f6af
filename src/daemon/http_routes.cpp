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

// Does the heartbeat bring what the next round acts upon: an attempt that ended, or an idle machine?
bool calls_for_round(const protocol::Heartbeat& heartbeat) {
  const auto has_ended = [](const auto& attempt) {
    return attempt.state == protocol::TaskState::kEnded;
  };
  return heartbeat.tasks.empty() ||
         std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const auto& task) {
           return std::any_of(task.second.begin(), task.second.end(), has_ended);
         });
}

}  // namespace

Reply HttpRoutes::serve(const Request& request) {
  if (request.path == protocol::kHeartbeatPath) {
    return request.method == "POST" ? handle_heartbeat(request.body) : wrong_method();
  }
  if (request.path == protocol::kReadinessPath) {
    return request.method == "GET" ? readiness() : wrong_method();
  }
  const bool is_admitted = user_requests_.fetch_add(1) < max_user_requests_;
  Reply reply =
      is_admitted ? serve_user(request) : error_reply(503, "too many requests are waiting", 1);
  --user_requests_;
  return reply;
}

Reply HttpRoutes::serve_user(const Request& request) {
  const std::string& submissions = protocol::kSubmissionsPath;
  if (request.path == submissions) {
    return request.method == "POST" ? users_.submit(request.body, SteadyClock::now())
                                    : wrong_method();
  }
  if (request.path.starts_with(submissions + "/")) {
    return serve_job(request, request.path.substr(submissions.size() + 1));
  }
  return error_reply(404, "no such path");
}

// `id`: the path behind the submissions' path; it may end in the suffix of cancellations.
Reply HttpRoutes::serve_job(const Request& request, std::string id) {
  const std::string& cancel = protocol::kCancelSuffix;
  const bool is_cancellation = id.size() > cancel.size() && id.ends_with(cancel);
  if (is_cancellation) id.resize(id.size() - cancel.size());
  if (!protocol::valid_job_id(id)) return error_reply(404, "no such job");
  if (is_cancellation) {
    return request.method == "POST" ? users_.cancel(JobId(id), SteadyClock::now()) : wrong_method();
  }
  return request.method == "GET" ? users_.status(JobId(id)) : wrong_method();
}

Reply HttpRoutes::handle_heartbeat(const std::string& body) {
  const auto heartbeat = protocol::parse_heartbeat(body);
  if (!heartbeat) return error_reply(400, "not a report");
  const auto reply = context_.controller.locked(
      [&](Controller& c) { return c.handle_heartbeat(*heartbeat, SteadyClock::now()); });
  if (reply.status == 200 && calls_for_round(*heartbeat)) context_.wakeups.scheduling.notify();
  return {reply.status, reply.body, 0};
}

Reply HttpRoutes::readiness() {
  const Time now = SteadyClock::now();
  const bool was_ready = was_ready_;
  const bool is_ready = replicator_.is_loaded() && context_.controller.locked([&](Controller& c) {
    if (c.cache().catalogue().empty()) return false;
    // In an outage of the state service all controllers are alike: to be taken out of the load
    // balancer would only outlast it. One that alone cannot reach the service should be.
    return c.has_lease(now) || (was_ready && !c.peers_have_state(now));
  });
  if (!is_ready) return error_reply(503, "not ready", 1);
  was_ready_ = true;
  return {200, protocol::kReadyBody, 0};
}

}  // namespace saddleslip
