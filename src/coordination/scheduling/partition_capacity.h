// What one controller's machines can still take, as far as the controller that routes knows.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/records.h"

namespace saddleslip::coordination {

// How well a partition suits one job.
struct PartitionFit {
  std::size_t tasks_that_fit = 0;
  // Of the machines with free capacity for a task:
  bool has_image = false;                    // on one of them the image is cached
  bool has_reachable_zone = false;           // one is in a zone that has a controller
  bool has_image_in_reachable_zone = false;  // both are true of the same machine
  // Counting also the capacity of lower-ranking tasks that could be preempted:
  bool fits_by_preemption = false;
  bool fits_by_preemption_with_image = false;
};

// The machines of one controller that are candidates for new tasks, less what was offered to that
// controller in this pass of routing. Refers to statuses that must outlive it.
class PartitionCapacity {
 public:
  explicit PartitionCapacity(base::MemberId member) : member_(std::move(member)) {}

  const base::MemberId& member() const { return member_; }
  double free_cores() const { return free_cores_; }

  // Counts the machine's free cores towards the partition's.
  void add_free_cores(const protocol::MachineStatus& machine) {
    free_cores_ += machine.free.cores();
  }
  // Makes the machine a candidate.
  void add_candidate(const protocol::MachineStatus& machine) {
    candidates_.push_back({&machine, machine.free, machine.preemptible});
  }

  PartitionFit fit(const protocol::JobSpec& spec, const std::set<std::string>& controller_zones,
                   bool may_preempt) const;
  // Deducts so many tasks of the job from free capacity, as far as there is any.
  void deduct_free(const protocol::JobSpec& spec, std::size_t tasks);
  // Deducts one task of the job from the preemptible capacity of the first machine that fits it.
  void deduct_preemptible(const protocol::JobSpec& spec);

 private:
  struct Candidate {
    const protocol::MachineStatus* machine;
    protocol::Resources free, preemptible;

    bool may_run(const protocol::JobSpec& spec) const;
    bool fits_by_preemption(const protocol::Resources& request) const;
    std::size_t tasks_that_fit(const protocol::Resources& request) const;
  };

  base::MemberId member_;
  std::vector<Candidate> candidates_;
  double free_cores_ = 0;
};

}  // namespace saddleslip::coordination
