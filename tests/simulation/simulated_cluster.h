// A small world for scenarios: stand-ins for the state service, the cloud and the workers, and
// controllers whose loops are played in steps of simulated time. It can hold, delay and repeat
// orders, cut links, lose answers, crash processes and machines, and checks PROTOCOL's rules after
// every step. No clock, no luck: the same scenario plays the same way every time.
//
// A scenario is a command a line; # begins a comment.
//   workers REPORT_S LEASE_S (before nodes)
//   team NAME LEAST MOST | operators SETTING: VALUE | nodes N | capacity TYPE N      (nodes after both)
//   machine ID TYPE ZONE [spot] | machines N TYPE ZONE                       (TYPE: small, big)
//   state_limits BYTES WRITES | next_limits BYTES WRITES (of a value and a transaction: the state service's,
//     at once and from some moment on; before nodes. Controllers of the version before keep to the former)
//   upgrade NODE BACK_AFTER (it ends, and comes back with this version; with next_limits, nodes begin with
//     the version before)
//   submit ID KIND tasks= cores= memory= run= rank= team= class= deadline= estimate= node= type= zone=
//     spot one_zone spread fails= (each task fails after so long) follows=ID,ID | cancel ID [node=] | repeat N EVERY COMMAND (# in it: a number of its own)
//   run SECONDS
//   boots SECONDS|never (machines that are rented from now on)
//   spot on|off (does the cloud have spot machines?)
//   silent_cuts on|off (what is cut gives no error: a worker waits until its report times out)
//   crash NODE [BACK_AFTER] | freeze NODE SECONDS | cut A B | mend A B (nodes, state, workers, a machine,
//     a zone) | state up|down | cloud up|down
//   die|hang|wake|sick|deaf|hears|mute|speaks ID | some EVERY die|hang|wake | reboot ID SECONDS | notice ID SECONDS
//   put KEY JSON (a record that no controller of this world wrote: damaged, or of another version)
//   copies ID SECONDS | hold_orders SECONDS | lose_orders on|off | repeat_orders on|off
//   slow_load NODE SECONDS (between reading the jobs and reading their tasks' records)
//   lose_commit NODE | late_commit NODE SECONDS | watch_lag NODE SECONDS | unasked NODE
//   expect done|cancelled ID | running ID N | began ID WITHIN | served | gone MACHINE | machines N
//     | kept MACHINE | most_starts N | most_starts_of ID N | most_views N | most_releases N | submit STATUS BODY
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "api/user_api.h"
#include "coordination/controller.h"
#include "simulation/failure_log.h"
#include "simulation/scenario_trace.h"
#include "simulation/simulated_clock.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_state_service.h"

namespace saddleslip::testing {

using base::JobId;
using base::MachineId;
using base::TaskId;
using base::TaskNo;
using base::Time;
using protocol::Command;
using protocol::Json;

class CommandLine;

class SimulatedCluster {
 public:
  // Runs a scenario's text; returns what went wrong, line by line (empty: all as expected).
  std::vector<std::string> run(const std::string& text);
  // Logs what is played under this name, if the environment asks for it.
  void trace_as(const std::string& scenario) { trace_.open(scenario); }

 private:
  struct Task {
    std::uint64_t attempt = 0;
    std::string state, cause;
    double ready = 0, ends = 0;
  };
  struct Worker {
    std::string id, type, zone;
    bool spot = false, alive = true, hung = false, sick = false;
    bool mute = false;         // it reaches no controller, and direct orders reach it
    bool deaf = false;         // its reports arrive, and nothing reaches it
    double copies_after = -1;  // a copy of each report arrives so much later, everywhere
    double boots = 0;
    std::uint64_t agent_incarnation = 1, sequence = 0, fencing_token = 0;
    double last_answered_at = 0;  // when its last answered report was sent
    double next_heartbeat = 0;
    std::size_t node = 0;
    std::map<TaskId, std::vector<Task>> tasks;
    std::optional<double> taken_at;
  };
  struct Late {
    double at;
    std::string machine;
    coordination::CommandBatch order;
    std::size_t from;
  };
  struct LateHeartbeat {
    double at;
    protocol::Heartbeat heartbeat;
  };
  struct SimulatedController {
    base::Settings settings;
    std::unique_ptr<coordination::Controller> controller;
    std::unique_ptr<UserApi> users;
    std::unique_ptr<std::mutex> mutex;
    bool upgraded = false;  // with next_limits: keeps to them, as the version before did not
    bool up = false, loaded = false, round_due = true, renew_now = true;
    std::optional<base::LeaseId> lease;
    double next_renewal = 0, next_round = 0, next_peer_sync = 0, next_fleet = 0, busy_until = 0;
    double back_at = -1, frozen_until = -1;
    double load_takes = 0;
    double records_at = -1;  // a load that is under way reads the tasks' records then
    std::uint64_t load_from = 0;
    std::uint64_t rental_count = 0;
  };
  struct SimulatedJob {
    protocol::JobSpec spec;
    double run = 10;
    std::optional<double> fails_after;  // submitted with a mistake: each task fails after so long
    bool accepted = false, cancel_asked = false;
    std::optional<double> cancelled_at;
    std::string told_final;
    // Since when all jobs that it needs are done on record (from its submission, if it needs none).
    std::optional<double> ready_since;
    double submitted = 0, known_at = 0;  // when a question about it was last answered
    std::optional<double> began;
    double waited = 0;  // for its first task, since its submission or the end of all troubles
    std::optional<double> room_since;  // since when a task waits while a machine has room for it
    std::set<TaskNo> done;
    std::size_t starts = 0, starts_seen = 0;
  };

