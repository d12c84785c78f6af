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

// The minimum time between two reads of changes from the state service for user requests.
constexpr Seconds kMinCatchUpInterval{0.04};
// Parsed changes take several times the size of the response that carried them, so a response may
// be at most the process's memory divided by this.
constexpr std::size_t kMemoryPerChangesResponse = 32;
constexpr int kMinServerThreads = 16;
constexpr int kMaxServerThreads = 192;         // the process is limited to 2,000 threads
constexpr int kMinConcurrentUserRequests = 8;  // requests served at the same time
constexpr int kCommandSenderThreads = 8;
constexpr std::size_t kMaxBodyBytes = 64u << 10;
constexpr std::size_t kMaxPeerBodyBytes = 2u << 20;  // a status lists all machines of a peer
constexpr int kPeerServerThreads = 16;
constexpr int kMinPeerConnections = 16;

std::size_t max_worker_connections(const base::Settings& settings) {
  return static_cast<std::size_t>(std::max(4, settings.sockets / 8));
}

// Returns the limits of the server for users, workers and health probes.
ServerLimits server_limits(const base::Settings& settings) {
  const int configured = settings.tuning.max_connections;
  const int connections = configured > 0 ? configured : settings.sockets * 3 / 4;
  const int threads = std::clamp(connections / 8, kMinServerThreads, kMaxServerThreads);
  // An eighth of the connections is reserved for users and the load balancer's probes, in case all
  // workers connect to this controller.
  const int heartbeat_connections = std::max(1, connections - connections / 8);
  return {connections, threads, kMaxBodyBytes, protocol::kHeartbeatPath, heartbeat_connections};
}

ServerLimits peer_server_limits(const base::Settings& settings) {
  const int connections = std::max(kMinPeerConnections, settings.sockets / 20);
  return {connections, kPeerServerThreads, kMaxPeerBodyBytes, "", 0};
}

int max_concurrent_user_requests(const base::Settings& settings) {
  return std::max(kMinConcurrentUserRequests, server_limits(settings).max_threads * 3 / 4);
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
      state_client_(settings_.state, settings_.memory_bytes / kMemoryPerChangesResponse),
      user_state_client_(settings_.state),
      cloud_client_(settings_.cloud),
      worker_client_(max_worker_connections(settings_)),
      replicator_(context_, state_client_),
      read_barrier_({kMinCatchUpInterval, kUserReadTimeout},
                    [this] { return replicator_.catch_up(kUserReadTimeout); }),
      peers_(make_peers(context_)),
      lease_renewer_(context_, state_client_, replicator_, peers_),
      command_sender_(context_, worker_client_),
      scheduling_loop_(context_, state_client_, replicator_, command_sender_, peers_),
      fleet_loop_(context_, cloud_client_, replicator_),
      activity_log_(context_, {{&state_client_, &user_state_client_},
                               [this] { return server_->take_refused_connections(); },
                               replicator_,
                               command_sender_,
                               http_routes_}),
      user_api_(settings_, controller_.mutex(), controller_.controller(), make_user_api_store()),
      http_routes_(context_, replicator_, user_api_, max_concurrent_user_requests(settings_)),
      peer_request_handler_(context_) {}

Daemon::~Daemon() {
  request_stop();
  wait();
}

UserApi::Store Daemon::make_user_api_store() {
  UserApi::Store store;
  store.read_barrier = [this] { return read_barrier_.wait(); };
  store.get = [this](const std::string& key) {
    return user_state_client_.get(key, kUserReadTimeout);
  };
  store.commit = [this](const protocol::Transaction& transaction) {
    return user_state_client_.commit(transaction, kCommitTimeout);
  };
  store.time_of_day = [] { return base::wall_seconds(); };
  store.request_scheduling_round = [this] { wakeups_.scheduling.notify(); };
  store.broadcast_cancellation = [this](const base::JobId& job) {
    for (const auto& peer : peers_) peer->send_cancellation(job);
  };
  return store;
}

void Daemon::start() {
  start_servers();
  start_loops();
  spdlog::info("controller started: member={} address={} peer_address={}", settings_.member.get(),
               settings_.listen.str(), settings_.peer_listen.str());
}

void Daemon::start_servers() {
  server_ = std::make_unique<transport::HttpServer>(
      settings_.listen, server_limits(settings_),
      [this](const Request& request) { return http_routes_.serve(request); });
  peer_server_ = std::make_unique<transport::HttpServer>(
      settings_.peer_listen, peer_server_limits(settings_),
      [this](const Request& request) { return peer_request_handler_.serve(request); });
}

void Daemon::start_loops() {
  start_loop(replicator_);
  start_loop(lease_renewer_);
  start_loop(scheduling_loop_);
  start_loop(fleet_loop_);
  start_loop(activity_log_);
  for (int i = 0; i < kCommandSenderThreads; ++i) start_loop(command_sender_);
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
