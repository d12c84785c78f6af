// A worker and a cloud for the cases of the second review, written from PROTOCOL. The project's own
// agent plays machines of 8 cores only.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// What a worker knows of the jobs: users upload their descriptions.
struct JobDescription {
  double cores = 1;
  double run_s = 1;
  bool is_service = false;
};
class JobCatalog {
 public:
  void add(const std::string& id, const JobDescription& job) {
    const std::lock_guard lock(mutex_);
    jobs_[id] = job;
  }
  bool find(const std::string& id, JobDescription& job) const {
    const std::lock_guard lock(mutex_);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return false;
    job = found->second;
    return true;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, JobDescription> jobs_;
};

// The machine type and the timing of the workers.
struct MachineOptions {
  std::string type = "heavy-32";
  std::string zone = "addis-east";
  double cores = 32;
  double memory_gb = 128;
  double price = 1.51, spot_price = 0.42;
  double boot_s = 25;
  double report_s = 1.5;
  double lease_s = 12;
  double image_s = 0.3;  // for the first fetch of an image; later tasks start at once
  std::vector<std::string> members;
  std::vector<int> controller_ports;
  std::function<void(const std::string&)> record;
};

class Worker {
 public:
  // PROTOCOL: "A request body may not exceed 64 KiB."
  static constexpr std::size_t kMaxBodyBytes = 64u << 10;

