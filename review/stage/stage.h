// Stand-ins for the cloud, the machines' workers and the users, and the controllers as processes.
// They follow the published protocol. The state service is the project's own stand-in.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "http.h"
#include "loopback/state_service_stand_in.h"

namespace stage {

using Json = nlohmann::json;
using saddleslip::testing::StateServiceLimits;
using saddleslip::testing::StateServiceStandIn;

// --- The record of what was sent, answered and run

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", since(began_));
    file_ << time << text << std::endl;
  }
  double now_s() const { return since(began_); }

 private:
  const Time began_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

// --- Jobs and the rules

struct JobSpec {
  std::string id, team = "team-a", kind = "array", rank = "standard", herd = "batch";
  std::string zone;  // empty: any
  std::string image = "img-1";
  std::uint32_t tasks = 1;
  double cores = 1, memory_gb = 1, run_s = 3, image_gb = 0.1, deadline_s = 0;
  double checkpoint_s = 0, save_s = 0;
  bool same_place = false, apart = false, spot = false;
  std::vector<std::string> follows;

  std::string body() const {
    Json json = {{"name_id", id},       {"herd", herd},     {"drover", team},
                 {"gait", kind},        {"rank", rank},     {"strides", tasks},
                 {"cores", cores},      {"gpus", 0.0},      {"memory_gb", memory_gb},
                 {"breeds", nullptr},   {"paddock", nullptr}, {"same_place", same_place},
                 {"apart", apart},      {"strays", spot},   {"brand", image},
                 {"image_gb", image_gb}, {"ride_s", kind == "array" ? run_s : 0.0},
                 {"waypoint_s", checkpoint_s}, {"unload_s", save_s}, {"sundown_s", nullptr}};
    if (!zone.empty()) json["paddock"] = zone;
    if (deadline_s > 0) json["sundown_s"] = deadline_s;
    if (!follows.empty()) json["follows"] = follows;
    return json.dump();
  }
};

struct Team {
  double guaranteed = 0, max = 0;
};

// Knows all jobs and where their tasks are, and notes each broken rule.
class Ledger {
 public:
  Ledger(Record& record, double cancel_s) : record_(record), cancel_s_(cancel_s) {}

  std::map<std::string, Team> teams;

