// The receiving side of the messages between controllers.
#pragma once

#include "daemon/shared_controller.h"
#include "transport/http.h"

namespace saddleslip {

// Answers what PeerSync of another controller sends. Safe for use from any number of threads.
class PeerRequestHandler {
 public:
  explicit PeerRequestHandler(const DaemonContext& context) : context_(context) {}

  transport::Reply serve(const transport::Request& request);

 private:
  const DaemonContext context_;
};

}  // namespace saddleslip
