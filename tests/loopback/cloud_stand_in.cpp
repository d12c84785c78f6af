#include "loopback/cloud_stand_in.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "loopback/zones.h"

namespace saddleslip::testing {

using Json = nlohmann::json;

namespace {

constexpr std::size_t kThreads = 8;
constexpr int kUnavailable = 503;
constexpr double kHeldSeconds = 100;  // the machines were rented before the controllers started
const char* const kJsonType = "application/json";

}  // namespace

CloudStandIn::CloudStandIn(AgentSwarm& agents)
    : agents_(agents), server_(std::make_unique<httplib::Server>()) {
  using httplib::Request;
  using httplib::Response;
  server_->new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server_->Get("/catalog", [](const Request&, Response& response) {
    const Json type = {{"sku", kMachineType}, {"cores", kMachineCores}, {"gpus", 0},
                       {"memory_gb", 64},     {"cache_gb", 50},         {"fetch_gb_per_s", 1.0},
                       {"price", 1.0},        {"market_price", 0.5},    {"ready_s", 20},
                       {"paddocks", kZones}};
    response.set_content(Json{{"breeds", {type}}}.dump(), kJsonType);
  });
  server_->Get("/rentals", [this](const Request& request, Response& response) {
    const std::size_t page = std::stoul(request.get_param_value("page"));
    response.set_content(list(request.get_param_value("after"), page), kJsonType);
  });
  server_->Post("/rentals", [this](const Request& request, Response& response) {
    const Json rental = Json::parse(request.body);
    const auto machines = agents_.rent(rental.at("hire"), rental.at("how_many"));
    if (machines.empty()) response.status = kUnavailable;
    const Json body =
        machines.empty() ? Json{{"error", "no capacity"}} : Json{{"mounts", machines}};
    response.set_content(body.dump(), kJsonType);
  });
  server_->Post("/rentals/release", [this](const Request& request, Response& response) {
    const Json release = Json::parse(request.body);
    for (const Json& machine : release.at("mounts")) agents_.release(machine);
    response.set_content("{}", kJsonType);
  });
  port_ = server_->bind_to_any_port("127.0.0.1");
  thread_ = std::thread([this] { server_->listen_after_bind(); });
}

CloudStandIn::~CloudStandIn() {
  server_->stop();
  thread_.join();
}

std::string CloudStandIn::list(const std::string& after, std::size_t page) const {
  Json machines = Json::array();
  bool has_more = false;
  for (const std::string& id : agents_.machines()) {
    if (id <= after) continue;
    has_more = machines.size() == page;
    if (has_more) break;
    machines.push_back({{"name_id", id},
                        {"endpoint", "127.0.0.1:1"},
                        {"breed", kMachineType},
                        {"paddock", AgentSwarm::zone_of(id)},
                        {"strays", false},
                        {"status", "running"},
                        {"held_s", kHeldSeconds}});
  }
  return Json{{"mounts", machines}, {"more", has_more}}.dump();
}

}  // namespace saddleslip::testing
