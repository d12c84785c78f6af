// HTTP paths that a controller serves to workers, peers and the load balancer. The paths for users
// are in user_responses.h.
#pragma once

namespace saddleslip::protocol {

// Path to which workers post their heartbeats.
inline constexpr const char* kHeartbeatPath = "/hello";
// Path of the load balancer's readiness probe.
inline constexpr const char* kReadinessPath = "/ready";
// Path to which peers post their messages (peer_messages.h), served on the address for peers.
inline constexpr const char* kPeerStatusPath = "/sibling";

// Body of the response to the readiness probe if the controller is ready.
inline constexpr const char* kReadyBody = R"({"ready":true})";

}  // namespace saddleslip::protocol