  SimulatedClock clock_;
  FailureLog failures_{clock_};
  SimulatedNetwork network_;
  SimulatedStateService state_{clock_, network_};
  ScenarioTrace trace_;
  void trace_commit(std::size_t node, const protocol::Transaction& txn,
                    const protocol::StateClient::Committed& done);
  void trace_order(std::size_t node, const coordination::CommandBatch& order);

  // the stand-ins
  protocol::StateClient::Committed commit(std::size_t node, const protocol::Transaction& txn);
  protocol::StateClient::Committed commit_untraced(std::size_t node,
                                                   const protocol::Transaction& txn);
  void check_limits(std::size_t node, const protocol::Transaction& txn);
  void check_format(const protocol::Transaction& txn);
  bool is_version_before(std::size_t node) const;
  static bool writes_as_this_version(const protocol::Transaction& txn);
  static protocol::Transaction without_format(protocol::Transaction txn);
  void step_workers();
  void execute(Worker& w, const std::vector<Command>& commands);
  protocol::Heartbeat heartbeat_of(Worker& w);
  void heartbeat(Worker& w);
  void deliver(const coordination::CommandBatch& order, std::size_t from);
  void end_agent_incarnation(Worker& w);
  Worker& add_worker(const std::string& id, const std::string& type, const std::string& zone,
                     bool spot, double boots);

  // the controllers
  void start_node(std::size_t n);
  void step_node(std::size_t n);
  void renew_lease(std::size_t n);
  void load(std::size_t n);
  // Does a controller take in what another tells it now?
  bool takes_word(std::size_t from, std::size_t n) const;
  void broadcast_cancellation(std::size_t n, const JobId& id);
  void take_in(std::size_t n, double lag);
  bool catch_up(std::size_t n);
  void round(std::size_t n);
  void fleet(std::size_t n);
  void refresh(std::size_t n, const std::vector<std::string>& keys);
  void read_unresolved_dependencies(std::size_t n);

  // users and rules
  void submit(std::size_t node, SimulatedJob& job);
  void poll();
  void check_start(const Worker& w, const TaskId& task);
  // Is every job that it needs done, by what its tasks did and by its final record?
  bool dependencies_are_done(const SimulatedJob& job) const;
  // When the user of a job that it depends on, through any number of steps, was told of its cancellation.
  std::optional<double> dependency_cancelled_at(const SimulatedJob& job) const;
  // Was the cancellation of the job, or of one that it depends on, asked for?
  bool cancellation_asked(const SimulatedJob& job) const;
  void check_answer(SimulatedJob& job, const std::string& status);
  // No controller may command a start of what was confirmed as cancelled. One that hears neither the
  // state service nor any other controller has until its authority ends.
  void check_command(std::size_t n, const TaskId& task);
  void check_rules();
  // The operators' checks of a whole day.
  void check_waiting();
  void check_served(double after);
  bool troubled() const;
  // The scenario language, by what a command is about. False: the word is none of these.
  void command(const std::string& text);
  bool set_up(CommandLine& line);
  bool trouble_controllers(CommandLine& line);
  bool trouble_machines(CommandLine& line);
  bool use(CommandLine& line);
  void submit_job(CommandLine& line);
  bool expect_job(const std::string& what, CommandLine& line);
  bool expect_fleet(const std::string& what, CommandLine& line);
  void step();

  // The store's limits as the settings say, and those that it gets later; none: they say nothing of them.
  struct StateLimits {
    std::size_t value_bytes = 0, writes = 0;
  };
  std::optional<StateLimits> limits_, next_limits_;
  std::map<std::size_t, double> watch_lag_;
  // Users do not reach these nodes, whose copies no question refreshes.
  std::set<std::size_t> unasked_;

  std::map<std::string, Worker> workers_;
  std::vector<Late> late_;
  std::vector<LateHeartbeat> late_heartbeats_;
  double hold_orders_until_ = -1;
  bool lose_orders_ = false;
  bool repeat_orders_ = false;
  bool cloud_down_ = false;
  bool spot_offered_ = true;
  double boots_after_ = 5;  // what is rented is up after so long
  int next_machine_ = 1;
  int repeated_ = 0;
  int fleet_ = 0;  // machines added by the hundred
  std::map<std::string, int> capacity_;
  std::map<std::string, std::vector<MachineId>> rentals_;
  int releases_ = 0;

  std::vector<SimulatedController> nodes_;
  std::string operators_;
  std::map<JobId, SimulatedJob> jobs_;
  double next_poll_ = 0;
  std::size_t starts_ = 0;
  std::string teams_ = R"({"name":"t","cpus":0,"cpus_max":0})";
  double troubles_over_ = 0;  // since when nothing is cut, held, down or late
  double heartbeat_s_ = 1, lease_s_ = 10, cancel_s_ = 30;
};

}  // namespace saddleslip::testing
