#include "simulation/cluster_config.h"

#include "protocol/messages.h"
#include "simulation/simulated_network.h"

namespace saddleslip::testing {

namespace {

using protocol::Json;

Json state_section(const ClusterConfig::StateLimits& limits) {
  return {{"value_kb", static_cast<double>(limits.max_value_bytes) / 1024.0},
          {"txn_ops", limits.max_writes}};
}

Json teams_section(const std::vector<ClusterConfig::TeamQuota>& teams) {
  Json out = Json::array();
  for (const auto& quota : teams) {
    out.push_back(
        {{"name", quota.team}, {"cpus", quota.guaranteed_cores}, {"cpus_max", quota.max_cores}});
  }
  return out;
}

}  // namespace

base::Settings ClusterConfig::controller_settings(std::size_t controller,
                                                  std::size_t controller_count,
                                                  bool is_upgraded) const {
  Json peers = Json::array();
  for (std::size_t i = 0; i < controller_count; ++i) {
    if (i != controller)
      peers.push_back({{"member", controller_name(i)}, {"address", "10.0.0.1:1"}});
  }
  Json json = {
      {"member", controller_name(controller)},
      {"serve_on", "10.0.0.1:1"},
      {"peer_listen", "10.0.0.1:2"},
      {"siblings", peers},
      {"endpoints", {{"cloud", "10.0.0.1:3"}, {"state", "10.0.0.1:4"}}},
      {"settings",
       {{"size", controller_count},
        {"teams", teams_section(teams)},
        {"workers",
         {{"report_s", heartbeat_period_s}, {"lease_s", agent_lease_s}, {"cancel_s", cancel_s}}},
        {"cloud", {{"list_lag_s", 5}}}}}};
  if (state_limits) json["settings"]["state"] = state_section(*state_limits);
  if (next_state_limits && is_upgraded)
    json["settings"]["state"]["next"] = state_section(*next_state_limits);
  base::Settings settings = base::parse_settings(json.dump());
  base::apply_tuning(settings, operator_settings);
  const auto own = operator_settings_of.find(controller);
  if (own != operator_settings_of.end()) base::apply_tuning(settings, own->second);
  return settings;
}

}  // namespace saddleslip::testing