  void submit(const JobSpec& job) {
    const std::lock_guard lock(mutex_);
    jobs_[job.id].spec = job;
  }
  std::optional<JobSpec> job(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return {};
    return found->second.spec;
  }
  // Whether all tasks of the job are done (arrays).
  bool all_done(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return is_done(jobs_.at(id));
  }
  std::size_t running(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [task, machines] : jobs_.at(id).on) count += machines.size();
    return count;
  }
  std::set<std::string> machines_of(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    std::set<std::string> all;
    for (const auto& [task, machines] : jobs_.at(id).on)
      for (const auto& [machine, zone] : machines) all.insert(machine);
    return all;
  }
  void asked_to_cancel(const std::string& id) {
    const std::lock_guard lock(mutex_);
    jobs_[id].cancel_asked = true;
  }

  // A reply to a user. `sent_at`: when the request was sent.
  void reply(const std::string& id, int status, const std::string& body, Time sent_at) {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      if (status == 200 || status == 201) broken("invented", id);
      return;
    }
    Job& job = found->second;
    if (job.accepted_at != Time{} && sent_at > job.accepted_at &&
        (status == 404 || status == 400 || status == 422))
      broken("forgotten", id + " answered with " + std::to_string(status));
    if (status != 200 && status != 201) return;
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("status")) return broken("wrong answer", body);
    if (json.value("name_id", "") != id) broken("foreign data", id + ": " + body);
    if (job.accepted_at == Time{}) job.accepted_at = Clock::now();
    job.answered_at = Clock::now();
    const std::string state = json["status"];
    const bool is_final = state == "done" || state == "withdrawn";
    if (!job.final_state.empty() && state != job.final_state &&
        (is_final || sent_at > job.final_at))
      broken("went_back", id + " was " + job.final_state + " and is now " + state);
    if (state == "done" && !is_done(job)) broken("not_done", id);
    if (state == "withdrawn" && !may_be_cancelled(id))
      broken("went_back", id + " is called cancelled, which nobody asked for");
    if (!is_final && job.final_state.empty()) {
      for (const std::string& before : ancestors(id)) {
        const Job& other = jobs_.at(before);
        if (other.final_state == "withdrawn" && since_at(other.final_at, sent_at) > cancel_s_)
          broken("orphaned", id + " is " + state + " although " + before + " was cancelled");
      }
    }
    if (is_final && job.final_state.empty()) {
      job.final_state = state;
      job.final_at = Clock::now();
      record_.line("user told: " + id + " " + state);
    }
  }

  void started(const std::string& machine, const std::string& zone, bool spot,
               const std::string& id, std::uint32_t task) {
    const std::lock_guard lock(mutex_);
    ++starts;
    const std::string name = id + "/" + std::to_string(task);
    record_.line("starts: " + name + " on " + machine + " (" + zone + ")");
    if (!jobs_.contains(id)) return broken("invented", name + " started on " + machine);
    Job& job = jobs_.at(id);
    for (const auto& [other, z] : job.on[task]) {
      if (other != machine) broken("ran_twice", name + " started on " + machine + " while on " + other);
    }
    if (job.done.contains(task)) record_.line("again: " + name);
    for (const std::string& before : job.spec.follows) {
      if (!is_done(jobs_.at(before))) broken("too_early", name + " before " + before);
    }
    if (job.final_state == "withdrawn" && since(job.final_at) > cancel_s_)
      broken("ran_cancelled", name + " started on " + machine);
    if (spot && !job.spec.spot) broken("wrong_place", name + " on a spot machine");
    if (!job.spec.zone.empty() && job.spec.zone != zone) broken("wrong_place", name + " in " + zone);
    std::map<std::string, std::size_t> zones;
    for (const auto& [other, machines] : job.on) {
      if (other == task) continue;
      for (const auto& [m, z] : machines) ++zones[z];
    }
    if (job.spec.same_place && !zones.empty() && (zones.size() > 1 || !zones.contains(zone)))
      broken("wrong_place", name + " in " + zone + ", others elsewhere");
    if (job.spec.apart && zones[zone] + 1 > (job.spec.tasks + 1) / 2)
      broken("wrong_place", name + ": too many in " + zone);
    job.on[task][machine] = zone;
    double& use = use_[job.spec.team];
    use += job.spec.cores;
    const auto team = teams.find(job.spec.team);
    if (team != teams.end() && team->second.max > 0 && use > team->second.max + 1e-6)
      broken("quota", job.spec.team + " uses " + std::to_string(use) + " after " + name);
  }
  void ended(const std::string& machine, const std::string& id, std::uint32_t task, bool done,
             const std::string& why) {
    const std::lock_guard lock(mutex_);
    Job& job = jobs_[id];
    record_.line("ends: " + id + "/" + std::to_string(task) + " on " + machine + " (" + why + ")");
    if (job.on[task].erase(machine) > 0) use_[job.spec.team] -= job.spec.cores;
    if (job.final_state == "withdrawn" && since(job.final_at) > cancel_s_ + 0.1)
      broken("ran_cancelled", id + "/" + std::to_string(task) + " was on " + machine + " until now");
    if (done) job.done.insert(task);
  }
  void begin_quiet() {
    const std::lock_guard lock(mutex_);
    quiet_since_ = Clock::now();
  }
  std::vector<std::string> accepted() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [id, job] : jobs_)
      if (job.accepted_at != Time{}) ids.push_back(id);
    return ids;
  }
  std::string final_state(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return jobs_.at(id).final_state;
  }
  std::vector<std::string> unanswered() const {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto& [id, job] : jobs_)
      if (job.accepted_at != Time{} && job.answered_at < quiet_since_) ids.push_back(id);
    return ids;
  }
  void broken(const std::string& rule, const std::string& detail) {
    broken_.push_back(rule + ": " + detail);
    record_.line("BROKEN " + rule + ": " + detail);
  }
  void note_broken(const std::string& rule, const std::string& detail) {
    const std::lock_guard lock(mutex_);
    broken(rule, detail);
  }
  std::vector<std::string> violations() const {
    const std::lock_guard lock(mutex_);
    return broken_;
  }
  // Cancelled tasks that are still somewhere.
  void check_cancelled() {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, job] : jobs_) {
      if (job.final_state != "withdrawn" || since(job.final_at) < cancel_s_ + 0.1) continue;
      for (const auto& [task, machines] : job.on)
        for (const auto& [m, z] : machines)
          broken("ran_cancelled", id + "/" + std::to_string(task) + " is on " + m);
    }
  }
  std::atomic<int> starts{0};

 private:
  struct Job {
    JobSpec spec;
    Time accepted_at{}, answered_at{}, final_at{};
    std::string final_state;
    bool cancel_asked = false;
    std::set<std::uint32_t> done;
    std::map<std::uint32_t, std::map<std::string, std::string>> on;  // task -> machine -> zone
  };
  static double since_at(Time from, Time to) {
    return std::chrono::duration<double>(to - from).count();
  }
  bool is_done(const Job& job) const {
    return job.spec.kind == "array" && job.done.size() >= job.spec.tasks;
  }
  std::set<std::string> ancestors(const std::string& id) const {
    std::set<std::string> all;
    std::vector<std::string> open = jobs_.at(id).spec.follows;
    while (!open.empty()) {
      const std::string next = open.back();
      open.pop_back();
      if (!all.insert(next).second) continue;
      const auto& more = jobs_.at(next).spec.follows;
      open.insert(open.end(), more.begin(), more.end());
    }
    return all;
  }
  bool may_be_cancelled(const std::string& id) const {
    if (jobs_.at(id).cancel_asked) return true;
    for (const std::string& before : ancestors(id))
      if (jobs_.at(before).cancel_asked) return true;
    return false;
  }

  Record& record_;
  const double cancel_s_;
  mutable std::mutex mutex_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> use_;
  std::vector<std::string> broken_;
  Time quiet_since_{};
};

