// Executes the leader's scaling plans through the cloud's API.
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

// While this controller is the leader, reads the catalogue of machine types and the list of rented
// machines, and releases and rents machines, within the call rate that the cloud allows.
class FleetLoop {
 public:
  FleetLoop(const DaemonContext& context, protocol::CloudClient& cloud_client,
            StateReplicator& replicator);

  // Runs on a thread of its own until a stop is requested.
  void run(const std::stop_token& stop);

 private:
  // A request to rent machines. The name is an idempotency key: a request that is repeated with the
  // same name rents nothing more.
  struct RentalRequest {
    std::string name;
    coordination::MachineKind kind;
    int count = 0;
  };
  enum class RentalOutcome {
    kRented,
    kNoCapacity,  // the cloud has none of this type and zone; others may be available
    kRetryLater,  // refused, or the outcome is unknown
  };

  // Returns whether this controller is the leader now.
  bool is_leader();
  // Reads the catalogue and the machine list if they are due, then executes one scaling plan.
  void run_iteration(const std::stop_token& stop);
  // Reads the catalogue from the cloud and commits it to the state service if it has changed.
  void read_catalogue();
  // Reads the list of rented machines from the cloud into the controller.
  void read_machine_list();
  // Releases machines with one call to the cloud; those beyond the limit of a call are left for
  // later.
  void release_machines(std::vector<base::MachineId> machines);
  // Rents the machines of the plan, and commits the record of machines that are booting.
  void rent_machines(const coordination::ScalingPlan& plan, const std::stop_token& stop);
  // Splits the plan into requests. A request whose outcome is unknown comes first.
  std::deque<RentalRequest> make_rental_requests(const coordination::ScalingPlan& plan);
  // Sends one rental request and reports the result to the controller.
  RentalOutcome send_rental_request(const RentalRequest& request);

  const DaemonContext context_;
  protocol::CloudClient& cloud_client_;
  StateReplicator& replicator_;
  const base::Seconds call_interval_;  // minimum time between two calls to the cloud
  base::Time catalogue_read_at_{};     // the start of the last read that was committed
  base::Time machine_list_read_at_{};
  std::uint64_t last_rental_number_ = 0;             // number in the latest request's name
  std::optional<RentalRequest> unresolved_request_;  // sent, but its outcome is unknown
};

}  // namespace saddleslip
