// The interface through which a simulated cluster reports the events that the protocol's rules are
// checked against.
#pragma once

#include <cstddef>

#include "base/ids.h"

namespace saddleslip::testing {

struct SimulatedMachine;

// Receives the start of tasks, as commanded by controllers and as carried out by machines.
class ProtocolObserver {
 public:
  virtual ~ProtocolObserver() = default;
  // Called when a controller commands a machine to start a task.
  virtual void on_start_commanded(std::size_t controller, const base::TaskId& task) = 0;
  // Called when a task starts to run on a machine.
  virtual void on_task_started(const SimulatedMachine& machine, const base::TaskId& task) = 0;
};

}  // namespace saddleslip::testing
