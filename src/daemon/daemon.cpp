#include "daemon/daemon.h"

#include <algorithm>

#include "base/log.h"
#include "daemon/timeouts.h"
#include "protocol/paths.h"

namespace saddleslip {

using base::Seconds;
using transport::Request;
using transport::ServerLimits;

namespace {

// Between two reads of the store's changes on behalf of users.
constexpr Seconds kMinBarrierInterval{0.04};
// Changes take several times their size once they are parsed: an answer may have this share of the
// process's memory.
constexpr std::size_t kMemoryPerChanges = 32;
constexpr int kMinServerThreads = 16;
constexpr int kMaxServerThreads = 192;  // the process may have 2,000 threads in all
constexpr int kMinUserRequests = 8;     // served at once
constexpr int kCommandSenders = 8;
constexpr std::size_t kMaxBody = 64u << 10;
constexpr std::size_t kMaxPeerBody = 2u << 20;  // a status lists all machines of a controller
constexpr int kPeerServerThreads = 16;
constexpr int kMinPeerConnections = 16;

std::size_t max_worker_connections(const base::Settings& settings) {
  return static_cast<std::size_t>(std::max(4, settings.sockets / 8));
}

// Of the server for users, workers and probes.
ServerLimits server_limits(const base::Settings& settings) {
  const int configured = settings.tuning.max_connections;
  const int connections = configured > 0 ? configured : settings.sockets * 3 / 4;
  const int threads = std::clamp(connections / 8, kMinServerThreads, kMaxServerThreads);
  // An eighth is kept for users and the load balancer's probes when all workers come to this one.
  const int heartbeat_connections = std::max(1, connections - connections / 8);
  return {connections, threads, kMaxBody, protocol::kHeartbeatPath, heartbeat_connections};
}

ServerLimits peer_server_limits(const base::Settings& settings) {
  const int connections = std::max(kMinPeerConnections, settings.sockets / 20);
  return {connections, kPeerServerThreads, kMaxPeerBody, "", 0};
}

int max_user_requests(const base::Settings& settings) {
  return std::max(kMinUserRequests, server_limits(settings).threads * 3 / 4);
}

PeerSyncs make_peers(const DaemonContext& context) {
  PeerSyncs peers;
  for (const base::Peer& peer : context.settings.peers) {
    peers.push_back(std::make_unique<PeerSync>(context, peer));
  }
  return peers;
}

}  // namespace

Daemon::Daemon(base::Settings settings)
    : settings_(std::move(settings)),
      controller_(settings_),
      state_(settings_.state, settings_.memory_bytes / kMemoryPerChanges),
      users_state_(settings_.state),
      cloud_(settings_.cloud),
      workers_(max_worker_connections(settings_)),
      replicator_(context_, state_),
      read_barrier_({kMinBarrierInterval, kUserReadTimeout},
                    [this] { return replicator_.catch_up(kUserReadTimeout); }),
      peers_(make_peers(context_)),
      lease_renewer_(context_, state_, replicator_, peers_),
      commands_(context_, workers_),
      scheduling_(context_, state_, replicator_, commands_, peers_),
      fleet_(context_, cloud_, replicator_),
      users_(settings_, controller_.mutex(), controller_.controller(), users_store()),
      routes_(context_, replicator_, users_, max_user_requests(settings_)),
      peer_requests_(context_) {}

Daemon::~Daemon() {
  request_stop();
  wait();
}

UserApi::Store Daemon::users_store() {
  UserApi::Store store;
  store.read_barrier = [this] { return read_barrier_.wait(); };
  store.get = [this](const std::string& key) { return users_state_.get(key, kUserReadTimeout); };
  store.commit = [this](const protocol::Transaction& txn) {
    return users_state_.commit(txn, kCommitTimeout);
  };
  store.wall = [] { return base::wall_seconds(); };
  store.changed = [this] { wakeups_.scheduling.notify(); };
  store.cancelled = [this](const base::JobId& job) {
    for (const auto& peer : peers_) peer->send_cancellation(job);
  };
  return store;
}

void Daemon::start() {
  start_servers();
  start_loops();
  spdlog::info("controller started member={} address={} peer_address={}", settings_.member.get(),
               settings_.listen.str(), settings_.peer_listen.str());
}

void Daemon::start_servers() {
  server_ = std::make_unique<transport::HttpServer>(
      settings_.listen, server_limits(settings_),
      [this](const Request& request) { return routes_.serve(request); });
  peer_server_ = std::make_unique<transport::HttpServer>(
      settings_.peer_listen, peer_server_limits(settings_),
      [this](const Request& request) { return peer_requests_.serve(request); });
}

void Daemon::start_loops() {
  start_loop(replicator_);
  start_loop(lease_renewer_);
  start_loop(scheduling_);
  start_loop(fleet_);
  for (int i = 0; i < kCommandSenders; ++i) start_loop(commands_);
  for (const auto& peer : peers_) start_loop(*peer);
}

template <class Loop>
void Daemon::start_loop(Loop& loop) {
  threads_.emplace_back([&loop, stop = stop_.get_token()] { loop.run(stop); });
}

void Daemon::wait() {
  for (std::jthread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace saddleslip
