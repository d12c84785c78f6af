// Paths that a controller serves besides the users' (messages.h), and the body of its probe's answer.
#pragma once

namespace saddleslip::protocol {

// Workers post their heartbeats here.
inline constexpr const char* kHeartbeatPath = "/hello";
// The load balancer's readiness probe.
inline constexpr const char* kReadinessPath = "/ready";
// Peers post their status here (peer_messages.h), on the address for peers.
inline constexpr const char* kPeerStatusPath = "/sibling";

// The answer to the probe of a controller that is ready.
inline constexpr const char* kReadyBody = R"({"ready":true})";

}  // namespace saddleslip::protocol
