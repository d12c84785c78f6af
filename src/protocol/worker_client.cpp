#include "protocol/worker_client.h"

#include <algorithm>

#include "base/log.h"
#include "base/settings.h"

namespace saddleslip::protocol {

using transport::Delivery;
using transport::HttpResult;

std::shared_ptr<transport::HttpClient> WorkerClient::connection(const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto found = connections_.find(address);
  if (found == connections_.end()) {
    if (connections_.size() >= max_connections_) {
      connections_.erase(std::min_element(
          connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
            return left.second.last_use_number < right.second.last_use_number;
          }));
    }
    try {
      auto http = std::make_shared<transport::HttpClient>(
          base::parse_address(address, "address of the agent"), 1);
      found = connections_.emplace(address, Connection{std::move(http), 0}).first;
    } catch (const base::BadSettings& error) {
      spdlog::warn("address in an agent's heartbeat cannot be used: error={}", error.what());
      return nullptr;
    }
  }
  found->second.last_use_number = ++use_count_;
  return found->second.http;
}

WorkerClient::CommandResult WorkerClient::send_commands(const std::string& address,
                                                        FencingToken fencing_token,
                                                        AgentIncarnation agent_incarnation,
                                                        const std::vector<Command>& commands,
                                                        Seconds timeout) {
  const auto http = connection(address);
  if (!http) return {};
  const HttpResult response = http->post(
      "/orders", encode_command_batch(fencing_token, agent_incarnation, commands), timeout);
  CommandResult result;
  result.delivery = response.delivery;
  if (response.delivery != Delivery::kAnswered) return result;
  result.executed = response.status == 200;
  if (response.status == 200 || response.status == 409) {
    result.heartbeat = parse_heartbeat(response.body);
  }
  return result;
}

}  // namespace saddleslip::protocol