// --- Controllers

struct Options {
  std::string program, folder, record;
  std::size_t controllers = 3;
  std::vector<std::string> zones = {"za", "zb", "zc"};
  std::vector<std::string> controller_zones = {"za", "zb", "zc"};
  double report_s = 1.5, lease_s = 12, cancel_s = 42;
  double rps = 200, write_rps = 60, value_kb = 16;
  int txn_ops = 12, sockets = 800;
  double mem_mb = 104;
  double idle_return_s = 3600;
  std::map<std::string, Team> teams = {{"team-a", {}}};
  std::map<std::size_t, std::string> operators;  // YAML of single controllers
  std::string log_level = "info";
  std::uint64_t seed = 1;
  std::string breed = "plant-small";
  double ready_s = 40, boot_s = 2, machine_cores = 8, fetch_gb_per_s = 0.8;
  std::size_t max_machines = 40;
  Json objectives = Json::array();
};

class Stage;

// The worker of one machine.
class Worker {
 public:
  Worker(Stage& stage, std::string id, std::string zone, bool spot, double up_after_s);
  ~Worker() { end(); }
  void end();  // the machine and everything on it are gone

  const std::string id, zone;
  const bool spot;
  const Time rented_at = Clock::now();
  std::atomic<bool> is_up{false}, gone{false};
  // Faults
  std::atomic<bool> hung{false}, deaf{false}, mute{false};
  // No traffic between this machine and the controller of this number.
  std::vector<std::atomic<bool>> cut;
  double late_report_share = 0, late_order_share = 0;
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(orders_[0]->port()); }
  std::string status() const { return is_up ? "running" : "starting"; }

 private:
  struct Attempt {
    std::uint64_t number = 0;
    std::string state = "pulling", cause = "none";
    Time image_at{}, ends_at{}, saved_at{};
  };
  using Key = std::pair<std::string, std::uint32_t>;
  void run(double up_after_s);
  void live();  // tasks and the lease, in steps
  std::string report(std::size_t controller);
  void execute(const Json& calls);
  void finish(const Key& task, Attempt& attempt, const std::string& cause);
  std::optional<Answer> orders(std::size_t controller, const std::string& path,
                               const std::string& body);

  Stage& stage_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Server>> orders_;  // one for each controller
  std::uint64_t ride_ = 1, tally_ = 0, token_ = 0;
  Time answered_at_ = Clock::now();
  std::map<Key, std::vector<Attempt>> tasks_;
  std::map<std::string, Time> images_;  // when each is there
  bool changed_ = false;
  std::thread thread_, life_;
  std::mt19937_64 random_;
};

