// The scheduling rounds of one controller.
#pragma once

#include <cstdint>
#include <optional>
#include <stop_token>
#include <vector>

#include "daemon/command_sender.h"
#include "daemon/peer_sync.h"
#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "daemon/write_rate_limiter.h"
#include "protocol/clients.h"

namespace saddleslip {

// Each round routes offers to the peers, plans, commits the plan and sends its commands; then
// finalizes jobs that are over and collects garbage, within this controller's share of the state
// service's write rate. A round begins when notified, at the latest after the configured period.
class SchedulingLoop {
 public:
  SchedulingLoop(const DaemonContext& context, protocol::StateClient& state,
                 StateReplicator& replicator, CommandSender& commands, const PeerSyncs& peers)
      : context_(context),
        state_(state),
        replicator_(replicator),
        commands_(commands),
        peers_(peers) {}

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  using Commands = std::vector<coordination::CommandBatch>;

  void run_round(const std::stop_token& stop);
  // Plans and commits once. Returns whether another plan is due within the same round.
  bool schedule_once(const std::stop_token& stop);
  void route_offers();
  // Returns the commands to send, or nothing if the plan was not certainly committed.
  std::optional<Commands> commit_plan(const coordination::RoundPlan& plan,
                                      const std::stop_token& stop);
  void finalize_jobs();
  void collect_garbage(const std::stop_token& stop);
  void read_unresolved_dependencies();
  void notify_if_jobs_unblocked();

  // This controller's share of the state service's write rate, in writes per second.
  double write_rate();
  // Waits while the debt of writes is too large, or until a stop is requested.
  coordination::WriteBudget await_write_budget(const std::stop_token& stop);

  const DaemonContext context_;
  protocol::StateClient& state_;
  StateReplicator& replicator_;
  CommandSender& commands_;
  const PeerSyncs& peers_;
  WriteRateLimiter write_limiter_;
  base::Seconds average_planning_time_{0};
  std::uint64_t jobs_unblocked_ = 0;  // as counted by the cache after the last round
};

}  // namespace saddleslip
