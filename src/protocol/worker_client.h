// Client of the agents on machines.
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

// Keeps connections to the agents that were called last. Calls block, and may be made from any thread.
class WorkerClient {
 public:
  explicit WorkerClient(std::size_t max_connections) : max_connections_(max_connections) {}

  struct Answered {
    transport::Sent sent = transport::Sent::kNo;
    bool executed = false;
    std::optional<Heartbeat> heartbeat;  // the agent's state after, or instead of, the commands
  };
  // Sends commands to the agent at `address`. An agent of another incarnation, or one that has seen a
  // higher fencing token, carries out none of them.
  Answered order(const std::string& address, FencingToken fencing_token,
                 AgentIncarnation agent_incarnation, const std::vector<Command>& commands,
                 Seconds timeout);

 private:
  struct Connection {
    std::shared_ptr<transport::HttpClient> http;
    std::uint64_t last_use = 0;  // the count of uses then
  };
  // There are thousands of agents, and sockets for some of them: the least recently used connection
  // gives way. Null if the address is malformed.
  std::shared_ptr<transport::HttpClient> connection(const std::string& address);

  const std::size_t max_connections_;
  std::mutex mutex_;  // guards what follows
  std::uint64_t uses_ = 0;
  std::map<std::string, Connection> connections_;  // by address
};

}  // namespace saddleslip::protocol