  Worker(std::string id, const MachineOptions& options, const JobCatalog& jobs)
      : id_(std::move(id)), options_(options), jobs_(jobs), random_(7), random_tasks_(8) {
    server_.Post("/orders", [this](const httplib::Request& request, httplib::Response& response) {
      handle_orders(request.body, response);
    });
    server_.Get("/show", [this](const httplib::Request&, httplib::Response& response) {
      const std::lock_guard lock(mutex_);
      response.set_content(report().dump(), "application/json");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    answered_at_ = Clock::now();
    threads_.emplace_back([this] { server_.listen_after_bind(); });
    threads_.emplace_back([this] { run_tasks(); });
    threads_.emplace_back([this] { run_reports(); });
  }
  ~Worker() {
    is_stopping_ = true;
    server_.stop();
    for (std::thread& thread : threads_) thread.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const std::string& id() const { return id_; }
  int port() const { return port_; }
  // Ends the machine and everything on it, as the cloud does with a returned machine.
  void remove() {
    is_gone_ = true;
    const std::lock_guard lock(mutex_);
    for (auto& [key, task] : tasks_) {
      if (task.status != "ended") end(key, task, "the machine was returned");
    }
    tasks_.clear();
  }
  // The number of running tasks of services that were ended by something else than a command.
  int lost_services() const { return lost_services_; }
  // Whether its report has been longer than a request may be.
  bool had_long_report() const { return had_long_report_; }
  // The number of times that its lease has expired.
  int expirations() const { return expirations_; }
  std::uint64_t starts() const { return starts_; }
  std::size_t ended_tasks() const {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [key, task] : tasks_) count += task.status == "ended" ? 1 : 0;
    return count;
  }
  std::size_t report_bytes() const { return report_bytes_; }

 private:
  using Key = std::pair<std::string, std::uint64_t>;  // task and attempt
  struct Task {
    std::string status, cause;
    double cores = 0;
    bool is_service = false;
    Clock::time_point due{};  // when the image is there, or when the task completes
    double run_s = 0;
  };

  nlohmann::json report() {
    nlohmann::json tasks = nlohmann::json::array();
    for (const auto& [key, task] : tasks_) {
      nlohmann::json entry = {
          {"stride", key.first}, {"remount", key.second}, {"status", task.status}};
      if (task.status == "ended") entry["cause"] = task.cause;
      tasks.push_back(std::move(entry));
    }
    return {{"mount", id_},           {"endpoint", "127.0.0.1:" + std::to_string(port_)},
            {"breed", options_.type}, {"paddock", options_.zone},
            {"strays", false},        {"ride", ride_},
            {"tally", ++tally_},      {"reins", reins_},
            {"recall_s", nullptr},    {"strides", std::move(tasks)}};
  }

  void execute(const nlohmann::json& calls) {
    for (const auto& call : calls) {
      const Key key{call.at("stride"), call.at("remount")};
      const std::string operation = call.at("call");
      const auto found = tasks_.find(key);
      if (operation == "run" && found == tasks_.end()) run(key);
      if (operation == "kill" && found != tasks_.end() && found->second.status != "ended")
        end(key, found->second, "halted");
      if (operation == "forget" && found != tasks_.end() && found->second.status == "ended")
        tasks_.erase(found);
    }
    if (!calls.empty()) has_changed_ = true;
  }

  void run(const Key& key) {
    Task task;
    JobDescription job;
    double used = 0;
    bool is_busy = false;
    for (const auto& [other, state] : tasks_) {
      if (state.status == "ended") continue;
      used += state.cores;
      is_busy = is_busy || other.first == key.first;
    }
    if (!jobs_.find(key.first.substr(0, key.first.find('/')), job)) {
      task.cause = "unknown";
    } else if (is_busy) {
      task.cause = "busy";
    } else if (used + job.cores > options_.cores + 1e-6) {
      task.cause = "no_room";
    }
    task.status = task.cause.empty() ? "pulling" : "ended";
    task.cores = job.cores;
    task.run_s = job.run_s;
    task.is_service = job.is_service;
    const double fetch_s = has_image_ ? 0 : options_.image_s;
    task.due = Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(fetch_s));
    tasks_[key] = task;
  }

  void end(const Key& key, Task& task, const std::string& cause) {
    if (task.is_service && task.status == "running") {
      options_.record(id_ + ": service task " + key.first + " ended: " + cause);
      if (cause != "halted") ++lost_services_;
    }
    task.status = "ended";
    task.cause = cause;
  }

  void run_tasks() {
    while (!is_stopping_ && !is_gone_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      const std::lock_guard lock(mutex_);
      const auto now = Clock::now();
      if (now - answered_at_ > Seconds(options_.lease_s)) expire(now);
      for (auto& [key, task] : tasks_) {
        if (task.status == "pulling" && now >= task.due) {
          has_image_ = true;
          task.status = "running";
          task.due = now + std::chrono::duration_cast<Clock::duration>(
                               Seconds(task.run_s * run_share_(random_tasks_)));
          ++starts_;
          has_changed_ = true;
          if (task.is_service) options_.record(id_ + ": service task " + key.first + " starts");
        } else if (task.status == "running" && !task.is_service && now >= task.due) {
          end(key, task, "done");
          has_changed_ = true;
        }
      }
    }
  }

  void expire(Clock::time_point now) {
    std::size_t running = 0;
    for (const auto& [key, task] : tasks_) running += task.status == "ended" ? 0 : 1;
    options_.record(id_ + ": LEASE EXPIRED, " + std::to_string(running) +
                    " tasks killed; no report was answered for " +
                    std::to_string(options_.lease_s) + " s");
    for (auto& [key, task] : tasks_) {
      if (task.status != "ended") end(key, task, "lease expired");
    }
    tasks_.clear();
    ++ride_;
    ++expirations_;
    answered_at_ = now;
    has_changed_ = true;
  }

  void handle_orders(const std::string& body, httplib::Response& response) {
    const auto orders = nlohmann::json::parse(body, nullptr, false);
    if (is_gone_) {
      response.status = 503;
      return;
    }
    const std::lock_guard lock(mutex_);
    if (!orders.is_object() || !orders.contains("reins") || !orders.contains("ride")) {
      response.status = 400;
      return;
    }
    if (orders["reins"].get<std::uint64_t>() < reins_ ||
        orders["ride"].get<std::uint64_t>() != ride_) {
      response.status = 409;
    } else {
      reins_ = orders["reins"];
      execute(orders.at("calls"));
    }
    response.set_content(report().dump(), "application/json");
  }

  void run_reports() {
    std::size_t controller = 0;
    std::unique_ptr<httplib::Client> client;
    auto next_at = Clock::now();
    while (!is_stopping_ && !is_gone_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      const auto now = Clock::now();
      std::string body;
      std::uint64_t ride = 0;
      {
        const std::lock_guard lock(mutex_);
        const bool is_change_due = has_changed_ && now - sent_at_ >= Seconds(0.5);
        if (now < retry_at_ || (now < next_at && !is_change_due)) continue;
        has_changed_ = false;
        sent_at_ = now;
        ride = ride_;
        body = report().dump();
      }
      const double share = std::uniform_real_distribution<>(0.75, 1.25)(random_);
      next_at =
          now + std::chrono::duration_cast<Clock::duration>(Seconds(options_.report_s * share));
      report_bytes_ = body.size();
      if (body.size() > kMaxBodyBytes) {
        // The report has to list all tasks, and the body may not be longer: it can't be sent.
        if (!was_too_long_)
          options_.record(id_ + ": the report has " + std::to_string(body.size()) + " bytes with " +
                          std::to_string(ended_tasks()) +
                          " ended tasks that no controller has let it forget; it can't be sent");
        was_too_long_ = true;
        had_long_report_ = true;
        if (!std::getenv("SEND_LONG_REPORTS")) continue;
      } else {
        was_too_long_ = false;
      }
      if (!client) {
        client =
            std::make_unique<httplib::Client>("127.0.0.1", options_.controller_ports[controller]);
        client->set_keep_alive(true);
        client->set_connection_timeout(4);
        client->set_read_timeout(4);
      }
      const auto response = client->Post("/hello", body, "application/json");
      const int status = response ? response->status : 0;
      if (status == 200) {
        handle_answer(response->body, now, ride);
        continue;
      }
      client.reset();
      if (status != 421) options_.record(id_ + ": report answered " + std::to_string(status));
      const std::string named =
          status == 421
              ? nlohmann::json::parse(response->body, nullptr, false).value("trailboss", "")
              : "";
      std::size_t next = controller;
      for (std::size_t i = 0; i < options_.members.size(); ++i) {
        if (options_.members[i] == named) next = i;
      }
      const bool is_redirected = next != controller;
      controller = is_redirected ? next : (controller + 1) % options_.controller_ports.size();
      next_at = Clock::now();
      retry_at_ = Clock::now() + std::chrono::milliseconds(is_redirected ? 100 : 1000);
    }
  }

  void handle_answer(const std::string& body, Clock::time_point sent_at, std::uint64_t ride) {
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    const std::lock_guard lock(mutex_);
    if (!answer.is_object() || ride != ride_ || answer.value("reins", std::uint64_t{0}) < reins_)
      return;
    if (answer["reins"].get<std::uint64_t>() > reins_ &&
        Clock::now() - token_changed_at_ > Seconds(options_.lease_s / 2)) {
      token_changed_at_ = Clock::now();
      has_changed_ = true;
    }
    reins_ = answer["reins"];
    answered_at_ = std::max(answered_at_, sent_at);
    execute(answer.at("calls"));
  }

  const std::string id_;
  const MachineOptions options_;
  const JobCatalog& jobs_;
  mutable std::mutex mutex_;  // guards the members below
  std::map<Key, Task> tasks_;
  std::uint64_t ride_ = 1, tally_ = 0, reins_ = 0;
  bool has_changed_ = false, has_image_ = false, was_too_long_ = false;
  Clock::time_point answered_at_{}, sent_at_{}, retry_at_{}, token_changed_at_{};
  std::atomic<int> expirations_{0}, lost_services_{0};
  std::atomic<bool> had_long_report_{false};
  std::atomic<std::uint64_t> starts_{0};
  std::atomic<std::size_t> report_bytes_{0};
  std::mt19937_64 random_;        // of the reporting thread
  std::mt19937_64 random_tasks_;  // guarded by mutex_
  // The tasks of a job run for different times.
  std::uniform_real_distribution<> run_share_{0.3, 1.7};
  httplib::Server server_;
  int port_ = 0;
  std::atomic<bool> is_stopping_{false}, is_gone_{false};
  std::vector<std::thread> threads_;
};

// A cloud whose machines are up from the start and that has no further capacity.
class SmallCloud {
 public:
  explicit SmallCloud(const MachineOptions& options) : options_(options) {
    server_.Get("/catalog", [this](const httplib::Request&, httplib::Response& response) {
      const nlohmann::json type = {{"sku", options_.type},
                                   {"cores", options_.cores},
                                   {"gpus", 0},
                                   {"memory_gb", options_.memory_gb},
                                   {"cache_gb", 60},
                                   {"fetch_gb_per_s", 1.0},
                                   {"price", options_.price},
                                   {"market_price", options_.spot_price},
                                   {"ready_s", options_.boot_s},
                                   {"paddocks", {options_.zone}}};
      response.set_content(nlohmann::json{{"breeds", {type}}}.dump(), "application/json");
    });
    server_.Get("/rentals", [this](const httplib::Request& request, httplib::Response& response) {
      nlohmann::json list = nlohmann::json::array();
      const std::lock_guard lock(mutex_);
      for (const auto& [id, worker] : machines_) {
        if (id <= request.get_param_value("after")) continue;
        list.push_back({{"name_id", id},
                        {"endpoint", "127.0.0.1:" + std::to_string(worker->port())},
                        {"breed", options_.type},
                        {"paddock", options_.zone},
                        {"strays", false},
                        {"status", "running"},
                        {"held_s", 100.0}});
      }
      response.set_content(nlohmann::json{{"mounts", list}, {"more", false}}.dump(),
                           "application/json");
    });
    server_.Post("/rentals", [](const httplib::Request&, httplib::Response& response) {
      response.status = 503;
      response.set_content(R"({"error":"no capacity"})", "application/json");
    });
    server_.Post("/rentals/release",
                 [this](const httplib::Request& request, httplib::Response& response) {
                   options_.record("cloud: release " + request.body);
                   const auto body = nlohmann::json::parse(request.body);
                   {
                     const std::lock_guard lock(mutex_);
                     for (const std::string id : body.at("mounts")) {
                       const auto found = machines_.find(id);
                       if (found == machines_.end()) continue;
                       found->second->remove();
                       machines_.erase(found);
                     }
                   }
                   response.set_content("{}", "application/json");
                 });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~SmallCloud() {
    server_.stop();
    thread_.join();
  }
  // The worker must outlive the cloud's last answer.
  void add(Worker& worker) {
    const std::lock_guard lock(mutex_);
    machines_[worker.id()] = &worker;
  }
  int port() const { return port_; }

 private:
  const MachineOptions options_;
  std::mutex mutex_;  // guards machines_
  std::map<std::string, Worker*> machines_;
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace review
