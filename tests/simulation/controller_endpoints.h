// The controllers of a simulated cluster as its workers reach them.
#pragma once

#include <cstddef>
#include <string>

#include "base/ids.h"
#include "coordination/controller.h"
#include "protocol/messages.h"

namespace saddleslip::testing {

class ControllerEndpoints {
 public:
  virtual ~ControllerEndpoints() = default;
  virtual std::size_t count() const = 0;
  // Is its process up, with the records loaded?
  virtual bool is_serving(std::size_t controller) const = 0;
  // Does its process stand still, connections waiting?
  virtual bool is_frozen(std::size_t controller) const = 0;
  virtual coordination::WorkerReply handle_heartbeat(std::size_t controller,
                                                     const protocol::Heartbeat& heartbeat) = 0;
  // The reply of a machine to a batch of commands. Lost if the controller is down.
  virtual void handle_command_reply(std::size_t controller, const base::MachineId& machine,
                                    const protocol::Heartbeat& heartbeat) = 0;
};

}  // namespace saddleslip::testing
