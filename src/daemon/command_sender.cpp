#include "daemon/command_sender.h"

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
      if (queue_.size() >= kMaxQueuedBatches) break;
      queue_.push_back(std::move(batch));
    }
  }
  queued_.notify_all();
}

void CommandSender::run(const std::stop_token& stop) {
  for (;;) {
    CommandBatch batch;
    {
      std::unique_lock lock(mutex_);
      queued_.wait(lock, stop, [this] { return !queue_.empty(); });
      if (stop.stop_requested()) return;
      batch = std::move(queue_.front());
      queue_.pop_front();
    }
    send(std::move(batch));
  }
}

void CommandSender::send(CommandBatch batch) {
  SharedController& controller = context_.controller;
  const bool is_due = controller.locked(
      [&](Controller& c) { return c.drop_stale_commands(batch, SteadyClock::now()); });
  if (!is_due) return;
  const auto answer = workers_.order(batch.address, batch.fencing_token, batch.agent_incarnation,
                                     batch.commands, kCommandTimeout);
  if (answer.sent != transport::Sent::kYes) {
    spdlog::info("command batch not answered machine={}", batch.machine.get());
    controller.locked([&](Controller& c) { c.commands_lost(batch.machine); });
    return;
  }
  controller.locked([&](Controller& c) {
    c.handle_command_reply(batch.machine, answer.heartbeat, SteadyClock::now());
  });
}

}  // namespace saddleslip
