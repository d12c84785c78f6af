// The receiving side of messages between controllers.
#pragma once

#include "daemon/shared_controller.h"
#include "transport/http.h"

namespace saddleslip {

// Handles the status messages that other controllers' PeerSync sends. May be called by several
// threads at once.
class PeerRequestHandler {
 public:
  explicit PeerRequestHandler(const DaemonContext& context) : context_(context) {}

  // Processes one status message and replies with the instructions for its sender.
  transport::Reply serve(const transport::Request& request);

 private:
  const DaemonContext context_;
};

}  // namespace saddleslip
