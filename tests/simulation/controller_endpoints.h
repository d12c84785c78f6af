// The interface through which the simulated workers and the command channel reach the controllers.
#pragma once

#include <cstddef>
#include <string>

#include "base/ids.h"
#include "coordination/controller.h"
#include "protocol/messages.h"

namespace saddleslip::testing {

// The requests that machines make to controllers, and whether a controller can answer them.
class ControllerEndpoints {
 public:
  virtual ~ControllerEndpoints() = default;
  // Returns the number of controllers.
  virtual std::size_t count() const = 0;
  // Returns whether the controller's process is up and has loaded the records.
  virtual bool is_serving(std::size_t controller_index) const = 0;
  // Returns whether the controller's process is paused, so that connections to it are not answered.
  virtual bool is_frozen(std::size_t controller_index) const = 0;
  // Processes a machine's heartbeat and returns the reply to it.
  virtual coordination::WorkerReply handle_heartbeat(std::size_t controller_index,
                                                     const protocol::Heartbeat& heartbeat) = 0;
  // Processes a machine's reply to a batch of commands. A controller that is down loses the reply.
  virtual void handle_command_reply(std::size_t controller_index, const base::MachineId& machine,
                                    const protocol::Heartbeat& heartbeat) = 0;
};

}  // namespace saddleslip::testing
