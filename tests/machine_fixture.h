// Fixture for tests of the classes in coordination/machines: a state cache with one machine type,
// to which jobs, assignments and heartbeats can be added.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "base/settings.h"
#include "coordination/machines/machine_registry.h"
#include "coordination/scheduling/job_priorities.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

class MachineFixture : public ::testing::Test {
 protected:
  MachineFixture() : cache_(settings_) {
    protocol::MachineType type;
    type.name = "large";
    type.size.amounts = {16, 0, 64};
    type.cache_gb = 100;
    type.zones = {"a"};
    cache_.apply({protocol::kCatalogueKey, to_json(std::vector{type}), next_version()}, now_);
  }

  base::Version next_version() { return base::Version(++version_); }
  base::Time at(double seconds) const { return base::after(now_, base::Seconds(seconds)); }

  // Adds a job of four tasks that request 4 cores each.
  void add_job(const base::JobId& id, protocol::Rank rank = protocol::Rank::kUrgent,
               bool cancelled = false) {
    protocol::JobRecord record;
    auto& spec = record.spec;
    spec.id = id;
    spec.job_class = "c";
    spec.team = "t";
    spec.rank = rank;
    spec.tasks = 4;
    spec.request.amounts = {4, 0, 1};
    spec.image = "image-" + id.get();
    spec.image_gb = 1;
    record.submitted_at = 1000;
    record.cancelled = cancelled;
    cache_.apply({protocol::job_key(id), to_json(record), next_version()}, now_);
  }

  // Replaces the assignments of the job's tasks.
  void assign(const base::JobId& id, std::map<base::TaskNumber, protocol::Assignment> assignments) {
    protocol::ChunkRecord chunk;
    chunk.next_attempt = base::Attempt(100);
    chunk.done.assign(4, false);
    chunk.assigned = std::move(assignments);
    cache_.apply({protocol::chunk_record_key(id, 0), to_json(chunk, 0), next_version()}, now_);
  }

  static protocol::Assignment assignment(std::uint64_t attempt, std::uint64_t agent = 1) {
    return {kMachine, base::Attempt(attempt), base::AgentIncarnation(agent)};
  }

  protocol::Heartbeat heartbeat(std::uint64_t sequence, std::uint64_t token = 0) const {
    protocol::Heartbeat out;
    out.machine = kMachine;
    out.type = "large";
    out.zone = "a";
    out.agent_incarnation = base::AgentIncarnation(1);
    out.sequence = base::Sequence(sequence);
    out.fencing_token = base::FencingToken(token);
    return out;
  }

  static void report(protocol::Heartbeat& heartbeat, const base::TaskId& task,
                     std::uint64_t attempt, protocol::TaskState state,
                     protocol::EndCause cause = protocol::EndCause::kNone) {
    heartbeat.tasks[task].push_back({base::Attempt(attempt), state, cause});
  }

  inline static const base::MachineId kMachine{"m-1"};
  inline static const base::JobId kJob{"run-000001"};
  inline static const base::JobId kOther{"run-000002"};

  base::Settings settings_;
  storage::StateCache cache_;
  base::Time now_ = base::after(base::Time{}, base::Seconds(1000));

 private:
  std::uint64_t version_ = 0;
};

// One machine that is filled by four tasks of the idle job kOther, which started one second apart:
// the task with the highest number started last.
class FilledMachineFixture : public MachineFixture {
 protected:
  FilledMachineFixture() {
    registry_.install_view({base::FencingToken(10), at(0), true},
                           [](const base::MachineId&) { return true; });
    add_job(kOther, protocol::Rank::kIdle);
    assign(kOther,
           {{0, assignment(1)}, {1, assignment(2)}, {2, assignment(3)}, {3, assignment(4)}});
    heartbeat_ = heartbeat(0, 10);
    for (base::TaskNumber task = 0; task < 4; ++task) {
      heartbeat_.sequence = base::Sequence(task + 1);
      report(heartbeat_, {kOther, task}, task + 1, protocol::TaskState::kRunning);
      registry_.record_heartbeat(heartbeat_, HeartbeatSource::kAgent, at(task));
    }
  }

  JobPriorities priorities_{settings_, cache_};
  AttemptTracker attempts_{cache_};
  CapacityCalculator capacity_{cache_, priorities_, attempts_};
  MachineRegistry registry_{settings_, cache_, capacity_};
  protocol::Heartbeat heartbeat_;  // the machine's last one
};

}  // namespace saddleslip::coordination
