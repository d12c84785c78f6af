// The scenario language: what each command does. world.h lists them.
#include <algorithm>
#include <sstream>

#include "simulation/command_line.h"
#include "simulation/simulated_cluster.h"
#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

// What there is before and between troubles.
bool SimulatedCluster::set_up(CommandLine& line) {
  if (line.word() == "workers") {
    heartbeat_s_ = line.number();
    lease_s_ = line.number();
  } else if (line.word() == "team") {
    const std::string team = line.text();
    const std::string least = line.text(), most = line.text();
    teams_ += R"(,{"name":")" + team + R"(","cpus":)" + least + R"(,"cpus_max":)" + most + "}";
  } else if (line.word() == "operators") {
    // A line of the operators' settings.
    const std::string setting = line.rest();
    operators_ += setting.substr(1) + "\n";
  } else if (line.word() == "nodes") {
    nodes_.resize(line.count());
    for (std::size_t n = 0; n < nodes_.size(); ++n) start_node(n);
  } else if (line.word() == "state_limits") {
    limits_ = StateLimits{line.count(), line.count()};
  } else if (line.word() == "next_limits") {
    next_limits_ = StateLimits{line.count(), line.count()};
  } else if (line.word() == "capacity") {
    const std::string type = line.text();
    capacity_[type] = static_cast<int>(line.count());
  } else if (line.word() == "machine") {
    const std::string id = line.text(), type = line.text(), zone = line.text();
    add_worker(id, type, zone, line.text() == "spot", clock_.seconds());
  } else if (line.word() == "machines") {
    // machines <count> <type> <zone>: of a large fleet, numbered on.
    const int count = static_cast<int>(line.count());
    const std::string type = line.text(), zone = line.text();
    for (int i = 0; i < count; ++i) {
      add_worker("f" + std::to_string(1000 + ++fleet_), type, zone, false, clock_.seconds());
    }
  } else {
    return false;
  }
  return true;
}

bool SimulatedCluster::trouble_controllers(CommandLine& line) {
  if (line.word() == "upgrade") {
    const std::size_t n = line.node();
    nodes_[n].upgraded = true;
    nodes_[n].up = false;
    nodes_[n].back_at = clock_.seconds() + line.number();
  } else if (line.word() == "freeze") {
    // A controller stands still, its clocks run on; then it goes on where it was.
    const std::size_t n = line.node();
    nodes_[n].frozen_until = clock_.seconds() + line.number();
  } else if (line.word() == "crash") {
    const std::size_t n = line.node();
    nodes_[n].up = false;
    const std::string back = line.text();
    nodes_[n].back_at = back.empty() ? -1 : clock_.seconds() + std::stod(back);
  } else if (line.word() == "cut" || line.word() == "mend") {
    const std::string a = line.text(), b = line.text();
    if (line.word() == "cut") {
      network_.cut(a, b);
    } else {
      network_.mend(a, b);
    }
  } else if (line.word() == "state") {
    state_.set_down(line.text() == "down");
  } else if (line.word() == "boots") {
    const std::string after = line.text();
    boots_after_ = after == "never" ? 1e9 : std::stod(after);
  } else if (line.word() == "spot") {
    spot_offered_ = line.text() == "on";
  } else if (line.word() == "silent_cuts") {
    network_.set_silent_cuts(line.text() == "on");
  } else if (line.word() == "cloud") {
    cloud_down_ = line.text() == "down";
  } else if (line.word() == "lose_commit") {
    state_.lose_next_answer(line.node());
  } else if (line.word() == "slow_load") {
    const std::size_t n = line.node();
    nodes_[n].load_takes = line.number();
  } else if (line.word() == "late_commit") {
    const std::size_t n = line.node();
    state_.delay_next_commit(n, line.number());
  } else if (line.word() == "watch_lag") {
    const std::size_t n = line.node();
    watch_lag_[n] = line.number();
  } else if (line.word() == "put") {
    const std::string key = line.text();
    state_.put(key, Json::parse(line.rest()));
  } else if (line.word() == "unasked") {
    unasked_.insert(line.node());
  } else {
    return false;
  }
  return true;
}

