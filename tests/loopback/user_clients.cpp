#include "loopback/user_clients.h"

#include <httplib.h>

#include <algorithm>
#include <memory>

#include "loopback/agent.h"
#include "loopback/names.h"

namespace saddleslip::testing {

namespace {

using Clock = ClusterLedger::Clock;

constexpr int kStatusTimeoutSeconds = 2;
constexpr int kSubmissionTimeoutSeconds = 5;
constexpr int kSubmissionAttempts = 4;
constexpr double kServiceShare = 0.2;
constexpr double kRepeatShare = 0.1;
constexpr double kUnknownJobShare = 0.02;
constexpr double kDirectShare = 0.3;  // of the requests, past the load balancer
constexpr std::uint64_t kFirstUnknownJob = 900'000;
constexpr std::uint64_t kUnknownJobs = 90'000;
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr double kMaxServiceTasks = 3;
constexpr double kMinRunSeconds = 1;
const char* const kJsonType = "application/json";
const std::string kSubmissions = "/submissions";

std::string job_id(std::uint64_t number) {
  return numbered_name("run-", number);
}

}  // namespace

// The state of one thread: a connection to each controller and the random numbers.
struct UserClients::ThreadState {
  std::mt19937_64 random;
  std::vector<std::unique_ptr<httplib::Client>> clients;
  std::vector<std::string> jobs;  // that this thread has submitted

  double draw(double min, double max) { return std::uniform_real_distribution<>(min, max)(random); }
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  }
  // The controller to which the connection through the load balancer leads.
  std::optional<std::size_t> balanced_controller;
};

UserClients::UserClients(Options options, ClusterLedger& ledger, LoadBalancer& load_balancer)
    : options_(std::move(options)), ledger_(ledger), load_balancer_(load_balancer) {
  for (std::size_t i = 0; i < options_.threads; ++i) threads_.emplace_back([this, i] { run(i); });
}

UserClients::~UserClients() {
  is_stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
}

std::map<int, std::uint64_t> UserClients::reply_counts() const {
  const std::lock_guard lock(mutex_);
  return reply_counts_;
}

void UserClients::count_reply(int status) {
  const std::lock_guard lock(mutex_);
  ++reply_counts_[status];
}

void UserClients::run(std::size_t thread) {
  ThreadState state;
  state.random.seed(options_.seed * 1000 + thread);
  for (const int port : options_.controller_ports) {
    state.clients.push_back(std::make_unique<httplib::Client>("127.0.0.1", port));
    state.clients.back()->set_keep_alive(true);
    state.clients.back()->set_tcp_nodelay(true);
    state.clients.back()->set_connection_timeout(1);
  }
  const auto interval = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
      static_cast<double>(options_.threads) / options_.requests_per_second));
  const double submission_share = options_.submissions_per_second / options_.requests_per_second;
  auto next_at = Clock::now();
  while (!is_stopping_) {
    next_at = std::max(next_at + interval, Clock::now());
    if (is_quiet_) {
      const std::string id = next_accepted_job();
      if (!id.empty()) ask(state, id);
    } else if (state.jobs.empty() || state.draw(0, 1) < submission_share) {
      submit_new_job(state);
    } else if (state.draw(0, 1) < kUnknownJobShare) {
      ask_about_unknown_job(state);
    } else {
      const std::string id = state.jobs[state.pick(state.jobs.size())];
      const double draw = state.draw(0, 1);
      if (draw < submission_share * options_.cancellation_share) {
        cancel(state, id);
      } else if (draw < kRepeatShare) {
        repeat_submission(state, id);
      } else {
        ask(state, id);
      }
    }
    std::this_thread::sleep_until(next_at);
  }
}

std::string UserClients::next_accepted_job() {
  const auto ids = ledger_.accepted_jobs();
  return ids.empty() ? "" : ids[next_question_++ % ids.size()];
}

void UserClients::submit_new_job(ThreadState& state) {
  LoopbackJob job;
  job.id = job_id(++last_job_);
  job.is_service = state.draw(0, 1) < kServiceShare;
  job.tasks = 1 + static_cast<std::uint32_t>(
                      state.draw(0, job.is_service ? kMaxServiceTasks : options_.max_tasks));
  job.run_s = state.draw(kMinRunSeconds, options_.max_run_s);
  ledger_.add_submission(job);
  state.jobs.push_back(job.id);
  for (int i = 0; i < kSubmissionAttempts && !is_stopping_; ++i) {
    const int status =
        call(state, {kSubmissions, job.submission(), kSubmissionTimeoutSeconds}, job.id);
    if (status == kOk || status == kCreated) return;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

void UserClients::repeat_submission(ThreadState& state, const std::string& id) {
  call(state, {kSubmissions, ledger_.job(id)->submission(), kSubmissionTimeoutSeconds}, id);
}

void UserClients::ask(ThreadState& state, const std::string& id) {
  call(state, {kSubmissions + "/" + id, "", kStatusTimeoutSeconds}, id);
}

void UserClients::cancel(ThreadState& state, const std::string& id) {
  ledger_.record_cancellation_request(id);
  call(state, {kSubmissions + "/" + id + "/withdraw", "{}", kSubmissionTimeoutSeconds}, id);
}

void UserClients::ask_about_unknown_job(ThreadState& state) {
  ask(state, job_id(kFirstUnknownJob + state.pick(kUnknownJobs)));
}

std::optional<std::size_t> UserClients::choose_controller(ThreadState& state) {
  if (!is_quiet_ && state.draw(0, 1) < kDirectShare) return state.pick(state.clients.size());
  auto& controller = state.balanced_controller;
  if (!controller || !load_balancer_.keeps_connection(*controller))
    controller = load_balancer_.pick();
  return controller;
}

void UserClients::submit_services(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    LoopbackJob job;
    job.id = job_id(++last_job_);
    job.is_service = true;
    job.cores = kMachineCores / 2;
    ledger_.add_submission(job);
    const int port = options_.controller_ports[i % options_.controller_ports.size()];
    httplib::Client client("127.0.0.1", port);
    send(client, {kSubmissions, job.submission(), kSubmissionTimeoutSeconds}, job.id);
  }
}

int UserClients::call(ThreadState& state, const Call& request, const std::string& job) {
  const auto controller = choose_controller(state);
  if (!controller) {
    count_reply(kNoHealthyController);
    return 0;
  }
  const int status = send(*state.clients[*controller], request, job);
  if (status == 0) state.balanced_controller.reset();
  count_reply(status);
  return status;
}

int UserClients::send(httplib::Client& client, const Call& request, const std::string& job) {
  client.set_read_timeout(request.timeout_s);
  const auto sent_at = Clock::now();
  const auto reply = request.body.empty() ? client.Get(request.path)
                                          : client.Post(request.path, request.body, kJsonType);
  if (!reply) return 0;
  ledger_.record_reply(job, reply->status, reply->body, sent_at);
  return reply->status;
}

}  // namespace saddleslip::testing
