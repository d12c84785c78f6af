// Sends commands to the agents on the machines without waiting for their next heartbeat.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <stop_token>
#include <vector>

#include "daemon/shared_controller.h"
#include "protocol/clients.h"

namespace saddleslip {

// What happened to command batches since the last report.
struct CommandBatchReport {
  std::uint64_t answered = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t out_of_date = 0;  // no command was still to be sent
  std::uint64_t dropped = 0;      // the queue was full
};

// A bounded queue of command batches. Several threads may execute run() at once; each of them sends
// one batch at a time. Sending directly is an optimization: commands that are lost or do not fit
// into the queue are sent again in the response to the machine's next heartbeat.
class CommandSender {
 public:
  CommandSender(const DaemonContext& context, protocol::WorkerClient& worker_client)
      : context_(context), worker_client_(worker_client) {}

  // Appends batches to the queue. Drops those that exceed its bound. Does not block on the network.
  void enqueue(std::vector<coordination::CommandBatch> batches);
  // Sends batches from the queue until a stop is requested.
  void run(const std::stop_token& stop);

  // Returns the counts since the last call.
  CommandBatchReport take_report();

 private:
  void count(std::uint64_t CommandBatchReport::*counter);
  // Sends one batch without the commands that are out of date, and processes the agent's response.
  void send(coordination::CommandBatch batch);

  const DaemonContext context_;
  protocol::WorkerClient& worker_client_;
  std::mutex mutex_;
  std::condition_variable_any batch_queued_;
  std::deque<coordination::CommandBatch> queue_;  // guarded by mutex_
  CommandBatchReport report_;                     // guarded by mutex_
};

}  // namespace saddleslip
