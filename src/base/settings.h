// The platform's settings file (JSON) and the operators' own (YAML, optional).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace saddleslip::base {

struct BadSettings : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Address {
  std::string host;
  int port = 0;
  std::string str() const { return host + ":" + std::to_string(port); }
};

// "10.0.0.1:8080"; throws BadSettings.
Address parse_address(const std::string& text, const std::string& field);

struct Peer {
  MemberId member;
  std::string zone;
  Address address;
};

struct Team {
  double guaranteed_cores = 0, max_cores = 0;  // 0: no guarantee, no limit
  double guaranteed_gpus = 0, max_gpus = 0;
};

struct Objective {
  std::string kind;       // "wait", "deadline", "guarantee"
  std::string job_class;  // empty: all
  double within_s = 0;
  double share = 0;
  double times = 1;  // of the deadline
};

// What operators may set; all of it has defaults. docs/operators.md describes each field.
struct Tuning {
  Seconds round_period{1.0};    // how often a quiet controller starts a round
  Seconds member_ttl{5.0};      // a silent member's authority ends after this
  Seconds idle_return{8.0};     // an idle machine goes back after this
  double headroom = 0.5;        // room kept for arriving services, as a share of what arrives
                                // while a machine boots
  Seconds silent_release{0.0};  // a mute machine is given back after this; 0: from the lease
  double spot_share = 1.0;      // the share of spot-tolerant demand that is rented as spot
  Seconds longest_wait{120.0};  // a job of which nothing began for this long goes before others
  Seconds record_within{20.0};  // a task's end that nothing hangs on is recorded within this
  int max_connections = 0;      // accepted connections; 0: from the platform's limit
};

struct Settings {
  MemberId member;
  std::string zone;
  Address listen;
  Address peer_listen;
  std::vector<Peer> peers;
  Address cloud;
  Address state;
  int size = 1;
  std::vector<std::string> zones;
  std::set<std::string> controller_zones;  // a cut between zones leaves these in reach
  std::map<std::string, Team> teams;
  std::vector<Objective> objectives;
  // workers
  Seconds heartbeat_interval{3.0};
  Seconds worker_lease{20.0};
  Seconds cancel_within{45.0};
  // state service
  double state_rps = 200, state_write_rps = 60;
  std::size_t value_bytes = 16u << 10;
  std::size_t txn_ops = 12;
  // cloud
  double cloud_rps = 2;
  Seconds list_lag{10.0};
  // this process
  int sockets = 800;
  std::size_t memory_bytes = 104u << 20;
  Seconds clock_off{0.25};
  Tuning tuning;
};

// Throw BadSettings with one line that names the field.
Settings load_settings(const std::string& path, const std::optional<std::string>& operators_path);
Settings parse_settings(const std::string& json_text);
// One line if a cancelled task may outlast what users are promised, whatever the controllers do.
std::optional<std::string> caution(const Settings& settings);
void apply_tuning(Settings& settings, const std::string& yaml_text);

}  // namespace saddleslip::base
