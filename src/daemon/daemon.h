// Wiring: the threads of one controller process around its decisions.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "api/user_api.h"
#include "base/settings.h"
#include "coordination/controller.h"
#include "daemon/command_sender.h"
#include "daemon/fleet_loop.h"
#include "daemon/lease_renewer.h"
#include "daemon/peer_request_handler.h"
#include "daemon/peer_sync.h"
#include "daemon/read_barrier.h"
#include "daemon/scheduling_loop.h"
#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "daemon/wakeup_event.h"
#include "protocol/clients.h"
#include "transport/http_server.h"

namespace saddleslip {

class Daemon {
 public:
  explicit Daemon(base::Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts all threads; throws std::runtime_error when an address can't be had.
  void start();
  // Blocks for ever.
  void wait();

 private:
  using Time = base::Time;
  using Seconds = base::Seconds;
  using Reply = transport::Reply;
  using Request = transport::Request;

  // Users
  Reply serve(const Request& req);
  Reply serve_user(const Request& req);
  Reply ready();
  Reply handle_heartbeat(const std::string& body);

  template <class F>
  auto locked(F f) {
    return controller_.locked(f);
  }

  base::Settings settings_;
  SharedController controller_;
  LoopWakeups wakeups_;
  const DaemonContext context_{settings_, controller_, wakeups_};
  protocol::StateClient state_;
  protocol::StateClient users_store_;  // of its own: what users ask must not hold up rounds
  protocol::CloudClient cloud_;
  protocol::WorkerClient workers_;
  StateReplicator replicator_;
  CommandSender commands_;
  PeerSyncs peers_;
  PeerRequestHandler peer_requests_;
  LeaseRenewer lease_renewer_;
  SchedulingLoop scheduling_;
  FleetLoop fleet_;

  UserApi users_;
  std::atomic<bool> was_ready_{false};

  ReadBarrier read_barrier_;
  std::stop_source stop_;

  // Users' requests under way, most of which wait for the state service. While it is slow or silent
  // they must not take all the threads that answer workers and probes.
  std::atomic<int> asking_{0};
  int most_asking_ = 8;
  std::unique_ptr<transport::HttpServer> server_, peer_server_;
  std::vector<std::thread> threads_;
};

}  // namespace saddleslip
