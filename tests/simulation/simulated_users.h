// The users of a simulated cluster, who submit jobs, request cancellations and poll the jobs'
// status.
#pragma once

#include <cstddef>
#include <set>

#include "simulation/failure_log.h"
#include "simulation/rule_checks.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulated_jobs.h"

namespace saddleslip::testing {

// Sends the users' requests to the controllers and passes the answers to the rule checks.
class SimulatedUsers {
 public:
  SimulatedUsers(const SimulatedClock& clock, SimulatedJobs& jobs,
                 SimulatedControllers& controllers, RuleChecks& rules, FailureLog& failures)
      : clock_(clock), jobs_(jobs), controllers_(controllers), rules_(rules), failures_(failures) {}

  // Submits a job. A job that is not accepted is submitted again, to n0, with each poll.
  void submit(std::size_t controller, const SimulatedJob& job);
  // Requests the job's cancellation with every poll, the next of which follows in the next step,
  // until a controller confirms it.
  void cancel(const JobId& id);
  // Sends no more polls to this controller, so that no status request refreshes its cache.
  void exclude_controller(std::size_t controller) { excluded_controllers_.insert(controller); }

  bool is_poll_due() const { return clock_.seconds() >= next_poll_at_; }
  // Requests every job's status from every controller.
  void poll();
  // Checks that no controller returns the status of a job that nobody submitted.
  void check_unknown_job();

 private:
  void send_submission(std::size_t controller, SimulatedJob& job);
  bool can_ask(std::size_t controller) const;
  void poll_job(std::size_t controller, SimulatedJob& job);

  const SimulatedClock& clock_;
  SimulatedJobs& jobs_;
  SimulatedControllers& controllers_;
  RuleChecks& rules_;
  FailureLog& failures_;
  std::set<std::size_t> excluded_controllers_;
  double next_poll_at_ = 0;
};

}  // namespace saddleslip::testing
