#include "loopback/state_service_stand_in.h"

#include <httplib.h>

#include <algorithm>

namespace saddleslip::testing {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxChanges = 10'000;
constexpr std::size_t kMaxPageItems = 1'000;
constexpr std::size_t kMaxPageBytes = 512u << 10;
constexpr std::size_t kMaxTransactionBytes = 64u << 10;
constexpr std::size_t kPreconditionsPerWrite = 4;
constexpr int kMaxWatchMs = 60'000;
constexpr milliseconds kTimerInterval{20};
constexpr double kMinLateTransactionSeconds = 2.0;
constexpr double kMaxLateTransactionSeconds = 12.0;
constexpr std::size_t kThreadsPerServer = 48;
constexpr int kKeepAliveSeconds = 120;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
const char* const kJsonType = "application/json";

std::string error_body(const std::string& reason) {
  return Json{{"error", reason}}.dump();
}

std::uint64_t number_parameter(const httplib::Request& request, const char* name) {
  return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
}

}  // namespace

bool StateServiceStandIn::TokenBucket::take(double count) {
  const auto now = Clock::now();
  const double elapsed = std::chrono::duration<double>(now - refilled_at).count();
  refilled_at = now;
  tokens = std::min(rate, tokens + elapsed * rate);
  if (tokens < count) return false;
  tokens -= count;
  return true;
}

StateServiceStandIn::StateServiceStandIn(std::size_t controllers, const StateServiceLimits& limits,
                                         std::uint64_t seed)
    : limits_(limits), faults_(controllers), random_(seed) {
  requests_bucket_.rate = limits.requests_per_second;
  writes_bucket_.rate = limits.writes_per_second;
  for (std::size_t i = 0; i < controllers; ++i) {
    servers_.push_back(std::make_unique<httplib::Server>());
    httplib::Server& server = *servers_.back();
    server.new_task_queue = [] { return new httplib::ThreadPool(kThreadsPerServer); };
    server.set_keep_alive_max_count(std::numeric_limits<int>::max());
    server.set_keep_alive_timeout(kKeepAliveSeconds);
    server.set_tcp_nodelay(true);
    set_routes(i);
    ports_.push_back(server.bind_to_any_port("127.0.0.1"));
    threads_.emplace_back([&server] { server.listen_after_bind(); });
  }
  threads_.emplace_back([this] { run_timers(); });
}

StateServiceStandIn::~StateServiceStandIn() {
  is_stopping_ = true;
  changed_.notify_all();
  for (const auto& server : servers_) server->stop();
  for (std::thread& thread : threads_) thread.join();
}

void StateServiceStandIn::set_faults(std::size_t controller, const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_.at(controller) = faults;
  changed_.notify_all();
}

void StateServiceStandIn::set_outage(bool is_out) {
  const std::lock_guard lock(mutex_);
  is_out_ = is_out;
  for (auto& [id, lease] : leases_) lease.expires_at = Clock::now() + lease.time_to_live;
  changed_.notify_all();
}

void StateServiceStandIn::put(const std::string& key, const Json& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  write(key, &value, 0);
}

std::map<std::string, std::uint64_t> StateServiceStandIn::rejected_requests() const {
  const std::lock_guard lock(mutex_);
  return rejected_requests_;
}

std::map<std::string, std::uint64_t> StateServiceStandIn::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

// --- Requests

void StateServiceStandIn::set_routes(std::size_t controller) {
  using httplib::Request;
  using httplib::Response;
  httplib::Server& server = *servers_.at(controller);
  server.Get("/store", [this, controller](const Request& request, Response& response) {
    serve(controller, "list", response, [&] { return list(request); });
  });
  server.Get(R"(/store/(.+))", [this, controller](const Request& request, Response& response) {
    serve(controller, "get", response, [&] { return get(request.matches[1]); });
  });
  server.Get("/changes", [this, controller](const Request& request, Response& response) {
    watch(controller, request, response);
  });
  server.Post("/commit", [this, controller](const Request& request, Response& response) {
    serve(controller, "commit", response, [&] { return commit(controller, request.body); });
  });
  server.Post("/leases", [this, controller](const Request& request, Response& response) {
    serve(controller, "lease", response, [&] { return create_lease(request.body); });
  });
  server.Post(R"(/leases/(\d+)/renew)",
              [this, controller](const Request& request, Response& response) {
                serve(controller, "lease", response,
                      [&] { return renew_lease(std::stoull(request.matches[1])); });
              });
  server.Delete(R"(/leases/(\d+))", [this, controller](const Request& request, Response& response) {
    serve(controller, "lease", response, [&] {
      remove_lease(std::stoull(request.matches[1]));
      return Answer{200, "{}"};
    });
  });
}

