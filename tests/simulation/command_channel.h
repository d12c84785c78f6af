// The way of commands from controllers to machines. It can hold, lose and repeat them, and keeps
// what is sent to a hung machine until that goes on.
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

class CommandChannel {
 public:
  CommandChannel(const SimulatedClock& clock, const SimulatedNetwork& network,
                 SimulatedWorkers& workers)
      : clock_(clock), network_(network), workers_(workers) {}

  // What is sent from now on arrives after so many seconds.
  void hold(double seconds) { hold_until_ = clock_.seconds() + seconds; }
  void set_lost(bool lost) { lost_ = lost; }
  // Does what is sent arrive a second time, much later?
  void set_repeated(bool repeated) { repeated_ = repeated; }

  // Delivers a batch now, unless it is held, lost or cut off. The reply goes to the sender.
  void send(std::size_t from, const coordination::CommandBatch& batch,
            ControllerEndpoints& controllers);
  // Delivers the batches that are due.
  void step(ControllerEndpoints& controllers);

 private:
  struct Pending {
    std::optional<double> due_at;  // none: as soon as the machine no longer hangs
    std::size_t from;
    coordination::CommandBatch batch;
  };

  bool is_hung(const base::MachineId& machine) const;
  void deliver(std::size_t from, const coordination::CommandBatch& batch,
               ControllerEndpoints& controllers);

  const SimulatedClock& clock_;
  const SimulatedNetwork& network_;
  SimulatedWorkers& workers_;
  std::vector<Pending> pending_;
  double hold_until_ = -1;
  bool lost_ = false;
  bool repeated_ = false;
};

}  // namespace saddleslip::testing