class Stage {
 public:
  explicit Stage(const Options& options)
      : options(options), record(options.record), ledger(record, options.cancel_s),
        random(options.seed) {
    ledger.teams = options.teams;
    StateServiceLimits limits;
    limits.requests_per_second = options.rps;
    limits.writes_per_second = options.write_rps;
    limits.value_bytes = static_cast<std::size_t>(options.value_kb * 1024);
    limits.transaction_writes = static_cast<std::size_t>(options.txn_ops);
    const std::size_t n = options.controllers;
    state = std::make_unique<StateServiceStandIn>(n, limits, options.seed);
    cloud_ = std::make_unique<Server>([this](const std::string& method, const std::string& path,
                                             const std::string& body) {
      return cloud(method, path, body);
    });
    for (std::size_t i = 0; i < n; ++i) {
      processes_.emplace_back();
      Process& process = processes_.back();
      process.port = free_port();
      process.peer_port = free_port();
      state_links.push_back(
          std::make_unique<Link>([this, i] { return state->port(i); }));
      cloud_links.push_back(std::make_unique<Link>([this] { return cloud_->port(); }));
    }
    peer_links.resize(n);
    for (std::size_t i = 0; i < n; ++i) {
      for (std::size_t j = 0; j < n; ++j) {
        peer_links[i].push_back(i == j ? nullptr : std::make_unique<Link>([this, j] {
          return processes_[j].peer_port;
        }));
      }
    }
  }
  ~Stage() {
    kill_all();
    {
      const std::lock_guard lock(workers_mutex);
      for (auto& [id, worker] : workers) worker->end();
    }
    cloud_->stop();
    peer_links.clear();
    state_links.clear();
    cloud_links.clear();
  }

  std::string member(std::size_t i) const { return "stall-" + std::to_string(i); }
  int port(std::size_t i) const { return processes_[i].port; }
  std::size_t member_number(const std::string& name) const {
    for (std::size_t i = 0; i < processes_.size(); ++i)
      if (member(i) == name) return i;
    return processes_.size();
  }

