#include "loopback/agent.h"

#include <algorithm>

namespace saddleslip::testing {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kImagePullTime{300};
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMalformed = 400;

}  // namespace

Agent::Agent(std::string id, std::string zone, ClusterLedger& ledger, Time now)
    : id_(std::move(id)), zone_(std::move(zone)), ledger_(ledger), last_answered_at_(now) {}

bool Agent::expire_lease(Time now, std::chrono::duration<double> lease) {
  if (now - last_answered_at_ <= lease) return false;
  end_all_tasks();
  ++incarnation_;
  last_answered_at_ = now;
  return true;
}

bool Agent::advance(Time now) {
  bool has_changed = false;
  for (auto& [task, attempts] : tasks_) {
    for (Attempt& attempt : attempts) has_changed |= advance_attempt(task, attempt, now);
  }
  return has_changed;
}

bool Agent::advance_attempt(const TaskKey& task, Attempt& attempt, Time now) {
  if (attempt.state == "pulling" && now >= attempt.image_ready_at) {
    attempt.state = "running";
    const auto job = ledger_.job(task.first);
    attempt.ends_at = job->is_service
                          ? Time::max()
                          : now + std::chrono::milliseconds(static_cast<long>(job->run_s * 1000));
    ledger_.record_start(id_, task.first, task.second);
    return true;
  }
  if (!attempt.is_running() || now < attempt.ends_at) return false;
  end(task, attempt, "done");
  return true;
}

std::string Agent::heartbeat(const std::string& address) {
  Json tasks = Json::array();
  for (const auto& [task, attempts] : tasks_) {
    for (const Attempt& attempt : attempts) {
      tasks.push_back({{"stride", task.first + "/" + std::to_string(task.second)},
                       {"remount", attempt.number},
                       {"status", attempt.state},
                       {"cause", attempt.cause}});
    }
  }
  return Json{{"mount", id_},          {"endpoint", address},
              {"breed", kMachineType}, {"paddock", zone_},
              {"strays", false},       {"ride", incarnation_},
              {"tally", ++sequence_},  {"reins", token_},
              {"recall_s", nullptr},   {"strides", std::move(tasks)}}
      .dump();
}

bool Agent::handle_response(const Json& response, Time sent_at, Time now) {
  const std::uint64_t token = response.value("reins", std::uint64_t{0});
  if (token < token_) return false;
  token_ = token;
  last_answered_at_ = std::max(last_answered_at_, sent_at);
  execute(response.at("calls"), now);
  return true;
}

int Agent::handle_orders(const Json& orders, Time now) {
  if (!orders.is_object() || !orders.contains("reins") || !orders.contains("ride"))
    return kMalformed;
  const auto token = orders["reins"].get<std::uint64_t>();
  if (token < token_ || orders["ride"].get<std::uint64_t>() != incarnation_) return kConflict;
  token_ = token;
  execute(orders.at("calls"), now);
  return kOk;
}

void Agent::execute(const Json& commands, Time now) {
  for (const Json& command : commands) {
    const std::string name = command.at("stride");
    const auto slash = name.rfind('/');
    const TaskKey task{name.substr(0, slash),
                       static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
    const auto number = command.at("remount").get<std::uint64_t>();
    const std::string operation = command.at("call");
    if (operation == "run") {
      run(task, number, now);
      continue;
    }
    const auto found = tasks_.find(task);
    if (found == tasks_.end()) continue;
    auto& attempts = found->second;
    const auto attempt = std::find_if(attempts.begin(), attempts.end(),
                                      [&](const Attempt& a) { return a.number == number; });
    if (attempt == attempts.end()) continue;
    if (operation == "kill" && attempt->is_active()) end(task, *attempt, "halted");
    if (operation == "forget" && !attempt->is_active()) attempts.erase(attempt);
    if (attempts.empty()) tasks_.erase(found);
  }
}

void Agent::run(const TaskKey& task, std::uint64_t number, Time now) {
  auto& attempts = tasks_[task];
  const bool is_known = std::any_of(attempts.begin(), attempts.end(),
                                    [&](const Attempt& a) { return a.number == number; });
  if (is_known) return;
  const bool is_busy =
      std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.is_active(); });
  const auto job = ledger_.job(task.first);
  Attempt attempt;
  attempt.number = number;
  attempt.image_ready_at = now + kImagePullTime;
  attempt.cores = job ? job->cores : 0;
  std::string refusal;
  if (!job) refusal = "unknown";
  if (job && cores_in_use() + job->cores > kMachineCores) refusal = "no_room";
  if (is_busy) refusal = "busy";
  if (!refusal.empty()) {
    attempt.state = "ended";
    attempt.cause = refusal;
  }
  attempts.push_back(attempt);
}

void Agent::end(const TaskKey& task, Attempt& attempt, const std::string& cause) {
  if (attempt.is_running()) ledger_.record_end(id_, task.first, task.second, cause == "done");
  attempt.state = "ended";
  attempt.cause = cause;
}

void Agent::end_all_tasks() {
  for (auto& [task, attempts] : tasks_) {
    for (Attempt& attempt : attempts) {
      if (attempt.is_active()) end(task, attempt, "halted");
    }
  }
  tasks_.clear();
}

double Agent::cores_in_use() const {
  double cores = 0;
  for (const auto& [task, attempts] : tasks_) {
    for (const Attempt& attempt : attempts) {
      if (attempt.is_active()) cores += attempt.cores;
    }
  }
  return cores;
}

}  // namespace saddleslip::testing
