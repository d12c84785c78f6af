// What the rules of the protocol are about, reported as it happens in a simulated cluster.
#pragma once

#include <cstddef>

#include "base/ids.h"

namespace saddleslip::testing {

struct SimulatedMachine;

class ProtocolObserver {
 public:
  virtual ~ProtocolObserver() = default;
  // A controller commands the start of a task.
  virtual void on_start_commanded(std::size_t controller, const base::TaskId& task) = 0;
  // A task begins to run on a machine.
  virtual void on_task_started(const SimulatedMachine& machine, const base::TaskId& task) = 0;
};

}  // namespace saddleslip::testing
