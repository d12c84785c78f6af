#include "daemon/command_sender.h"

#include <utility>

#include "base/log.h"

namespace saddleslip {

using base::SteadyClock;
using coordination::CommandBatch;
using coordination::Controller;

namespace {

constexpr std::size_t kMaxQueuedBatches = 512;
constexpr base::Seconds kCommandTimeout{1.0};

}  // namespace

void CommandSender::enqueue(std::vector<CommandBatch> batches) {
  if (batches.empty()) return;
  {
    const std::lock_guard lock(mutex_);
    for (CommandBatch& batch : batches) {
      if (queue_.size() >= kMaxQueuedBatches) {
        ++report_.dropped;
        continue;
      }
      queue_.push_back(std::move(batch));
    }
  }
  batch_queued_.notify_all();
}

void CommandSender::run(const std::stop_token& stop) {
  for (;;) {
    CommandBatch batch;
    {
      std::unique_lock lock(mutex_);
      batch_queued_.wait(lock, stop, [this] { return !queue_.empty(); });
      if (stop.stop_requested()) return;
      batch = std::move(queue_.front());
      queue_.pop_front();
    }
    send(std::move(batch));
  }
}

CommandBatchReport CommandSender::take_report() {
  const std::lock_guard lock(mutex_);
  return std::exchange(report_, {});
}

void CommandSender::count(std::uint64_t CommandBatchReport::*counter) {
  const std::lock_guard lock(mutex_);
  ++(report_.*counter);
}

void CommandSender::send(CommandBatch batch) {
  SharedController& shared_controller = context_.controller;
  const bool may_send = shared_controller.with_lock([&](Controller& controller) {
    return controller.drop_stale_commands(batch, SteadyClock::now());
  });
  if (!may_send) {
    count(&CommandBatchReport::out_of_date);
    return;
  }
  const auto response = worker_client_.send_commands(
      batch.address, batch.fencing_token, batch.agent_incarnation, batch.commands, kCommandTimeout);
  if (response.delivery != transport::Delivery::kAnswered) {
    count(&CommandBatchReport::unanswered);
    spdlog::info("no response to command batch: machine={}", batch.machine.get());
    shared_controller.with_lock(
        [&](Controller& controller) { controller.handle_undelivered_commands(batch.machine); });
    return;
  }
  count(&CommandBatchReport::answered);
  shared_controller.with_lock([&](Controller& controller) {
    controller.handle_command_reply(batch.machine, response.heartbeat, SteadyClock::now());
  });
}

}  // namespace saddleslip
