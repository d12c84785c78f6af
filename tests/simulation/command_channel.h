// Delivers commands from controllers to machines. Simulated faults delay, lose or duplicate them.
// Commands to a hung machine wait until it resumes.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "coordination/controller.h"
#include "simulation/controller_endpoints.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_workers.h"

namespace saddleslip::testing {

// Sends each batch of commands at once, or queues it until it is due.
class CommandChannel {
 public:
  CommandChannel(const SimulatedClock& clock, const SimulatedNetwork& network,
                 SimulatedWorkers& workers)
      : clock_(clock), network_(network), workers_(workers) {}

  // Holds back the commands that are sent within the given time and delivers them at its end.
  void hold_for(double seconds) { hold_until_ = clock_.seconds() + seconds; }
  // Sets whether every batch that is sent is lost.
  void set_dropping(bool dropping) { dropping_ = dropping; }
  // Sets whether every batch that is delivered at once is delivered a second time, 20 seconds
  // later. Batches that were queued before their delivery are not repeated.
  void set_duplicating(bool duplicating) { duplicating_ = duplicating; }

  // Delivers a batch now, unless commands are held back or lost, a link is cut or the machine
  // hangs. The machine's reply goes to the sending controller.
  void send(std::size_t from, const coordination::CommandBatch& batch,
            ControllerEndpoints& controllers);
  // Delivers the batches that are due.
  void step(ControllerEndpoints& controllers);

 private:
  struct PendingBatch {
    std::optional<double> due_at;  // without a value: as soon as the machine no longer hangs
    std::size_t from;
    coordination::CommandBatch batch;
  };

  bool is_hung(const base::MachineId& machine) const;
  void deliver(std::size_t from, const coordination::CommandBatch& batch,
               ControllerEndpoints& controllers);

  const SimulatedClock& clock_;
  const SimulatedNetwork& network_;
  SimulatedWorkers& workers_;
  std::vector<PendingBatch> pending_;
  double hold_until_ = -1;
  bool dropping_ = false;
  bool duplicating_ = false;
};

}  // namespace saddleslip::testing