  void start(std::size_t i) {
    const std::lock_guard lock(process_mutex_);
    Process& process = processes_[i];
    if (process.pid != 0) return;
    Json siblings = Json::array();
    for (std::size_t j = 0; j < processes_.size(); ++j) {
      if (j == i) continue;
      siblings.push_back({{"member", member(j)},
                          {"area", options.controller_zones[j]},
                          {"address", "127.0.0.1:" + std::to_string(peer_links[i][j]->port())}});
    }
    Json teams = Json::array();
    for (const auto& [name, team] : options.teams)
      teams.push_back({{"name", name}, {"cpus", team.guaranteed}, {"cpus_max", team.max},
                       {"gpus", 0}, {"gpus_max", 0}});
    const Json settings = {
        {"member", member(i)},
        {"area", options.controller_zones[i]},
        {"serve_on", "127.0.0.1:" + std::to_string(process.port)},
        {"peer_listen", "127.0.0.1:" + std::to_string(process.peer_port)},
        {"siblings", siblings},
        {"endpoints",
         {{"cloud", "127.0.0.1:" + std::to_string(cloud_links[i]->port())},
          {"state", "127.0.0.1:" + std::to_string(state_links[i]->port())}}},
        {"settings",
         {{"size", processes_.size()},
          {"zones", options.zones},
          {"teams", teams},
          {"objectives", options.objectives},
          {"workers",
           {{"report_s", options.report_s}, {"lease_s", options.lease_s}, {"gang_wait_s", 45.0},
            {"gang_peer_s", 4.0}, {"cancel_s", options.cancel_s}}},
          {"state",
           {{"rps", options.rps}, {"write_rps", options.write_rps},
            {"value_kb", options.value_kb}, {"txn_ops", options.txn_ops}}},
          {"cloud", {{"rps", 5.0}, {"list_lag_s", 2.0}}},
          {"quota",
           {{"cores", 0.2}, {"mem_mb", options.mem_mb}, {"sockets", options.sockets}}},
          {"skew_ms", 5.0}}}};
    const std::string path = options.folder + "/" + member(i) + ".json";
    std::ofstream(path) << settings.dump(2);
    const std::string yaml = options.folder + "/" + member(i) + ".yaml";
    const auto own = options.operators.find(i);
    std::ofstream(yaml) << "idle_return_s: " << options.idle_return_s << "\n"
                        << (own == options.operators.end() ? "" : own->second);
    const std::string log = options.folder + "/" + member(i) + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no process outlives the test
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(file, 2);
      ::setenv("LOG_LEVEL", options.log_level.c_str(), 1);
      ::setenv("SADDLESLIP_OPERATORS", yaml.c_str(), 1);
      ::execl(options.program.c_str(), options.program.c_str(), "--config", path.c_str(), nullptr);
      ::_exit(127);
    }
    process.pid = pid;
    record.line("controller started: " + member(i));
  }
  void kill(std::size_t i) {
    const std::lock_guard lock(process_mutex_);
    Process& process = processes_[i];
    if (process.pid == 0) return;
    check_ended(i);
    if (process.pid == 0) return;
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = 0;
    record.line("controller killed: " + member(i));
  }
  void kill_all() {
    for (std::size_t i = 0; i < processes_.size(); ++i) kill(i);
  }
  void pause(std::size_t i, bool is_paused) {
    const std::lock_guard lock(process_mutex_);
    if (processes_[i].pid == 0) return;
    ::kill(processes_[i].pid, is_paused ? SIGSTOP : SIGCONT);
    record.line(std::string("controller ") + (is_paused ? "stopped: " : "continued: ") + member(i));
  }
  // Notes processes that ended by themselves.
  void check_processes() {
    const std::lock_guard lock(process_mutex_);
    for (std::size_t i = 0; i < processes_.size(); ++i)
      if (processes_[i].pid != 0) check_ended(i);
  }

  Worker& add_machine(const std::string& zone, bool spot, double up_after_s) {
    char name[32];
    std::snprintf(name, sizeof name, "i-%06d", ++last_machine_);
    auto worker = std::make_unique<Worker>(*this, name, zone, spot, up_after_s);
    Worker& result = *worker;
    workers[name] = std::move(worker);
    return result;
  }

  // Cuts a zone's machines from a controller, both ways.
  void cut_workers(const std::string& zone, std::size_t controller, bool is_cut) {
    const std::lock_guard lock(workers_mutex);
    for (auto& [id, worker] : workers)
      if (zone.empty() || worker->zone == zone) worker->cut[controller] = is_cut;
  }

  // --- Users
  struct Reply {
    int status = 0;
    std::string body;
  };
  Reply call(Client& client, std::size_t controller, const std::string& method,
             const std::string& id, const std::string& suffix, const std::string& body,
             double timeout_s) {
    const Time sent_at = Clock::now();
    const std::string path = "/submissions" + (method == "POST" && suffix.empty() ? "" : "/" + id) + suffix;
    const auto message = client.call(port(controller), method, path, body, timeout_s);
    if (!message) {
      if (log_calls)
        record.line(method + " " + path + " at " + member(controller) + ": no answer");
      return {};
    }
    if (log_calls)
      record.line(method + " " + path + " " + id + " at " + member(controller) + ": " +
                  std::to_string(message->status()) + " " + message->body);
    ledger.reply(id, message->status(), message->body, sent_at);
    return {message->status(), message->body};
  }
  Reply submit(Client& client, std::size_t controller, const JobSpec& job) {
    if (!ledger.job(job.id)) ledger.submit(job);
    return call(client, controller, "POST", job.id, "", job.body(), 5);
  }
  Reply ask(Client& client, std::size_t controller, const std::string& id) {
    return call(client, controller, "GET", id, "", "", 2);
  }
  Reply cancel(Client& client, std::size_t controller, const std::string& id) {
    ledger.asked_to_cancel(id);
    return call(client, controller, "POST", id, "/withdraw", "{}", 5);
  }
  bool wait_ready(double within_s) {
    const Time until = later(Clock::now(), within_s);
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      for (;;) {
        Client client;
        const auto reply = client.call(port(i), "GET", "/ready", "", 1);
        if (reply && reply->status() == 200) break;
        if (Clock::now() > until) return false;
        sleep_s(0.1);
      }
    }
    return true;
  }

  std::optional<Answer> cloud(const std::string& method, const std::string& path,
                              const std::string& body) {
    if (cloud_out) return Answer{503, R"({"error":"trouble"})"};
    if (path.starts_with("/catalog")) {
      const Json breed = {{"sku", options.breed}, {"cores", options.machine_cores}, {"gpus", 0},
                          {"memory_gb", 64}, {"cache_gb", 50}, {"fetch_gb_per_s", options.fetch_gb_per_s},
                          {"price", 0.42}, {"market_price", 0.18}, {"ready_s", options.ready_s},
                          {"paddocks", options.zones}};
      return Answer{200, Json{{"breeds", {breed}}}.dump()};
    }
    const std::lock_guard lock(workers_mutex);
    if (method == "POST" && path == "/rentals/release") {
      const Json json = Json::parse(body);
      for (const auto& name : json.at("mounts")) {
        const auto found = workers.find(name.get<std::string>());
        if (found == workers.end() || found->second->gone) continue;
        found->second->end();
        record.line("cloud: released " + found->first);
      }
      return Answer{200, "{}"};
    }
    if (method == "POST") {
      const Json json = Json::parse(body);
      const std::string hire = json.at("hire");
      if (!rentals_.contains(hire)) {
        std::size_t up = 0;
        for (const auto& [id, worker] : workers) up += worker->gone ? 0 : 1;
        Json names = Json::array();
        for (std::size_t i = 0; i < json.at("how_many").get<std::size_t>() && up < options.max_machines;
             ++i, ++up)
          names.push_back(add_machine(json.at("paddock"), json.at("strays"), options.boot_s).id);
        if (names.empty()) return Answer{503, R"({"error":"no capacity"})"};
        rentals_[hire] = names;
        record.line("cloud: rented " + names.dump());
      }
      return Answer{200, Json{{"mounts", rentals_[hire]}}.dump()};
    }
    std::string after;
    if (const auto at = path.find("after="); at != std::string::npos)
      after = path.substr(at + 6, path.find('&', at) - at - 6);
    Json mounts = Json::array();
    for (const auto& [id, worker] : workers) {
      if (worker->gone || id <= after) continue;
      mounts.push_back({{"name_id", id}, {"endpoint", worker->endpoint()}, {"breed", options.breed},
                        {"paddock", worker->zone}, {"strays", worker->spot},
                        {"status", worker->status()}, {"held_s", since(worker->rented_at)}});
    }
    return Answer{200, Json{{"mounts", mounts}, {"more", false}}.dump()};
  }

  const Options options;
  Record record;
  Ledger ledger;
  std::mt19937_64 random;
  std::unique_ptr<StateServiceStandIn> state;
  std::vector<std::unique_ptr<Link>> state_links, cloud_links;
  std::vector<std::vector<std::unique_ptr<Link>>> peer_links;  // [from][to]
  std::mutex workers_mutex;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::atomic<bool> cloud_out{false}, log_calls{true};

 private:
  struct Process {
    pid_t pid = 0;
    int port = 0, peer_port = 0;
  };
  // Ports below the range of outgoing connections, so that a restarted process finds its own free.
  int free_port() {
    static int next = 12000 + static_cast<int>(::getpid() * 37 % 18000);
    for (;;) {
      const int port = 12000 + (++next - 12000) % 20000;
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = loopback(port);
      const bool is_free =
          ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
      ::close(socket);
      if (is_free) return port;
    }
  }
  void check_ended(std::size_t i) {
    int status = 0;
    if (::waitpid(processes_[i].pid, &status, WNOHANG) != processes_[i].pid) return;
    processes_[i].pid = 0;
    ledger.note_broken("ended by itself", member(i) + ", wait status " + std::to_string(status));
  }

  std::unique_ptr<Server> cloud_;
  std::vector<Process> processes_;
  std::mutex process_mutex_;
  std::map<std::string, Json> rentals_;
  int last_machine_ = 0;
};

