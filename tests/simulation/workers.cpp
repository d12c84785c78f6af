// The stand-ins for the machines and their workers.
#include <algorithm>

#include "simulation/simulated_cluster.h"
#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

namespace {

constexpr double kPull = 0.5;      // seconds to fetch an image
constexpr double kNoResponse = 4;  // a worker waits so long where nothing refuses its connection

}  // namespace

SimulatedCluster::Worker& SimulatedCluster::add_worker(const std::string& id,
                                                       const std::string& type,
                                                       const std::string& zone, bool spot,
                                                       double boots) {
  Worker w;
  w.id = id;
  w.type = type;
  w.zone = zone;
  w.spot = spot;
  w.boots = boots;
  w.last_answered_at = boots;
  w.next_heartbeat = boots;
  return workers_[id] = w;
}

protocol::Heartbeat SimulatedCluster::heartbeat_of(Worker& w) {
  Json tasks = Json::array();
  for (const auto& [id, attempts] : w.tasks) {
    for (const Task& t : attempts) {
      tasks.push_back({{"stride", id.job.get() + "/" + std::to_string(id.no)},
                       {"remount", t.attempt},
                       {"status", t.state},
                       {"cause", t.cause}});
    }
  }
  Json j = {{"mount", w.id},         {"endpoint", w.id + ":1"},  {"breed", w.type},
            {"paddock", w.zone},     {"strays", w.spot},         {"ride", w.agent_incarnation},
            {"tally", ++w.sequence}, {"reins", w.fencing_token}, {"strides", tasks}};
  if (w.taken_at) j["recall_s"] = *w.taken_at - clock_.seconds();
  auto r = protocol::parse_heartbeat(j.dump());
  if (!r) failures_.add("the stand-in's report can't be parsed");
  return *r;
}

void SimulatedCluster::execute(Worker& w, const std::vector<Command>& commands) {
  for (const Command& c : commands) {
    auto& attempts = w.tasks[c.task];
    const auto at = std::find_if(attempts.begin(), attempts.end(),
                                 [&](const Task& t) { return t.attempt == c.attempt.get(); });
    if (c.op == Command::Op::kRun) {
      if (at != attempts.end()) continue;
      Task t{c.attempt.get(), "pulling", "", clock_.seconds() + kPull, 0};
      const auto job = jobs_.find(c.task.job);
      double used = 0;
      for (const auto& [id, all] : w.tasks) {
        const auto other = jobs_.find(id.job);
        for (const Task& a : all) {
          if (is_active(a.state) && other != jobs_.end())
            used += other->second.spec.request.cores();
        }
      }
      if (std::any_of(attempts.begin(), attempts.end(),
                      [](const Task& a) { return is_active(a.state); })) {
        t.state = "ended";
        t.cause = "busy";
      } else if (job == jobs_.end()) {
        t.state = "ended";
        t.cause = "unknown";
      } else if (used + job->second.spec.request.cores() > cores_of(w.type) + 1e-6) {
        t.state = "ended";
        t.cause = "no_room";
      }
      attempts.push_back(t);
    } else if (at != attempts.end()) {
      if (c.op == Command::Op::kForget) {
        if (at->state == "ended") attempts.erase(at);
      } else if (is_active(at->state)) {
        at->state = "ended";
        at->cause = "halted";
      }
    }
    if (attempts.empty()) w.tasks.erase(c.task);
  }
}

void SimulatedCluster::end_agent_incarnation(Worker& w) {
  w.tasks.clear();
  ++w.agent_incarnation;
  w.last_answered_at = clock_.seconds();
}

