#include "daemon/daemon.h"

#include <algorithm>

#include "base/log.h"
#include "protocol/paths.h"

namespace saddleslip {

using base::JobId;
using protocol::Transaction;

namespace {

using base::Seconds;

constexpr Seconds kUserCall{1.2};     // users wait 2 s for a status
constexpr Seconds kBarrierGap{0.04};  // between two looks at the store's changes for polls
constexpr Seconds kStateCall{1.5};
// An answer of changes that were missed takes several times its size once it is parsed.
constexpr std::size_t kChangesShare = 32;
constexpr int kMostThreads = 192;  // that serve requests; a process may have 2,000 in all
constexpr int kSenders = 8;        // of direct orders
constexpr std::size_t kMaxPeerBody = 2u << 20;  // a status lists all machines of a part

base::Time now() {
  return base::SteadyClock::now();
}

transport::Reply error(int status, const std::string& reason, int retry_after_s = 0) {
  return {status, protocol::error_body(reason), retry_after_s};
}

}  // namespace

Daemon::Daemon(base::Settings settings)
    : settings_(std::move(settings)),
      controller_(settings_),
      state_(settings_.state, settings_.memory_bytes / kChangesShare),
      users_store_(settings_.state),
      cloud_(settings_.cloud),
      workers_(static_cast<std::size_t>(std::max(4, settings_.sockets / 8))),
      replicator_(context_, state_),
      commands_(context_, workers_),
      peer_requests_(context_),
      lease_renewer_(context_, state_, replicator_, peers_),
      scheduling_(context_, state_, replicator_, commands_, peers_),
      fleet_(context_, cloud_, replicator_),
      users_(settings_, controller_.mutex(), controller_.controller(),
             {[this] { return read_barrier_.wait(); },
              [this](const std::string& key) { return users_store_.get(key, kUserCall); },
              [this](const Transaction& txn) { return users_store_.commit(txn, kStateCall); },
              [] { return base::wall_seconds(); }, [this] { wakeups_.scheduling.notify(); },
              [this](const JobId& id) {
                for (const auto& peer : peers_) peer->send_cancellation(id);
              }}),
      read_barrier_({kBarrierGap, kUserCall}, [this] { return replicator_.catch_up(kUserCall); }) {
  for (const base::Peer& s : settings_.peers) {
    peers_.push_back(std::make_unique<PeerSync>(context_, s));
  }
}

Daemon::~Daemon() = default;

void Daemon::start() {
  const int most = settings_.tuning.max_connections > 0 ? settings_.tuning.max_connections
                                                        : settings_.sockets * 3 / 4;
  // An eighth is kept for users and the load balancer's probes when all workers come to one node.
  const int threads = std::clamp(most / 8, 16, kMostThreads);
  most_asking_ = std::max(8, threads * 3 / 4);
  server_ = std::make_unique<transport::HttpServer>(
      settings_.listen,
      transport::ServerLimits{most, threads, 64u << 10, protocol::kHeartbeatPath,
                              std::max(1, most - most / 8)},
      [this](const Request& r) { return serve(r); });
  peer_server_ = std::make_unique<transport::HttpServer>(
      settings_.peer_listen,
      transport::ServerLimits{std::max(16, settings_.sockets / 20), 16, kMaxPeerBody, "", 0},
      [this](const Request& r) { return peer_requests_.serve(r); });
  threads_.emplace_back([this] { replicator_.run(stop_.get_token()); });
  threads_.emplace_back([this] { lease_renewer_.run(stop_.get_token()); });
  threads_.emplace_back([this] { scheduling_.run(stop_.get_token()); });
  threads_.emplace_back([this] { fleet_.run(stop_.get_token()); });
  for (int i = 0; i < kSenders; ++i)
    threads_.emplace_back([this] { commands_.run(stop_.get_token()); });
  for (auto& s : peers_) threads_.emplace_back([this, &s] { s->run(stop_.get_token()); });
  spdlog::info("{} serves on {}, siblings on {}", settings_.member.get(), settings_.listen.str(),
               settings_.peer_listen.str());
}

void Daemon::wait() {
  for (auto& t : threads_) t.join();
}

// --- users and workers

Daemon::Reply Daemon::serve(const Request& req) {
  if (req.path == protocol::kHeartbeatPath) {
    return req.method == "POST" ? handle_heartbeat(req.body) : error(405, "wrong method");
  }
  if (req.path == protocol::kReadinessPath)
    return req.method == "GET" ? ready() : error(405, "wrong method");
  const bool admitted = asking_.fetch_add(1) < most_asking_;
  Reply reply = admitted ? serve_user(req) : error(503, "too many requests are waiting", 1);
  --asking_;
  return reply;
}

Daemon::Reply Daemon::serve_user(const Request& req) {
  const auto wrong_method = [] { return error(405, "wrong method"); };
  const std::string& submissions = protocol::kSubmissionsPath;
  const std::string& cancel = protocol::kCancelSuffix;
  if (req.path == submissions) {
    return req.method == "POST" ? users_.submit(req.body, now()) : wrong_method();
  }
  if (req.path.compare(0, submissions.size() + 1, submissions + "/") == 0) {
    std::string id = req.path.substr(submissions.size() + 1);
    const bool is_cancellation =
        id.size() > cancel.size() &&
        id.compare(id.size() - cancel.size(), std::string::npos, cancel) == 0;
    if (is_cancellation) id.resize(id.size() - cancel.size());
    if (!protocol::valid_job_id(id)) return error(404, "no such job");
    if (is_cancellation) {
      return req.method == "POST" ? users_.cancel(JobId(id), now()) : wrong_method();
    }
    return req.method == "GET" ? users_.status(JobId(id)) : wrong_method();
  }
  return error(404, "no such path");
}

Daemon::Reply Daemon::ready() {
  const Time t = now();
  const bool ok = replicator_.is_loaded() && locked([&](coordination::Controller& c) {
                    if (c.cache().catalogue().empty()) return false;
                    // In an outage of the state service all are alike, and being passed over would
                    // only outlast it. A node that alone is refused should be passed over.
                    return c.has_lease(t) || (was_ready_ && !c.peers_have_state(t));
                  });
  if (ok) was_ready_ = true;
  return ok ? Reply{200, protocol::kReadyBody, 0} : error(503, "not ready", 1);
}

Daemon::Reply Daemon::handle_heartbeat(const std::string& body) {
  const auto heartbeat = protocol::parse_heartbeat(body);
  if (!heartbeat) return error(400, "not a report");
  bool news = false;
  const auto reply = locked([&](coordination::Controller& c) {
    auto r = c.handle_heartbeat(*heartbeat, now());
    if (r.status == 200) {
      news = std::any_of(heartbeat->tasks.begin(), heartbeat->tasks.end(), [](const auto& t) {
        return std::any_of(t.second.begin(), t.second.end(),
                           [](const auto& a) { return a.state == protocol::TaskState::kEnded; });
      });
      news = news || heartbeat->tasks.empty();
    }
    return r;
  });
  if (news) wakeups_.scheduling.notify();
  return {reply.status, reply.body, 0};
}

}  // namespace saddleslip
