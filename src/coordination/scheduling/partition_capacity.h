// The free and preemptible capacity of one controller's machines, from the last statuses that the
// routing controller received.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/records.h"

namespace saddleslip::coordination {

// How many tasks of one job a partition has capacity for, and which placement preferences it meets.
struct PartitionFit {
  std::size_t tasks_that_fit = 0;
  // Whether a machine with free capacity for a task has the image cached, is in a zone that has a
  // controller, or both at once.
  bool has_image = false;
  bool in_controller_zone = false;
  bool has_image_in_controller_zone = false;
  // Whether a task fits on a machine if tasks of lower rank are preempted there, and whether that
  // is so on a machine that has the image cached.
  bool fits_by_preemption = false;
  bool fits_by_preemption_with_image = false;
};

// The candidate machines of one controller for new tasks, less the capacity for tasks that were
// offered to that controller in the current routing pass. Holds pointers to machine statuses, which
// must outlive it.
class PartitionCapacity {
 public:
  explicit PartitionCapacity(base::MemberId member) : member_(std::move(member)) {}

  const base::MemberId& member() const { return member_; }
  double free_cores() const { return free_cores_; }

  // Adds the machine's free cores to the total of the partition.
  void add_free_cores(const protocol::MachineStatus& machine) {
    free_cores_ += machine.free.cores();
  }
  // Adds the machine to the candidates for new tasks.
  void add_candidate(const protocol::MachineStatus& machine) {
    candidates_.push_back({&machine, machine.free, machine.preemptible});
  }

  // Returns how well the partition suits the job. `may_preempt` is whether the job may preempt
  // others.
  PartitionFit fit(const protocol::JobSpec& spec, const std::set<std::string>& controller_zones,
                   bool may_preempt) const;
  // Deducts the requests of `tasks` tasks of the job from the free capacity, or of as many as fit.
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
