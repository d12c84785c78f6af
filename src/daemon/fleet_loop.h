// Carries out the leader's scaling plans at the cloud's interface.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

#include "daemon/shared_controller.h"
#include "daemon/state_replicator.h"
#include "protocol/clients.h"

namespace saddleslip {

// While this controller is the leader: reads the catalogue and the list of machines, releases and
// rents machines, within the rate of calls that the cloud allows.
class FleetLoop {
 public:
  FleetLoop(const DaemonContext& context, protocol::CloudClient& cloud,
            StateReplicator& replicator);

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  // A request for machines. Repeated under the same name, it rents nothing twice.
  struct RentalRequest {
    std::string name;
    coordination::MachineKind kind;
    int count = 0;
  };
  enum class RentalOutcome {
    kRented,
    kNoCapacity,  // of that kind; others may be asked for
    kRetryLater,  // not carried out, or not known whether it was
  };

  bool is_leader();
  void run_turn(const std::stop_token& stop);
  void read_catalogue();
  void read_machine_list();
  void release(std::vector<base::MachineId> machines);
  void rent(const coordination::ScalingPlan& plan, const std::stop_token& stop);
  std::deque<RentalRequest> rental_requests(const coordination::ScalingPlan& plan);
  RentalOutcome send_rental(const RentalRequest& request);

  const DaemonContext context_;
  protocol::CloudClient& cloud_;
  StateReplicator& replicator_;
  const base::Seconds call_gap_;  // between two calls
  base::Time catalogue_read_at_{};
  base::Time machine_list_read_at_{};
  std::uint64_t rental_count_ = 0;             // requests named by this process
  std::optional<RentalRequest> open_request_;  // sent; not known whether it was carried out
};

}  // namespace saddleslip