inline Worker::Worker(Stage& stage, std::string name, std::string where, bool is_spot,
                      double up_after_s)
    : id(std::move(name)), zone(std::move(where)), spot(is_spot),
      cut(stage.options.controllers), stage_(stage),
      random_(stage.options.seed * 7919 + std::hash<std::string>{}(id)) {
  for (std::size_t i = 0; i < stage.options.controllers; ++i) {
    orders_.push_back(std::make_unique<Server>(
        [this, i](const std::string&, const std::string& path, const std::string& body) {
          return orders(i, path, body);
        }));
  }
  thread_ = std::thread([this, up_after_s] { run(up_after_s); });
  life_ = std::thread([this] { live(); });
}

inline void Worker::end() {
  if (gone.exchange(true)) {
    if (thread_.joinable() && thread_.get_id() != std::this_thread::get_id()) thread_.join();
    if (life_.joinable()) life_.join();
    return;
  }
  const std::lock_guard lock(mutex_);
  for (auto& [task, attempts] : tasks_)
    for (Attempt& attempt : attempts)
      if (attempt.state != "ended") finish(task, attempt, "machine gone");
  tasks_.clear();
}

inline void Worker::live() {
  while (!gone) {
    sleep_s(0.01);
    const std::lock_guard lock(mutex_);
    if (gone) return;
    const Time now = Clock::now();
    if (!is_up) {
      answered_at_ = now;
      continue;
    }
    if (now > later(answered_at_, stage_.options.lease_s)) {
      // A hanging machine does this when it goes on; its tasks don't run meanwhile.
      for (auto& [task, attempts] : tasks_)
        for (Attempt& attempt : attempts)
          if (attempt.state != "ended") finish(task, attempt, "lease expired");
      tasks_.clear();
      ++ride_;
      answered_at_ = now;
      changed_ = true;
      stage_.record.line("worker " + id + ": lease expired, session " + std::to_string(ride_));
      continue;
    }
    if (hung) continue;
    for (auto& [task, attempts] : tasks_) {
      for (Attempt& attempt : attempts) {
        if (attempt.state == "pulling" && now >= attempt.image_at) {
          attempt.state = "running";
          const auto job = stage_.ledger.job(task.first);
          attempt.ends_at = job->kind == "array" ? later(now, job->run_s) : Time::max();
          stage_.ledger.started(id, zone, spot, task.first, task.second);
          changed_ = true;
        } else if (attempt.state == "running" && now >= attempt.ends_at) {
          finish(task, attempt, "done");
          changed_ = true;
        } else if (attempt.state == "saving" && now >= attempt.saved_at) {
          finish(task, attempt, "halted");
          changed_ = true;
        }
      }
    }
  }
}