template <class Function>
void StateServiceStandIn::serve(std::size_t controller, const std::string& kind,
                                httplib::Response& response, Function function) {
  std::unique_lock lock(mutex_);
  const double latency_s = faults_[controller].latency_s;
  lock.unlock();
  if (latency_s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(latency_s));
  lock.lock();
  ++requests_[kind];
  std::optional<Answer> answer;
  if (is_out_ || faults_[controller].is_refusing) {
    answer = Answer{kUnavailable, error_body("trouble")};
  } else if (!requests_bucket_.take(1)) {
    ++rejected_requests_[kind];
    answer = Answer{kTooManyRequests, error_body("too many requests")};
  } else {
    answer = function();
  }
  lock.unlock();
  if (!answer) {
    // The connection stays open without an answer until the caller has given up.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    answer = Answer{kUnavailable, error_body("lost")};
  }
  response.status = answer->status;
  response.set_content(answer->body, kJsonType);
}

StateServiceStandIn::Answer StateServiceStandIn::list(const httplib::Request& request) const {
  const std::string prefix = request.get_param_value("starts");
  const std::string after = request.get_param_value("after");
  const std::size_t page = std::min<std::size_t>(kMaxPageItems, number_parameter(request, "page"));
  auto at = after.empty() ? records_.lower_bound(prefix) : records_.upper_bound(after);
  std::string items;
  std::size_t count = 0;
  for (; at != records_.end() && at->first.starts_with(prefix) && count < page; ++at, ++count) {
    const std::string item =
        Json{{"key", at->first}, {"v", at->second.value}, {"mark", at->second.version}}.dump();
    if (count > 0 && items.size() + item.size() > kMaxPageBytes) break;
    items += (count > 0 ? "," : "") + item;
  }
  const bool has_more = at != records_.end() && at->first.starts_with(prefix);
  return {200, "{\"items\":[" + items + "],\"more\":" + (has_more ? "true" : "false") +
                   ",\"ledger\":" + std::to_string(revision_) + "}"};
}

StateServiceStandIn::Answer StateServiceStandIn::get(const std::string& key) const {
  const auto found = records_.find(key);
  if (found == records_.end()) return {kNotFound, Json{{"ledger", revision_}}.dump()};
  return {200, Json{{"key", key},
                    {"v", found->second.value},
                    {"mark", found->second.version},
                    {"tether", found->second.lease}}
                   .dump()};
}

// --- Changes

void StateServiceStandIn::watch(std::size_t controller, const httplib::Request& request,
                                httplib::Response& response) {
  const std::string prefix = request.get_param_value("starts");
  const std::uint64_t after = number_parameter(request, "after");
  const auto wait =
      milliseconds(std::min<std::uint64_t>(kMaxWatchMs, number_parameter(request, "block_ms")));
  const auto deadline = Clock::now() + wait;
  const std::string kind = wait.count() > 0 ? "watch" : "changes";
  serve(controller, kind, response, [&]() -> std::optional<Answer> { return Answer{200, ""}; });
  if (response.status != 200) return;
  std::unique_lock lock(mutex_);
  // An open watch waits until an outage is over.
  changed_.wait_until(lock, deadline, [&] {
    if (is_stopping_) return true;
    return !is_out_ && !faults_[controller].is_refusing && has_changes_after(prefix, after);
  });
  const Answer answer = changes_after(prefix, after);
  lock.unlock();
  response.status = answer.status;
  response.set_content(answer.body, kJsonType);
}

bool StateServiceStandIn::has_changes_after(const std::string& prefix, std::uint64_t after) const {
  if (after < oldest_kept_revision_) return true;
  return std::any_of(changes_.rbegin(), changes_.rend(), [&](const Change& change) {
    return change.revision > after && change.key.starts_with(prefix);
  });
}

StateServiceStandIn::Answer StateServiceStandIn::changes_after(const std::string& prefix,
                                                               std::uint64_t after) const {
  if (after < oldest_kept_revision_) return {kGone, error_body("too old")};
  std::string events;
  const auto first =
      std::partition_point(changes_.begin(), changes_.end(),
                           [&](const Change& entry) { return entry.revision <= after; });
  for (auto change = first; change != changes_.end(); ++change) {
    if (!change->key.starts_with(prefix)) continue;
    events += (events.empty() ? "" : ",") + change->encoded;
  }
  return {200, "{\"ledger\":" + std::to_string(revision_) + ",\"events\":[" + events + "]}"};
}

// --- Transactions

