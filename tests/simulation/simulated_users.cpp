#include "simulation/simulated_users.h"

namespace saddleslip::testing {

using protocol::Json;

namespace {

constexpr double kPollPeriodSeconds = 0.5;

enum HttpStatus { kOk = 200, kCreated = 201, kBadRequest = 400, kNotFound = 404, kInvalid = 422 };

}  // namespace

void SimulatedUsers::submit(std::size_t controller, const SimulatedJob& job) {
  SimulatedJob& added = jobs_.add(job);
  added.submitted_at = added.last_answered_at = clock_.seconds();
  if (added.spec.dependencies.empty()) added.ready_since = clock_.seconds();
  send_submission(controller, added);
}

void SimulatedUsers::cancel(const JobId& id) {
  jobs_.at(id).is_cancellation_requested = true;
  next_poll_at_ = 0;
}

void SimulatedUsers::send_submission(std::size_t controller, SimulatedJob& job) {
  if (!controllers_.is_serving(controller)) return;
  const auto reply =
      controllers_.user_api(controller).submit(to_json(job.spec).dump(), clock_.now());
  if (reply.status == kCreated || reply.status == kOk) job.is_accepted = true;
  if ((reply.status == kBadRequest || reply.status == kInvalid) && job.is_accepted)
    failures_.add("forgotten: " + job.spec.id.get());
}

bool SimulatedUsers::can_ask(std::size_t controller) const {
  return controllers_.is_serving(controller) && !controllers_.is_frozen(controller) &&
         !excluded_controllers_.contains(controller);
}

void SimulatedUsers::poll() {
  next_poll_at_ = clock_.seconds() + kPollPeriodSeconds;
  for (auto& [id, job] : jobs_.all()) {
    if (!job.is_accepted) send_submission(0, job);
    if (!job.is_accepted) continue;
    for (std::size_t controller = 0; controller < controllers_.count(); ++controller) {
      if (can_ask(controller)) poll_job(controller, job);
    }
    if (!job.ready_since && jobs_.dependencies_are_done(job)) job.ready_since = clock_.seconds();
  }
}

void SimulatedUsers::poll_job(std::size_t controller, SimulatedJob& job) {
  UserApi& api = controllers_.user_api(controller);
  const JobId& id = job.spec.id;
  if (job.is_cancellation_requested && !job.cancelled_at && job.reported_final_status.empty()) {
    const auto reply = api.cancel(id, clock_.now());
    // A job that has already ended is answered `done` and is not cancelled.
    if (reply.status == kOk && Json::parse(reply.body)["status"] == "withdrawn")
      job.cancelled_at = clock_.seconds();
  }
  const auto reply = api.status(id);
  if (reply.status == kNotFound) failures_.add("forgotten: " + id.get());
  if (reply.status != kOk) return;
  job.last_answered_at = clock_.seconds();
  rules_.check_answer(job, Json::parse(reply.body)["status"]);
}

void SimulatedUsers::check_unknown_job() {
  const JobId unknown("run-999999");
  for (std::size_t controller = 0; controller < controllers_.count(); ++controller) {
    if (!controllers_.is_serving(controller) || excluded_controllers_.contains(controller))
      continue;
    if (controllers_.user_api(controller).status(unknown).status == kOk)
      failures_.add("invented: " + unknown.get());
  }
}

}  // namespace saddleslip::testing
