// Factory functions for the objects that unit tests need.
#pragma once

#include <chrono>
#include <iomanip>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/settings.h"
#include "protocol/messages.h"
#include "protocol/records.h"

namespace saddleslip::testing {

// Returns the time that lies `seconds` after an arbitrary start.
inline base::Time at_seconds(double seconds) {
  return base::after(base::Time(std::chrono::seconds(1000)), base::Seconds(seconds));
}

// Returns the settings of the controller n0 with the given peers.
inline base::Settings make_settings(const std::vector<std::string>& peers = {}) {
  protocol::Json siblings = protocol::Json::array();
  for (const std::string& peer : peers)
    siblings.push_back({{"member", peer}, {"address", "10.0.0.2:2"}});
  const protocol::Json json = {{"member", "n0"},
                               {"serve_on", "10.0.0.1:1"},
                               {"peer_listen", "10.0.0.1:2"},
                               {"siblings", siblings},
                               {"endpoints", {{"cloud", "10.0.0.1:3"}, {"state", "10.0.0.1:4"}}}};
  return base::parse_settings(json.dump());
}

// Returns the id of a job in the form that users give it, such as run-000412.
inline std::string job_name(std::size_t number) {
  constexpr int kDigits = 6;
  std::ostringstream name;
  name << "run-" << std::setw(kDigits) << std::setfill('0') << number;
  return name.str();
}

// Returns resources without GPUs.
inline protocol::Resources make_resources(double cores, double memory_gb) {
  protocol::Resources resources;
  resources.amounts = {cores, 0, memory_gb};
  return resources;
}

// Returns the record of a job of team "t" with two tasks, submitted 1000 s after 1970.
inline protocol::JobRecord make_job(const base::JobId& id, protocol::Rank rank,
                                    std::vector<base::JobId> dependencies = {}) {
  protocol::JobRecord record;
  record.spec.id = id;
  record.spec.job_class = std::string("c");
  record.spec.team = std::string("t");
  record.spec.rank = rank;
  record.spec.tasks = 2;
  record.spec.request = make_resources(4, 1);
  record.spec.image = std::string("img");
  record.spec.estimate = base::Seconds(20);
  record.spec.dependencies = std::move(dependencies);
  record.submitted_at = 1000;
  return record;
}

// Returns a machine type that is offered in zone "a" and boots in 5 s.
inline protocol::MachineType make_machine_type(const std::string& name,
                                               const protocol::Resources& size, double price,
                                               double spot_price) {
  return {name, size, 0, 0, price, spot_price, base::Seconds(5), {"a"}};
}

}  // namespace saddleslip::testing
