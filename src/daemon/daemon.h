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
#include "daemon/read_barrier.h"
#include "daemon/wakeup_event.h"
#include "daemon/write_rate_limiter.h"
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

  // What one sibling is told: offers and cancellations at once, status regularly.
  struct Peer {
    explicit Peer(const base::Peer& s) : id(s.member), http(s.address, 2) {}
    base::MemberId id;
    transport::HttpClient http;
    std::mutex mutex;
    std::vector<protocol::Offers> offers;
    std::deque<base::JobId> cancelled;  // not yet told; bounded
    WakeupEvent wakeup;
  };

  // Users
  Reply serve(const Request& req);
  Reply serve_user(const Request& req);
  Reply ready();
  Reply handle_heartbeat(const std::string& body);

  // Siblings
  Reply serve_peer(const Request& req);
  void sync_peer_loop(Peer& peer);
  void broadcast_cancellation(const base::JobId& id);

  // Loops
  void renew_lease_loop();
  void watch_loop();
  bool load();
  void round_loop();
  void one_round();
  bool commit_plan(const coordination::RoundPlan& plan,
                   std::vector<coordination::CommandBatch>& orders);
  bool commit(const protocol::Transaction& txn, Seconds timeout);
  void refresh(const std::vector<std::string>& keys);
  void read_unresolved_dependencies();
  void send_orders_loop();
  void enqueue(std::vector<coordination::CommandBatch> orders);
  void scale_loop();
  // A request for machines, under a name of its own.
  struct Rental {
    std::string name;
    coordination::MachineKind kind;
    int count = 0;
  };
  enum class RentOutcome { kRented, kRefused, kStop };
  void read_catalogue();
  void read_list();
  void release(std::vector<base::MachineId> machines);
  std::deque<Rental> rentals(const coordination::ScalingPlan& plan);
  void rent(const coordination::ScalingPlan& plan, Seconds gap);
  RentOutcome rent_once(const Rental& r);
  double write_rate();
  coordination::WriteBudget await_write_budget();

  template <class F>
  auto locked(F f) {
    const std::lock_guard lock(mutex_);
    return f(controller_);
  }

  base::Settings settings_;
  protocol::StateClient state_;
  protocol::StateClient users_store_;  // of its own: what users ask must not hold up rounds
  protocol::CloudClient cloud_;
  protocol::WorkerClient workers_;

  std::mutex mutex_;  // guards controller_ and lease_
  coordination::Controller controller_;
  UserApi users_;
  std::optional<base::LeaseId> lease_;
  std::atomic<bool> loaded_{false};
  std::atomic<bool> was_ready_{false};

  bool catch_up(Seconds timeout);
  // False: it came too late for a copy that was begun anew meanwhile.
  bool take_in(const protocol::StateClient::Watched& w);

  LoopWakeups wakeups_;
  ReadBarrier read_barrier_;
  std::vector<std::unique_ptr<Peer>> peers_;

  std::mutex orders_mutex_;
  std::condition_variable orders_ready_;
  std::deque<coordination::CommandBatch> orders_;

  std::uint64_t jobs_unblocked_ = 0;  // as counted by the ledger after the last round
  Seconds deciding_{0};               // how long a round's decisions take, on average
  WriteRateLimiter write_limiter_;
  std::uint64_t rental_count_ = 0;
  std::optional<Rental> open_rental_;  // sent, and not answered for certain
  struct CloudRead {
    Time catalogue{}, list{};
  } cloud_read_;  // when each was last read

  // Users' requests under way, most of which wait for the state service. While it is slow or silent
  // they must not take all the threads that answer workers and probes.
  std::atomic<int> asking_{0};
  int most_asking_ = 8;
  std::unique_ptr<transport::HttpServer> server_, peer_server_;
  std::vector<std::thread> threads_;
};

}  // namespace saddleslip
