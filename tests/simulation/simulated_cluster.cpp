#include "simulation/simulated_cluster.h"

namespace saddleslip::testing {

void SimulatedCluster::step() {
  clock.advance();
  state.step();
  commands.step(controllers);
  workers.step(controllers, rules);
  controllers.step(rules);
  if (users.is_poll_due()) {
    troubles.update();
    users.poll();
    whole_day.check_waiting_jobs();
    whole_day.check_unanswered_jobs();
    users.check_unknown_job();
  }
  rules.check_running_tasks();
}

void SimulatedCluster::run(double seconds) {
  constexpr double kTolerance = 1e-9;  // rounding error when many steps are added up
  const double until = clock.seconds() + seconds;
  while (clock.seconds() < until - kTolerance && failures.empty()) step();
}

}  // namespace saddleslip::testing
