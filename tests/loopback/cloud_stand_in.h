// A stand-in for the cloud that controllers reach over loopback: a catalog of one machine type, and
// machines that are up at once. Only as many can be rented as were released.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loopback/agent_swarm.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace saddleslip::testing {

// Lists the machines of a swarm and releases them. All controllers share one port.
class CloudStandIn {
 public:
  explicit CloudStandIn(AgentSwarm& agents);
  ~CloudStandIn();
  CloudStandIn(const CloudStandIn&) = delete;
  CloudStandIn& operator=(const CloudStandIn&) = delete;

  int port() const { return port_; }

 private:
  std::string list(const std::string& after, std::size_t page) const;

  AgentSwarm& agents_;
  std::unique_ptr<httplib::Server> server_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace saddleslip::testing