bool SimulatedCluster::trouble_machines(CommandLine& line) {
  if (line.word() == "some") {
    // some <every> <what>: die, hang or wake each so-manieth machine of the large fleet.
    const int every = static_cast<int>(line.count());
    const std::string what = line.text();
    int i = 0;
    for (auto& [id, w] : workers_) {
      if (id[0] != 'f' || ++i % every != 0) continue;
      if (what == "die") {
        w.alive = false;
        w.tasks.clear();
      } else {
        w.hung = what == "hang";
      }
    }
  } else if (line.word() == "die") {
    Worker& w = workers_.at(line.text());
    w.alive = false;
    w.tasks.clear();
  } else if (line.word() == "deaf" || line.word() == "hears") {
    workers_.at(line.text()).deaf = line.word() == "deaf";
  } else if (line.word() == "mute" || line.word() == "speaks") {
    workers_.at(line.text()).mute = line.word() == "mute";
  } else if (line.word() == "copies") {
    Worker& w = workers_.at(line.text());
    w.copies_after = line.number();
  } else if (line.word() == "reboot") {
    // Back before it was missed: nothing is on it, and its next session has begun.
    Worker& w = workers_.at(line.text());
    end_agent_incarnation(w);
    w.boots = w.next_heartbeat = w.last_answered_at = clock_.seconds() + line.number();
  } else if (line.word() == "hang") {
    workers_.at(line.text()).hung = true;
  } else if (line.word() == "wake") {
    workers_.at(line.text()).hung = false;
  } else if (line.word() == "sick") {
    workers_.at(line.text()).sick = true;
  } else if (line.word() == "notice") {
    Worker& w = workers_.at(line.text());
    w.taken_at = clock_.seconds() + line.number();
  } else if (line.word() == "hold_orders") {
    hold_orders_until_ = clock_.seconds() + line.number();
  } else if (line.word() == "lose_orders") {
    lose_orders_ = line.text() == "on";
  } else if (line.word() == "repeat_orders") {
    repeat_orders_ = line.text() == "on";
  } else {
    return false;
  }
  return true;
}

void SimulatedCluster::submit_job(CommandLine& line) {
  const std::string id = line.text(), kind = line.text();
  std::map<std::string, std::string> options = line.options();
  const auto option = [&](const char* key, double otherwise) {
    return options.contains(key) ? std::stod(options[key]) : otherwise;
  };
  SimulatedJob job;
  job.spec.id = JobId(id);
  job.spec.job_class = options.contains("class") ? options["class"] : "c";
  job.spec.team = options.contains("team") ? options["team"] : "t";
  job.spec.kind = kind == "service" ? protocol::Kind::kService
                  : kind == "gang"  ? protocol::Kind::kGang
                                    : protocol::Kind::kArray;
  const std::map<std::string, protocol::Rank> ranks = {{"critical", protocol::Rank::kCritical},
                                                       {"urgent", protocol::Rank::kUrgent},
                                                       {"", protocol::Rank::kStandard},
                                                       {"standard", protocol::Rank::kStandard},
                                                       {"idle", protocol::Rank::kIdle}};
  job.spec.rank = ranks.at(options["rank"]);
  job.spec.tasks = static_cast<TaskNo>(option("tasks", 1));
  job.spec.request.v = {option("cores", 1), 0, option("memory", 1)};
  job.spec.image = "img";
  if (options.contains("deadline")) job.spec.deadline = base::Seconds(option("deadline", 0));
  job.spec.estimate = base::Seconds(option("estimate", 0));
  job.spec.spot = options.contains("spot");
  job.spec.one_zone = options.contains("one_zone");
  job.spec.spread = options.contains("spread");
  if (options.contains("zone")) job.spec.zone = options["zone"];
  if (options.contains("type")) job.spec.types = {{options["type"]}};
  job.run = option("run", 10);
  if (options.contains("fails")) job.fails_after = option("fails", 0);
  std::istringstream dependencies(options["follows"]);
  for (std::string need; std::getline(dependencies, need, ',');)
    job.spec.dependencies.emplace_back(need);
  job.submitted = job.known_at = clock_.seconds();
  if (job.spec.dependencies.empty()) job.ready_since = clock_.seconds();
  submit(static_cast<std::size_t>(option("node", 0)), jobs_[job.spec.id] = job);
}

