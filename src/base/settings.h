// The settings of a controller: the platform's file (JSON) and the operators' own (YAML, optional).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/settings_error.h"

namespace saddleslip::base {

// Another controller.
struct Peer {
  MemberId member;
  std::string zone;
  Address address;
};

// A team's quota: what it is guaranteed, and the maximum that it may use. 0: none is set.
struct Team {
  double guaranteed_cores = 0, max_cores = 0;
  double guaranteed_gpus = 0, max_gpus = 0;
};

enum class ObjectiveKind {
  kWait,      // a job starts soon
  kDeadline,  // a job keeps its deadline, or a multiple of it
  kFinished,  // a job is done soon
  kOther,     // kinds that no decision here depends on
};

// A service-level objective.
struct Objective {
  ObjectiveKind kind = ObjectiveKind::kOther;
  std::string job_class;  // empty: all
  double within_s = 0;
  double share = 0;  // of the jobs
  double times = 1;  // multiples of the deadline
};

// What operators may set; all of it has defaults. docs/operators.md describes each field.
struct Tuning {
  Seconds round_period{1.0};  // how often a controller without new work starts a scheduling round
  Seconds member_ttl{5.0};    // the authority lease of a member without contact ends after this
  Seconds idle_return{8.0};   // an idle machine is released after this
  double headroom = 0.5;  // capacity kept free for arriving services, as a share of what arrives
                          // while a machine boots
  Seconds silent_release{
      0.0};  // a machine without heartbeats is released after this; 0: from the lease
  double spot_share = 1.0;  // the share of spot-tolerant demand that is rented as spot instances
  Seconds longest_wait{
      120.0};  // a job none of whose tasks started for this long goes before others
  Seconds record_within{
      20.0};                // a task's completion that nothing depends on is recorded within this
  int max_connections = 0;  // accepted connections; 0: from the platform's limit
};

struct Settings {
  // This controller and its peers
  MemberId member;
  std::string zone;
  Address listen;       // for users and workers
  Address peer_listen;  // for peers
  std::vector<Peer> peers;
  int size = 1;                            // the number of controllers that are meant to run
  std::set<std::string> controller_zones;  // the zones of this controller and its peers
  // Other services
  Address cloud;
  Address state;
  // The machines' zones, the teams and the service-level objectives
  std::vector<std::string> zones;
  std::map<std::string, Team> teams;
  std::vector<Objective> objectives;
  // Workers
  Seconds heartbeat_interval{3.0};
  Seconds worker_lease{20.0};
  Seconds cancel_within{45.0};  // the tasks of a cancelled job end within this
  // Limits of the state service: the smaller of the present and the announced ones
  double state_rps = 200, state_write_rps = 60;
  std::size_t value_bytes = 16u << 10;
  std::size_t txn_ops = 12;
  // The cloud
  double cloud_rps = 2;
  Seconds list_lag{10.0};  // its list of machines may be this old
  // Limits of this process
  int sockets = 800;
  std::size_t memory_bytes = 104u << 20;
  Seconds clock_off{0.25};  // clocks of two nodes differ by this at most
  Tuning tuning;
};

// Reads both files. Throws BadSettings.
Settings load_settings(const std::string& path, const std::optional<std::string>& operators_path);

// Parses the text of the platform's file. Unknown fields are ignored. Throws BadSettings.
Settings parse_settings(const std::string& json_text);

// Parses the text of the operators' file into settings.tuning. Unknown fields are refused. Throws
// BadSettings; the fields before the wrong one have been set then.
void apply_tuning(Settings& settings, const std::string& yaml_text);

// The longest authority lease that lets a cancelled task end in time: whoever has not heard of the
// cancellation may act until its authority lease ends, and then the worker's lease has to end.
Seconds longest_member_ttl(const Settings& settings);
inline constexpr Seconds kShortestMemberTtl{1.0};

// One line if a cancelled task may outlast what users are promised, whatever the controllers do.
std::optional<std::string> caution(const Settings& settings);

}  // namespace saddleslip::base
