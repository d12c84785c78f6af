// Sends commands to the workers' agents without waiting for their next heartbeat.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <stop_token>
#include <vector>

#include "daemon/shared_controller.h"
#include "protocol/clients.h"

namespace saddleslip {

// A bounded queue of command batches. Several threads may run() at once; each sends one batch at a
// time. Sending is an optimization: what is lost or does not fit into the queue goes out with the
// response to the machine's next heartbeat.
class CommandSender {
 public:
  CommandSender(const DaemonContext& context, protocol::WorkerClient& workers)
      : context_(context), workers_(workers) {}

  // Batches beyond the queue's bound are dropped. Does not block on the network.
  void enqueue(std::vector<coordination::CommandBatch> batches);
  // Sends batches from the queue until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  void send(coordination::CommandBatch batch);

  const DaemonContext context_;
  protocol::WorkerClient& workers_;
  std::mutex mutex_;
  std::condition_variable_any queued_;
  std::deque<coordination::CommandBatch> queue_;  // guarded by mutex_
};

}  // namespace saddleslip
