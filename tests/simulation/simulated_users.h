// The users of a simulated cluster: they submit jobs, ask for cancellations, and poll for answers.
#pragma once

#include <cstddef>
#include <set>

#include "simulation/failure_log.h"
#include "simulation/rule_checks.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulated_jobs.h"

namespace saddleslip::testing {

class SimulatedUsers {
 public:
  SimulatedUsers(const SimulatedClock& clock, SimulatedJobs& jobs,
                 SimulatedControllers& controllers, RuleChecks& rules, FailureLog& failures)
      : clock_(clock), jobs_(jobs), controllers_(controllers), rules_(rules), failures_(failures) {}

  // Submits a job. One that is not accepted is submitted to n0 again with each poll.
  void submit(std::size_t controller, const SimulatedJob& job);
  // Asks for a cancellation from the next step on, until it is confirmed.
  void cancel(const JobId& id);
  // No user reaches this controller any more, so that no question refreshes its cache.
  void avoid(std::size_t controller) { avoided_.insert(controller); }

  bool is_poll_due() const { return clock_.seconds() >= next_poll_at_; }
  // Asks every controller about every job.
  void poll();
  // No controller may know of a job that nobody submitted.
  void ask_for_unknown_job();

 private:
  void send(std::size_t controller, SimulatedJob& job);
  bool can_ask(std::size_t controller) const;
  void ask_about(std::size_t controller, SimulatedJob& job);

  const SimulatedClock& clock_;
  SimulatedJobs& jobs_;
  SimulatedControllers& controllers_;
  RuleChecks& rules_;
  FailureLog& failures_;
  std::set<std::size_t> avoided_;
  double next_poll_at_ = 0;
};

}  // namespace saddleslip::testing