inline void Worker::finish(const Key& task, Attempt& attempt, const std::string& cause) {
  if (attempt.state == "running" || attempt.state == "saving")
    stage_.ledger.ended(id, task.first, task.second, cause == "done", cause);
  attempt.state = "ended";
  attempt.cause = cause == "done" ? "done" : "halted";
}

inline std::string Worker::report(std::size_t controller) {
  Json strides = Json::array();
  for (const auto& [task, attempts] : tasks_)
    for (const Attempt& attempt : attempts) {
      Json entry = {{"stride", task.first + "/" + std::to_string(task.second)},
                    {"remount", attempt.number}, {"status", attempt.state}};
      if (attempt.state == "ended") entry["cause"] = attempt.cause;
      strides.push_back(entry);
    }
  return Json{{"mount", id}, {"endpoint", "127.0.0.1:" + std::to_string(orders_[controller]->port())},
              {"breed", stage_.options.breed}, {"paddock", zone}, {"strays", spot}, {"ride", ride_},
              {"tally", ++tally_}, {"reins", token_}, {"recall_s", nullptr}, {"strides", strides}}
      .dump();
}

inline void Worker::execute(const Json& calls) {
  const Time now = Clock::now();
  for (const Json& call : calls) {
    const std::string name = call.at("stride"), what = call.at("call");
    const auto slash = name.rfind('/');
    const Key task{name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
    const auto number = call.at("remount").get<std::uint64_t>();
    auto& attempts = tasks_[task];
    const auto at = std::find_if(attempts.begin(), attempts.end(),
                                 [&](const Attempt& a) { return a.number == number; });
    if (what == "run" && at == attempts.end()) {
      Attempt attempt;
      attempt.number = number;
      const auto job = stage_.ledger.job(task.first);
      double used = 0;
      bool busy = false;
      for (const auto& [other, list] : tasks_)
        for (const Attempt& a : list)
          if (a.state != "ended") {
            used += stage_.ledger.job(other.first)->cores;
            busy = busy || other == task;
          }
      attempt.cause = !job ? "unknown"
                      : busy ? "busy"
                      : used + job->cores > stage_.options.machine_cores + 1e-6 ? "no_room" : "none";
      if (attempt.cause != "none") attempt.state = "ended";
      if (job) {
        // An image is fetched once for all tasks that need it.
        const auto [at_once, is_first] = images_.try_emplace(
            job->image, later(now, job->image_gb / stage_.options.fetch_gb_per_s));
        attempt.image_at = at_once->second;
      }
      attempts.push_back(attempt);
      changed_ = true;
    } else if (what == "kill" && at != attempts.end() && at->state != "ended") {
      const auto job = stage_.ledger.job(task.first);
      const double grace = call.value("dismount_s", 0.0);
      if (at->state == "running" && job->checkpoint_s > 0 && grace >= job->save_s && job->save_s > 0) {
        at->state = "saving";
        at->saved_at = later(now, job->save_s);
      } else if (at->state != "saving" || grace == 0) {
        finish(task, *at, "halted");
      }
      changed_ = true;
    } else if (what == "forget" && at != attempts.end() && at->state == "ended") {
      attempts.erase(at);
    }
    if (attempts.empty()) tasks_.erase(task);
  }
}

inline std::optional<Answer> Worker::orders(std::size_t controller, const std::string& path,
                                            const std::string& body) {
  while ((hung || cut[controller]) && !gone) sleep_s(0.01);
  if (gone || deaf || !is_up) return {};
  const Json json = Json::parse(body, nullptr, false);
  if (path == "/orders" && (!json.is_object() || !json.contains("reins") || !json.contains("ride")))
    return Answer{400, "{}"};
  bool late = false;
  double wait_s = 0;
  {
    const std::lock_guard lock(mutex_);
    late = std::uniform_real_distribution<>(0, 1)(random_) < late_order_share;
    wait_s = std::uniform_real_distribution<>(2, 16)(random_);
  }
  if (late) {
    const Time until = later(Clock::now(), wait_s);
    while (Clock::now() < until && !gone) sleep_s(0.02);
    if (gone) return {};
  }
  const std::lock_guard lock(mutex_);
  int status = 200;
  if (path == "/orders") {
    const auto token = json["reins"].get<std::uint64_t>();
    if (token < token_ || json["ride"].get<std::uint64_t>() != ride_) {
      status = 409;
    } else {
      token_ = token;
      execute(json.at("calls"));
    }
  }
  if (late) return {};
  return Answer{status, report(controller)};
}

inline void Worker::run(double up_after_s) {
  const Time up_at = later(Clock::now(), up_after_s);
  while (Clock::now() < up_at && !gone) sleep_s(0.02);
  {
    const std::lock_guard lock(mutex_);
    answered_at_ = Clock::now();
    is_up = true;
  }
  Client client;
  const std::size_t count = stage_.options.controllers;
  std::size_t controller = random_() % count;
  Time next_at = Clock::now(), sent_at{};
  struct Late {
    Time at;
    std::string body;
  };
  std::vector<Late> late;
  while (!gone) {
    sleep_s(0.01);
    for (auto copy = late.begin(); copy != late.end();) {
      if (Clock::now() < copy->at) {
        ++copy;
        continue;
      }
      for (std::size_t i = 0; i < count; ++i) {
        Client other;
        other.call(stage_.port(i), "POST", "/hello", copy->body, 0.5);
      }
      copy = late.erase(copy);
    }
    if (hung || mute) continue;
    std::string body;
    std::uint64_t ride = 0;
    {
      const std::lock_guard lock(mutex_);
      const bool due = Clock::now() >= next_at || (changed_ && since(sent_at) >= 0.5);
      if (!due) continue;
      changed_ = false;
      sent_at = Clock::now();
      body = report(controller);
      ride = ride_;
      if (std::uniform_real_distribution<>(0, 1)(random_) < late_report_share)
        late.push_back({later(sent_at, std::uniform_real_distribution<>(2, stage_.options.lease_s * 1.5)(random_)), body});
    }
    const double jitter = std::uniform_real_distribution<>(0.75, 1.25)(random_);
    const auto try_next = [&](double delay_s) {
      client.close();
      controller = (controller + 1) % count;
      next_at = later(Clock::now(), delay_s);
      // A change does not shorten the pause before the next controller is tried.
      const Time until = next_at;
      while (Clock::now() < until && !gone) sleep_s(0.01);
    };
    std::optional<Message> message;
    if (cut[controller]) {
      const Time until = later(sent_at, 4);
      while (Clock::now() < until && !gone) sleep_s(0.01);
    } else {
      message = client.call(stage_.port(controller), "POST", "/hello", body, 4);
      if (deaf || cut[controller]) {
        const Time until = later(sent_at, 4);
        while (Clock::now() < until && !gone) sleep_s(0.01);
        message.reset();
      }
    }
    while (hung && !gone) sleep_s(0.01);
    if (message && since(sent_at) > 4) message.reset();
    next_at = later(sent_at, stage_.options.report_s * jitter);
    if (!message) {
      try_next(1);
      continue;
    }
    if (message->status() == 421) {
      const std::string boss = Json::parse(message->body, nullptr, false).value("trailboss", "");
      const std::size_t owner = stage_.member_number(boss);
      if (owner == count || owner == controller) {
        try_next(1);
      } else {
        client.close();
        controller = owner;
        next_at = later(Clock::now(), 0.1);
      }
      continue;
    }
    if (message->status() != 200) {
      try_next(1);
      continue;
    }
    const Json answer = Json::parse(message->body, nullptr, false);
    const std::lock_guard lock(mutex_);
    if (gone || !answer.is_object() || ride != ride_) continue;
    const auto token = answer.value("reins", std::uint64_t{0});
    if (token < token_) continue;
    token_ = token;
    answered_at_ = std::max(answered_at_, sent_at);
    execute(answer.at("calls"));
  }
  client.close();
}

}  // namespace stage
