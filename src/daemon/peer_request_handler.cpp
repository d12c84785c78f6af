#include "daemon/peer_request_handler.h"

#include "daemon/error_reply.h"
#include "protocol/paths.h"
#include "protocol/peer_messages.h"

namespace saddleslip {

using base::SteadyClock;
using coordination::Controller;

transport::Reply PeerRequestHandler::serve(const transport::Request& request) {
  if (request.path != protocol::kPeerStatusPath || request.method != "POST") {
    return error_reply(404, "no such path");
  }
  const auto message = protocol::parse_peer_message(request.body, SteadyClock::now());
  if (!message) return error_reply(400, "malformed");
  const auto instructions = context_.controller.with_lock([&](Controller& controller) {
    for (const auto& offers : message->offers) controller.add_offers(offers, SteadyClock::now());
    for (const base::JobId& job : message->cancelled) controller.notify_cancelled(job);
    return controller.handle_peer_status(message->status, SteadyClock::now());
  });
  if (!message->offers.empty() || !message->cancelled.empty()) {
    context_.wakeups.scheduling.notify();
  }
  // The tasks on the peer's machines stop unless another controller takes the machines over and
  // answers their heartbeats before their leases expire. The lease renewal commits such a change.
  if (message->status.worker_contact == protocol::WorkerContact::kLost) {
    context_.wakeups.lease_renewal.notify();
  }
  return {200,
          protocol::encode_peer_reply({instructions.released, instructions.cordon,
                                       instructions.drain, instructions.needs_full_status}),
          0};
}

}  // namespace saddleslip
