#include "protocol/worker_client.h"

#include <algorithm>

#include "base/log.h"
#include "base/settings.h"

namespace saddleslip::protocol {

using transport::Answer;
using transport::Sent;

std::shared_ptr<transport::HttpClient> WorkerClient::connection(const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto found = connections_.find(address);
  if (found == connections_.end()) {
    if (connections_.size() >= max_connections_) {
      connections_.erase(std::min_element(
          connections_.begin(), connections_.end(),
          [](const auto& x, const auto& y) { return x.second.last_use < y.second.last_use; }));
    }
    try {
      auto http = std::make_shared<transport::HttpClient>(
          base::parse_address(address, "a worker's endpoint"), 1);
      found = connections_.emplace(address, Connection{std::move(http), 0}).first;
    } catch (const base::BadSettings& e) {
      spdlog::warn("{}", e.what());
      return nullptr;
    }
  }
  found->second.last_use = ++uses_;
  return found->second.http;
}

WorkerClient::Answered WorkerClient::order(const std::string& address, FencingToken fencing_token,
                                           AgentIncarnation agent_incarnation,
                                           const std::vector<Command>& commands, Seconds timeout) {
  const auto http = connection(address);
  if (!http) return {};
  const Answer answer =
      http->post("/orders", orders(fencing_token, agent_incarnation, commands), timeout);
  Answered answered;
  answered.sent = answer.sent;
  if (answer.sent != Sent::kYes) return answered;
  answered.executed = answer.status == 200;
  if (answer.status == 200 || answer.status == 409) {
    answered.heartbeat = parse_heartbeat(answer.body);
  }
  return answered;
}

}  // namespace saddleslip::protocol