void SimulatedCluster::heartbeat(Worker& w) {
  w.next_heartbeat = clock_.seconds() + heartbeat_s_;
  const std::size_t n = w.node;
  const auto next = [&] {
    w.node = (w.node + 1) % nodes_.size();
    w.next_heartbeat = clock_.seconds() + 1.0;
  };
  if (!nodes_[n].up || !nodes_[n].loaded) return next();
  if (w.mute || network_.is_cut(controller_name(n), "workers") ||
      network_.is_cut(controller_name(n), w.id) || network_.is_cut(controller_name(n), w.zone) ||
      clock_.seconds() < nodes_[n].frozen_until) {
    next();
    if (network_.cuts_are_silent()) w.next_heartbeat += kNoResponse;
    return;
  }
  const auto heartbeat = heartbeat_of(w);
  if (w.copies_after >= 0)
    late_heartbeats_.push_back({clock_.seconds() + w.copies_after, heartbeat});
  const auto reply = nodes_[n].controller->handle_heartbeat(heartbeat, clock_.now());
  trace_.write(clock_.seconds(), "report", w.id, controller_name(n), reply.status, reply.body);
  nodes_[n].round_due = true;
  if (w.deaf) {
    next();
    w.next_heartbeat += kNoResponse;
    return;
  }
  const Json body = Json::parse(reply.body, nullptr, false);
  if (reply.status == 421 && body.contains("trailboss")) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (controller_name(i) != body["trailboss"] || i == n) continue;
      w.node = i;
      w.next_heartbeat = clock_.seconds() + 0.1;
      return;
    }
  }
  if (reply.status != 200) return next();
  const auto fencing_token = body["reins"].get<std::uint64_t>();
  if (fencing_token < w.fencing_token) return;
  w.fencing_token = fencing_token;
  w.last_answered_at = clock_.seconds();
  std::vector<Command> commands;
  for (const Json& c : body["calls"]) {
    const std::string stride = c["stride"];
    const auto slash = stride.rfind('/');
    Command cmd;
    cmd.op = c["call"] == "run"    ? Command::Op::kRun
             : c["call"] == "kill" ? Command::Op::kKill
                                   : Command::Op::kForget;
    cmd.task = {JobId(stride.substr(0, slash)),
                static_cast<TaskNo>(std::stoul(stride.substr(slash + 1)))};
    cmd.attempt = base::Attempt(c["remount"].get<std::uint64_t>());
    if (cmd.op == Command::Op::kRun) check_command(n, cmd.task);
    commands.push_back(cmd);
  }
  execute(w, commands);
  if (!commands.empty()) w.next_heartbeat = std::min(w.next_heartbeat, clock_.seconds() + 0.5);
}

void SimulatedCluster::deliver(const coordination::CommandBatch& order, std::size_t from) {
  const auto at = workers_.find(order.machine.get());
  if (at == workers_.end() || !at->second.alive || at->second.hung ||
      clock_.seconds() < at->second.boots)
    return;
  Worker& w = at->second;
  if (w.deaf) return;
  if (order.fencing_token.get() >= w.fencing_token &&
      order.agent_incarnation.get() == w.agent_incarnation) {
    w.fencing_token = order.fencing_token.get();
    execute(w, order.commands);
  }
  const auto heartbeat = heartbeat_of(w);
  if (nodes_[from].up)
    nodes_[from].controller->handle_command_reply(order.machine, heartbeat, clock_.now());
}

void SimulatedCluster::step_workers() {
  for (auto& [id, w] : workers_) {
    if (!w.alive || clock_.seconds() < w.boots) continue;
    if (w.taken_at && clock_.seconds() >= *w.taken_at) {
      w.alive = false;
      w.tasks.clear();
      continue;
    }
    // A hung machine may go on at any time within its lease, not after it.
    if (clock_.seconds() - w.last_answered_at > lease_s_) end_agent_incarnation(w);
    if (w.hung) continue;
    bool changed = false;
    for (auto& [task, attempts] : w.tasks) {
      for (Task& a : attempts) {
        const auto job = jobs_.find(task.job);
        if (a.state == "pulling" && clock_.seconds() >= a.ready) {
          // On its machine from here on.
          check_start(w, task);
          if (!job->second.began) {
            job->second.began = clock_.seconds();
            job->second.waited =
                clock_.seconds() -
                std::max(job->second.ready_since.value_or(clock_.seconds()), troubles_over_);
          }
          a.state = "running";
          a.ends = clock_.seconds() + job->second.fails_after.value_or(job->second.run);
          if (w.sick) {
            a.state = "ended";
            a.cause = "error";
          }
          changed = true;
        } else if (a.state == "running" && clock_.seconds() >= a.ends &&
                   job->second.spec.kind != protocol::Kind::kService) {
          const bool failed = job->second.fails_after.has_value();
          a.state = "ended";
          a.cause = failed ? "error" : "done";
          if (!failed) job->second.done.insert(task.no);
          changed = true;
        }
      }
    }
    if (changed) w.next_heartbeat = std::min(w.next_heartbeat, clock_.seconds() + 0.2);
    if (clock_.seconds() >= w.next_heartbeat) heartbeat(w);
  }
}

}  // namespace saddleslip::testing
