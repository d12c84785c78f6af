// The scheduling loop of one controller.
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

// Runs scheduling rounds. Each round routes offers to the peers, makes a plan, commits it and sends
// its commands; then it finalizes jobs that have ended and removes obsolete records, within this
// controller's share of the state service's write rate. A round starts when the loop is notified,
// and at the latest when the configured period has passed.
class SchedulingLoop {
 public:
  SchedulingLoop(const DaemonContext& context, protocol::StateClient& state_client,
                 StateReplicator& replicator, CommandSender& command_sender, const PeerSyncs& peers)
      : context_(context),
        state_client_(state_client),
        replicator_(replicator),
        command_sender_(command_sender),
        peers_(peers) {}

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  using Commands = std::vector<coordination::CommandBatch>;

  // Runs one round, which may make several plans.
  void run_round(const std::stop_token& stop);
  // Makes and commits one plan. Returns whether another plan is needed in the same round.
  bool schedule_once(const std::stop_token& stop);
  // Routes offers of waiting tasks to the peers and to this controller's own pool.
  void route_offers();
  // Commits a plan. Returns the commands to send, or nothing if the commit failed or its outcome is
  // unknown.
  std::optional<Commands> commit_plan(const coordination::RoundPlan& plan,
                                      const std::stop_token& stop);
  // Commits the final states of jobs that have ended, and splits records that have grown too large.
  void finalize_jobs();
  // Removes records of jobs that have ended, if there is write budget to spare or too many such
  // records have accumulated.
  void collect_garbage(const std::stop_token& stop);
  // Reads the final states of dependencies that the cache lacks.
  void read_unresolved_dependencies();
  // Requests another round if jobs became unblocked in this one.
  void request_round_if_jobs_unblocked();

  // Returns this controller's share of the state service's write rate, in writes per second.
  double write_rate();
  // Blocks while the write rate limiter requires it or until a stop is requested. Returns the
  // budget for the next writes.
  coordination::WriteBudget await_write_budget(const std::stop_token& stop);

  const DaemonContext context_;
  protocol::StateClient& state_client_;
  StateReplicator& replicator_;
  CommandSender& command_sender_;
  const PeerSyncs& peers_;
  WriteRateLimiter write_limiter_;
  base::Seconds average_planning_time_{0};
  base::Seconds planning_time_in_round_{0};
  std::uint64_t last_jobs_unblocked_ = 0;  // the cache's counter after the last round
};

}  // namespace saddleslip
