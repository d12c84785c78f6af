#include "simulation/command_channel.h"

namespace saddleslip::testing {

namespace {

constexpr double kDuplicateDelaySeconds = 20;

}  // namespace

void CommandChannel::send(std::size_t from, const coordination::CommandBatch& batch,
                          ControllerEndpoints& controllers) {
  if (dropping_) return;
  if (clock_.seconds() < hold_until_) {
    pending_.push_back({hold_until_, from, batch});
    return;
  }
  if (network_.is_cut(controller_name(from), "workers") ||
      network_.is_cut(controller_name(from), batch.machine.get())) {
    return;
  }
  if (is_hung(batch.machine)) {
    pending_.push_back({std::nullopt, from, batch});
    return;
  }
  deliver(from, batch, controllers);
  if (duplicating_) pending_.push_back({clock_.seconds() + kDuplicateDelaySeconds, from, batch});
}

void CommandChannel::step(ControllerEndpoints& controllers) {
  for (std::size_t i = 0; i < pending_.size();) {
    const auto& due_at = pending_[i].due_at;
    if (is_hung(pending_[i].batch.machine) || (due_at && clock_.seconds() < *due_at)) {
      ++i;
      continue;
    }
    const PendingBatch due = pending_[i];
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
    deliver(due.from, due.batch, controllers);
  }
}

bool CommandChannel::is_hung(const base::MachineId& machine) const {
  const SimulatedMachine* found = workers_.find(machine.get());
  return found && found->is_hung;
}

void CommandChannel::deliver(std::size_t from, const coordination::CommandBatch& batch,
                             ControllerEndpoints& controllers) {
  const auto reply = workers_.deliver(batch);
  if (reply) controllers.handle_command_reply(from, batch.machine, *reply);
}

}  // namespace saddleslip::testing
