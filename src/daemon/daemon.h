// The controller process: creates the clients, loops, servers and the controller, and owns their
// threads.
#pragma once

#include <memory>
#include <stop_token>
#include <thread>
#include <vector>

#include "api/user_api.h"
#include "base/settings.h"
#include "daemon/activity_log.h"
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

// One controller process. Its servers handle requests from users, workers and peers; its loops
// renew the lease, schedule, manage the fleet and talk to the peers and the state service.
class Daemon {
 public:
  explicit Daemon(base::Settings settings);
  // Requests a stop and waits until all threads have ended.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts all threads. Throws std::runtime_error if an address cannot be bound.
  void start();
  // Asks every loop to end once its current call has returned. May be called from any thread.
  void request_stop() { stop_.request_stop(); }
  // Blocks until all loops have ended. They end only after request_stop().
  void wait();

 private:
  // Builds the callbacks through which UserApi uses this daemon.
  UserApi::Store make_user_api_store();
  // Starts the server for users, workers and probes and the server for peers.
  void start_servers();
  // Starts the threads of all loops.
  void start_loops();
  // Starts a thread that runs loop.run() until a stop is requested.
  template <class Loop>
  void start_loop(Loop& loop);

  const base::Settings settings_;
  SharedController controller_;
  LoopWakeups wakeups_;
  const DaemonContext context_{settings_, controller_, wakeups_};

  protocol::StateClient state_client_;
  // A separate client for user requests, so that they do not delay scheduling rounds.
  protocol::StateClient user_state_client_;
  protocol::CloudClient cloud_client_;
  protocol::WorkerClient worker_client_;

  StateReplicator replicator_;
  ReadBarrier read_barrier_;
  PeerSyncs peers_;
  LeaseRenewer lease_renewer_;
  CommandSender command_sender_;
  SchedulingLoop scheduling_loop_;
  FleetLoop fleet_loop_;
  ActivityLog activity_log_;

  UserApi user_api_;
  HttpRoutes http_routes_;
  PeerRequestHandler peer_request_handler_;
  // Declared after the objects that they call, so that they are destroyed first.
  std::unique_ptr<transport::HttpServer> server_;
  std::unique_ptr<transport::HttpServer> peer_server_;
  std::stop_source stop_;
  std::vector<std::jthread> threads_;
};

}  // namespace saddleslip
