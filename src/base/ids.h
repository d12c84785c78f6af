// Distinct types for ids, versions, tokens and counters, so that the compiler rejects a value of
// one kind where another is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace saddleslip::base {

// A strong typedef: wraps a T without implicit conversions. `Tag` is an incomplete type that makes
// each instantiation distinct. Values are compared and hashed like T.
template <class Tag, class T>
class StrongType {
 public:
  using value_type = T;
  constexpr StrongType() = default;
  constexpr explicit StrongType(T value) : value_(std::move(value)) {}
  constexpr const T& get() const { return value_; }
  auto operator<=>(const StrongType&) const = default;

 private:
  T value_{};
};

// The id of a job, chosen by the user who submits it.
using JobId = StrongType<struct JobIdTag, std::string>;
// The id of a rented machine, assigned by the cloud.
using MachineId = StrongType<struct MachineIdTag, std::string>;
// The name of a controller in the settings. It stays the same after a restart.
using MemberId = StrongType<struct MemberIdTag, std::string>;

// Identifies one period in which a controller holds a lease, by the id of that lease. The state
// service never assigns a lease id twice, so two incarnations of one member are always distinct.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
// The number of a membership view. Each new view has a higher number.
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
// Orders the commands for a machine. It increases with each change of its commands, and an agent
// rejects commands with a lower token than the highest one it has received.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
// Identifies one run of the agent process on a machine.
using AgentIncarnation = StrongType<struct AgentIncarnationTag, std::uint64_t>;
// The sequence number of a heartbeat within one agent incarnation.
using Sequence = StrongType<struct SequenceTag, std::uint64_t>;
// The number of an attempt to run a task, unique among the attempts of that task.
using Attempt = StrongType<struct AttemptTag, std::uint64_t>;
// The version of a key in the state service, or 0 if the key does not exist.
using Version = StrongType<struct VersionTag, std::uint64_t>;
// The revision of the state service, which increases with each change. The version of a key is the
// revision of its last change.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
// The id of a lease in the state service, which deletes the keys attached to a lease when the lease
// ends.
using LeaseId = StrongType<struct LeaseIdTag, std::uint64_t>;

// The number of a task within its job, starting at 0.
using TaskNumber = std::uint32_t;

// Identifies a task by its job and its number in the job.
struct TaskId {
  JobId job;
  TaskNumber no = 0;
  auto operator<=>(const TaskId&) const = default;
};

}  // namespace saddleslip::base

template <>
struct std::hash<saddleslip::base::TaskId> {
  std::size_t operator()(const saddleslip::base::TaskId& task) const noexcept {
    return std::hash<std::string>{}(task.job.get()) * 31 + task.no;
  }
};

template <class Tag, class T>
struct std::hash<saddleslip::base::StrongType<Tag, T>> {
  std::size_t operator()(const saddleslip::base::StrongType<Tag, T>& strong) const noexcept {
    return std::hash<T>{}(strong.get());
  }
};
