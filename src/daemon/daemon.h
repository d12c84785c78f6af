// One controller process: connects the loops, the routes and the decisions, and owns their threads.
#pragma once

#include <memory>
#include <stop_token>
#include <thread>
#include <vector>

#include "api/user_api.h"
#include "base/settings.h"
#include "daemon/command_sender.h"
#include "daemon/fleet_loop.h"
#include "daemon/http_routes.h"
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
  // Requests a stop and waits until all threads have ended.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts all threads. Throws std::runtime_error if an address cannot be listened on.
  void start();
  // Asks all loops to end after the calls that they have under way. May be called from any thread.
  void request_stop() { stop_.request_stop(); }
  // Blocks until all loops have ended, which is after a stop was requested.
  void wait();

 private:
  UserApi::Store users_store();
  void start_servers();
  void start_loops();
  // Starts a thread that calls loop.run().
  template <class Loop>
  void start_loop(Loop& loop);

  const base::Settings settings_;
  SharedController controller_;
  LoopWakeups wakeups_;
  const DaemonContext context_{settings_, controller_, wakeups_};

  protocol::StateClient state_;
  protocol::StateClient users_state_;  // of its own, so that users do not hold up the rounds
  protocol::CloudClient cloud_;
  protocol::WorkerClient workers_;

  StateReplicator replicator_;
  ReadBarrier read_barrier_;
  PeerSyncs peers_;
  LeaseRenewer lease_renewer_;
  CommandSender commands_;
  SchedulingLoop scheduling_;
  FleetLoop fleet_;

  UserApi users_;
  HttpRoutes routes_;
  PeerRequestHandler peer_requests_;
  // Destroyed before what they call.
  std::unique_ptr<transport::HttpServer> server_;
  std::unique_ptr<transport::HttpServer> peer_server_;
  std::stop_source stop_;
  std::vector<std::jthread> threads_;
};

}  // namespace saddleslip
