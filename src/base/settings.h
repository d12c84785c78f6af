// The settings of a controller, read from the platform's file (JSON) and the optional operators'
// file (YAML).
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

// Another controller of the cluster.
struct Peer {
  MemberId member;
  std::string zone;
  Address address;
};

// The quota of a team: its guaranteed amounts and the maximum that it may use. A value of 0 means
// that no quota is set.
struct Team {
  double guaranteed_cores = 0, max_cores = 0;
  double guaranteed_gpus = 0, max_gpus = 0;
};

// The kinds of service-level objectives.
enum class ObjectiveKind {
  kWait,      // a job starts within a given time
  kDeadline,  // a job ends within its deadline, or within a multiple of it
  kFinished,  // a job ends within a given time
  kOther,     // any other kind; the scheduler ignores it
};

// A service-level objective.
struct Objective {
  ObjectiveKind kind = ObjectiveKind::kOther;
  std::string job_class;  // empty if the objective applies to all classes
  double within_s = 0;
  double share = 0;  // the share of the jobs that must meet the objective
  double times = 1;  // the multiple of the deadline
};

// Settings that operators may change. Each has a default. docs/operators.md describes the fields.
struct Tuning {
  // The maximum time between two scheduling rounds.
  Seconds round_period{1.0};
  // The time to live of a member's lease. A member that cannot renew it loses its authority then.
  Seconds member_ttl{5.0};
  // An idle machine is released after this time.
  Seconds idle_return{8.0};
  // The capacity kept free for new services, as a share of the demand of services that arrive while
  // a machine boots.
  double headroom = 0.5;
  // A machine that sends no heartbeats is released after this time. 0: derived from the worker's
  // lease.
  Seconds silent_release{0.0};
  // The share of spot-tolerant demand for which spot instances are rented.
  double spot_share = 1.0;
  // A job of which no task has started for this long is scheduled before others.
  Seconds longest_wait{120.0};
  // A task's completion is recorded within this time even if nothing depends on it.
  Seconds record_within{20.0};
  // The maximum number of accepted connections. 0: derived from the platform's socket limit.
  int max_connections = 0;
};

// All settings of a controller. The initial values are the defaults.
struct Settings {
  // --- This controller and its peers
  MemberId member;
  std::string zone;
  Address listen;       // the address for users and workers
  Address peer_listen;  // the address for peers
  std::vector<Peer> peers;
  int controller_count = 1;                // the planned number of controllers
  std::set<std::string> controller_zones;  // the zones of this controller and its peers
  // --- Other services
  Address cloud;
  Address state;
  // --- Zones of machines, teams and service-level objectives
  std::vector<std::string> zones;
  std::map<std::string, Team> teams;
  std::vector<Objective> objectives;
  // --- Workers
  Seconds heartbeat_interval{3.0};  // between two heartbeats of a worker
  Seconds worker_lease{20.0};       // a worker without responses for this long stops its tasks
  Seconds cancel_within{45.0};      // the tasks of a cancelled job must end within this time
  // --- Limits of the state service: the smaller of the current and the announced value of each
  double state_rps = 200, state_write_rps = 60;  // requests and writes per second
  std::size_t value_bytes = 16u << 10;           // the maximum size of a value
  std::size_t max_transaction_writes = 12;       // the maximum number of writes in a transaction
  // --- The cloud
  double cloud_rps = 2;    // calls per second
  Seconds list_lag{10.0};  // the maximum age of the cloud's list of machines
  // --- Limits of this process
  int sockets = 800;  // the maximum number of open sockets
  std::size_t memory_bytes = 104u << 20;
  // --- Clocks
  Seconds max_clock_difference{0.25};  // between the times of day of two machines
  // --- Settings of the operators
  Tuning tuning;
};

// Reads the platform's file and, if given, the operators' file. Throws BadSettings.
Settings load_settings(const std::string& path, const std::optional<std::string>& operators_path);

// Parses the contents of the platform's file. Ignores unknown fields. Throws BadSettings.
Settings parse_settings(const std::string& json_text);

// Parses the contents of the operators' file into settings.tuning. Throws BadSettings if a field is
// invalid or unknown; the fields before it have been set then.
void apply_tuning(Settings& settings, const std::string& yaml_text);

// Returns the maximum time to live of a member's lease with which the tasks of a cancelled job
// still end in time. A member that has not received the cancellation may act until its own lease
// expires; after that, the lease of the worker must expire as well.
Seconds max_member_ttl(const Settings& settings);
// The minimum time to live of a member's lease.
inline constexpr Seconds kMinMemberTtl{1.0};
// Returns the longest time to live that any controller accepts with these settings of the platform,
// whatever its operators' file says.
Seconds longest_member_ttl(const Settings& settings);

// Returns a warning of one line if the tasks of a cancelled job may run longer than cancel_s
// allows, or nothing if they cannot.
std::optional<std::string> cancellation_time_warning(const Settings& settings);

}  // namespace saddleslip::base