std::optional<StateServiceStandIn::Answer> StateServiceStandIn::commit(std::size_t controller,
                                                                       const std::string& body) {
  const Json transaction = Json::parse(body, nullptr, false);
  if (!transaction.is_object() || body.size() > kMaxTransactionBytes)
    return Answer{kBadRequest, error_body("malformed or too large")};
  const auto writes = transaction.at("writes").size();
  if (!writes_bucket_.take(static_cast<double>(writes))) {
    ++rejected_requests_["commit"];
    return Answer{kTooManyRequests, error_body("too many writes")};
  }
  const Faults& faults = faults_[controller];
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  if (draw < faults.late_transaction_share) {
    const double delay_s = std::uniform_real_distribution<>(kMinLateTransactionSeconds,
                                                            kMaxLateTransactionSeconds)(random_);
    late_transactions_.push_back(
        {Clock::now() + milliseconds(static_cast<long>(delay_s * 1000)), transaction});
    return {};
  }
  Answer answer = apply(transaction);
  if (draw < faults.late_transaction_share + faults.lost_answer_share) return {};
  return answer;
}

StateServiceStandIn::Answer StateServiceStandIn::apply(const Json& transaction) {
  const Json& guards = transaction.at("guards");
  const Json& writes = transaction.at("writes");
  if (writes.size() > limits_.transaction_writes ||
      guards.size() > limits_.transaction_writes * kPreconditionsPerWrite)
    return {kBadRequest, error_body("too many writes or conditions")};
  for (const Json& entry : writes) {
    if (entry.contains("tether") && !leases_.contains(entry["tether"].get<std::uint64_t>()))
      return {kBadRequest, error_body("no such lease")};
    if (entry.contains("write") && entry["v"].dump().size() > limits_.value_bytes)
      return {kBadRequest, error_body("value too large: " + entry["write"].get<std::string>())};
  }
  Json failed = Json::array();
  for (const Json& guard : guards) {
    const auto found = records_.find(guard["key"].get<std::string>());
    const std::uint64_t version = found == records_.end() ? 0 : found->second.version;
    if (version != guard["mark"].get<std::uint64_t>()) failed.push_back(guard["key"]);
  }
  if (!failed.empty()) return {kConflict, Json{{"failed", failed}, {"ledger", revision_}}.dump()};
  if (!writes.empty()) ++revision_;
  for (const Json& entry : writes) {
    if (entry.contains("write")) {
      write(entry["write"], &entry["v"], entry.value("tether", std::uint64_t{0}));
    } else {
      write(entry["remove"], nullptr, 0);
    }
  }
  return {200, Json{{"ledger", revision_}}.dump()};
}

void StateServiceStandIn::write(const std::string& key, const Json* value, std::uint64_t lease) {
  Json change = {{"mark", revision_}};
  if (value) {
    records_[key] = {*value, revision_, lease};
    change["write"] = key;
    change["v"] = *value;
  } else {
    records_.erase(key);
    change["remove"] = key;
  }
  changes_.push_back({revision_, key, change.dump()});
  while (changes_.size() > kMaxChanges) {
    oldest_kept_revision_ = changes_.front().revision;
    changes_.pop_front();
  }
  changed_.notify_all();
}

// --- Leases and timers

StateServiceStandIn::Answer StateServiceStandIn::create_lease(const std::string& body) {
  const Json request = Json::parse(body, nullptr, false);
  const milliseconds time_to_live(request.value("ttl_ms", 0));
  leases_[++last_lease_] = {time_to_live, Clock::now() + time_to_live};
  return {200, Json{{"tether", last_lease_}}.dump()};
}

StateServiceStandIn::Answer StateServiceStandIn::renew_lease(std::uint64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return {kNotFound, error_body("no such lease")};
  found->second.expires_at = Clock::now() + found->second.time_to_live;
  return {200, "{}"};
}

void StateServiceStandIn::remove_lease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, record] : records_) {
    if (record.lease == lease) keys.push_back(key);
  }
  if (!keys.empty()) ++revision_;
  for (const std::string& key : keys) write(key, nullptr, 0);
}

void StateServiceStandIn::run_timers() {
  while (!is_stopping_) {
    std::this_thread::sleep_for(kTimerInterval);
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    if (is_out_) continue;
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : leases_) {
      if (lease.expires_at <= now) expired.push_back(id);
    }
    for (const std::uint64_t lease : expired) remove_lease(lease);
    const auto first_due = std::partition(late_transactions_.begin(), late_transactions_.end(),
                                          [&](const auto& late) { return late.due_at > now; });
    for (auto late = first_due; late != late_transactions_.end(); ++late) apply(late->body);
    late_transactions_.erase(first_due, late_transactions_.end());
  }
}

}  // namespace saddleslip::testing
