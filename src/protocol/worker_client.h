// HTTP client of the agents that run on the machines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"
#include "protocol/heartbeat.h"
#include "protocol/worker_commands.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

// Client of all agents. Keeps connections to the agents that were called most recently. Calls are
// thread-safe and block until a response arrives or the timeout expires.
class WorkerClient {
 public:
  explicit WorkerClient(std::size_t max_connections) : max_connections_(max_connections) {}

  // The response of an agent to commands.
  struct CommandResult {
    transport::Delivery delivery = transport::Delivery::kNotSent;
    bool executed = false;  // the agent accepted the commands
    // The state of the machine after the commands, or the state for which the agent rejected them.
    std::optional<Heartbeat> heartbeat;
  };
  // Sends commands to the agent at `address`. The agent rejects all of them if its incarnation is
  // not `agent_incarnation` or if it has received a higher fencing token.
  CommandResult send_commands(const std::string& address, FencingToken fencing_token,
                              AgentIncarnation agent_incarnation,
                              const std::vector<Command>& commands, Seconds timeout);

 private:
  // The connection to one agent.
  struct Connection {
    std::shared_ptr<transport::HttpClient> http;
    std::uint64_t last_use_number = 0;  // value of use_count_ at the last use
  };
  // Returns the connection to the agent, or a null pointer if the address is malformed. As there
  // are thousands of agents and fewer sockets, a new connection replaces the least recently used
  // one at the limit.
  std::shared_ptr<transport::HttpClient> connection(const std::string& address);

  const std::size_t max_connections_;
  std::mutex mutex_;             // guards use_count_ and connections_
  std::uint64_t use_count_ = 0;  // the number of connection() calls that succeeded
  std::map<std::string, Connection> connections_;  // by address
};

}  // namespace saddleslip::protocol
