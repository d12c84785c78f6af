// Test fixture with jobs, settings and a state cache for the unit tests of scheduling.
#pragma once

#include <gtest/gtest.h>

#include "coordination/scheduling/failure_tracker.h"
#include "coordination/scheduling/job_priorities.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// A state cache that a test changes by applying job records, as changes from the state service are
// applied.
class SchedulingTest : public ::testing::Test {
 protected:
  static protocol::JobSpec make_spec(const base::JobId& id, base::TaskNumber tasks, double cores) {
    protocol::JobSpec spec;
    spec.id = id;
    spec.job_class = "class";
    spec.team = "team";
    spec.rank = protocol::Rank::kStandard;
    spec.tasks = tasks;
    spec.request.amounts = {cores, 0, 1};
    spec.image = "image";
    spec.estimate = base::Seconds(20);
    return spec;
  }
  const storage::Job& add_job(const protocol::JobSpec& spec) {
    protocol::JobRecord record;
    record.spec = spec;
    record.submitted_at = 1000;
    cache_.apply({protocol::job_key(spec.id), to_json(record), base::Version(++revision_)}, now_);
    return *cache_.job(spec.id);
  }
  void remove_job(const base::JobId& id) {
    cache_.apply({protocol::job_key(id), protocol::Json(), base::Version(++revision_)}, now_);
  }

  base::Settings settings_;
  storage::StateCache cache_{settings_};
  JobPriorities priorities_{settings_, cache_};
  FailureTracker failures_;
  base::Time now_ = base::after(base::Time{}, base::Seconds(50));
  std::uint64_t revision_ = 0;
};

}  // namespace saddleslip::coordination
