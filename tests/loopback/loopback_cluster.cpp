#include "loopback/loopback_cluster.h"

#include "loopback/zones.h"

namespace saddleslip::testing {

using Json = nlohmann::json;

namespace {

constexpr double kBytesPerKilobyte = 1024;

std::vector<int> state_ports(const StateServiceStandIn& service, std::size_t controllers) {
  std::vector<int> ports;
  for (std::size_t i = 0; i < controllers; ++i) ports.push_back(service.port(i));
  return ports;
}

Json settings_of(const LoopbackOptions& options) {
  const Json team = {{"name", "team"}, {"cpus", 0}, {"cpus_max", 0}, {"gpus", 0}, {"gpus_max", 0}};
  return {{"size", options.controllers},
          {"zones", kZones},
          {"teams", {team}},
          {"objectives", Json::array()},
          {"workers",
           {{"report_s", options.heartbeat_interval_s},
            {"lease_s", options.lease_s},
            {"gang_wait_s", 45},
            {"gang_peer_s", 4},
            {"cancel_s", options.cancel_s}}},
          {"state",
           {{"rps", options.state.requests_per_second},
            {"write_rps", options.state.writes_per_second},
            {"value_kb", static_cast<double>(options.state.value_bytes) / kBytesPerKilobyte},
            {"txn_ops", options.state.transaction_writes}}},
          {"cloud", {{"rps", 5}, {"list_lag_s", 2}}},
          {"quota",
           {{"cores", options.processor_share},
            {"mem_mb", options.memory_mb},
            {"sockets", options.sockets}}},
          {"skew_ms", 5}};
}

ControllerProcesses::Options process_options(const LoopbackOptions& options,
                                             const StateServiceStandIn& service) {
  ControllerProcesses::Options result;
  result.program = options.program;
  result.folder = options.folder;
  result.log_level = options.log_level;
  result.processor_share = options.processor_share;
  result.memory_mb = options.memory_mb;
  result.settings = settings_of(options);
  result.state_ports = state_ports(service, options.controllers);
  if (options.has_mixed_settings) result.settings_seed = options.seed;
  result.max_member_ttl_s = options.lease_s / 2;
  return result;
}

AgentSwarm::Options agent_options(const LoopbackOptions& options,
                                  const ControllerProcesses& controllers) {
  AgentSwarm::Options result;
  result.members = controllers.members();
  result.controller_ports = controllers.ports();
  result.machines = options.machines;
  result.heartbeat_interval_s = options.heartbeat_interval_s;
  result.lease_s = options.lease_s;
  result.seed = options.seed;
  result.ignores_leases = options.agents_ignore_leases;
  return result;
}

}  // namespace

LoopbackCluster::LoopbackCluster(const LoopbackOptions& options)
    : options_(options),
      ledger_(options.cancel_s),
      state_service_(options.controllers, options.state, options.seed),
      controllers_(process_options(options, state_service_)) {
  agents_ = std::make_unique<AgentSwarm>(agent_options(options, controllers_), ledger_);
  cloud_ = std::make_unique<CloudStandIn>(*agents_);
  controllers_.set_cloud_port(cloud_->port());
  for (std::size_t i = 0; i < options.controllers; ++i) controllers_.start(i);
  load_balancer_ = std::make_unique<LoadBalancer>(controllers_.ports());
}

LoopbackCluster::~LoopbackCluster() {
  // The users and the agents call the controllers, and the controllers call the stand-ins.
  users_.reset();
  load_balancer_.reset();
  controllers_.kill_all();
}

void LoopbackCluster::start_users() {
  UserClients::Options users = options_.users;
  users.controller_ports = controllers_.ports();
  users.seed = options_.seed;
  users_ = std::make_unique<UserClients>(users, ledger_, *load_balancer_);
}

}  // namespace saddleslip::testing