bool SimulatedCluster::use(CommandLine& line) {
  if (line.word() == "submit") {
    submit_job(line);
  } else if (line.word() == "cancel") {
    jobs_.at(JobId(line.text())).cancel_asked = true;
    next_poll_ = 0;
  } else if (line.word() == "repeat") {
    // repeat <times> <every> <command>: # stands for a number of its own.
    const int times = static_cast<int>(line.count());
    const double every = line.number();
    const std::string what = line.rest();
    for (int i = 0; i < times && failures_.empty(); ++i) {
      std::string one = what;
      if (const auto at = one.find('#'); at != std::string::npos) {
        one.replace(at, 1, std::to_string(100000 + ++repeated_));
      }
      command(one);
      command("run " + std::to_string(every));
    }
  } else if (line.word() == "run") {
    const double until = clock_.seconds() + line.number();
    while (clock_.seconds() < until - 1e-9 && failures_.empty()) step();
  } else if (line.word() == "expect") {
    const std::string what = line.text();
    if (!expect_job(what, line) && !expect_fleet(what, line)) {
      failures_.add("unknown expectation: " + what);
    }
  } else {
    return false;
  }
  return true;
}

bool SimulatedCluster::expect_job(const std::string& what, CommandLine& line) {
  if (what == "done" || what == "cancelled") {
    const SimulatedJob& job = jobs_.at(JobId(line.text()));
    if (job.told_final != what)
      failures_.add("expected " + what + ": " + job.spec.id.get() + " is '" + job.told_final + "'");
  } else if (what == "running") {
    const JobId id(line.text());
    const auto want = line.count();
    std::size_t n = 0;
    for (const auto& [m, w] : workers_) {
      for (const auto& [task, attempts] : w.tasks) {
        for (const Task& a : attempts)
          n += w.alive && !w.hung && task.job == id && a.state == "running";
      }
    }
    if (n != want)
      failures_.add("expected " + std::to_string(want) + " running of " + id.get() + ", not " +
                    std::to_string(n));
  } else if (what == "began") {
    // ... within so many seconds of its submission.
    const SimulatedJob& job = jobs_.at(JobId(line.text()));
    const double within = line.number();
    if (!job.began || *job.began - job.submitted > within)
      failures_.add("expected " + job.spec.id.get() + " to have begun within " +
                    std::to_string(within));
  } else if (what == "served") {
    check_served(0);
  } else if (what == "submit") {
    const int status = static_cast<int>(line.count());
    const std::string body = line.rest();
    const auto r = nodes_[0].users->submit(body, clock_.now());
    if (r.status != status)
      failures_.add("expected " + std::to_string(status) + ", not " + std::to_string(r.status) +
                    " " + r.body);
    if (r.status == 503 && r.retry_after_s == 0) failures_.add("a refusal without Retry-After");
  } else {
    return false;
  }
  return true;
}

bool SimulatedCluster::expect_fleet(const std::string& what, CommandLine& line) {
  const auto at_most = [&](const std::string& of, std::size_t n) {
    const std::size_t want = line.count();
    if (n > want)
      failures_.add("expected at most " + std::to_string(want) + " " + of + ", not " +
                    std::to_string(n));
  };
  if (what == "most_views") {
    at_most("views", state_.records().at(protocol::kViewKey).value["epoch"].get<std::size_t>());
  } else if (what == "most_releases") {
    at_most("releases", static_cast<std::size_t>(releases_));
  } else if (what == "gone") {
    const std::string id = line.text();
    if (workers_.contains(id)) failures_.add("expected machine " + id + " to be returned");
  } else if (what == "kept") {
    const std::string id = line.text();
    if (!workers_.contains(id)) failures_.add("expected machine " + id + " to be kept");
  } else if (what == "machines") {
    const auto want = line.count();
    if (workers_.size() != want)
      failures_.add("expected " + std::to_string(want) + " machines, not " +
                    std::to_string(workers_.size()));
  } else if (what == "most_starts_of") {
    const JobId id(line.text());
    at_most("starts of " + id.get(), jobs_.at(id).starts);
  } else if (what == "most_starts") {
    at_most("starts", starts_);
  } else {
    return false;
  }
  return true;
}

void SimulatedCluster::command(const std::string& text) {
  CommandLine line(text);
  const bool known =
      set_up(line) || trouble_controllers(line) || trouble_machines(line) || use(line);
  if (!known) failures_.add("unknown command: " + text);
}

}  // namespace saddleslip::testing
