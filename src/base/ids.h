// Types for ids, versions, tokens and counters, each of its own, so that the compiler refuses to take
// one for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace saddleslip::base {

// A value of type T that mixes with no other Strong type. `Tag` is never defined; it only tells the
// types apart. Values compare and hash as T does.
template <class Tag, class T>
class Strong {
 public:
  using value_type = T;
  constexpr Strong() = default;
  constexpr explicit Strong(T value) : value_(std::move(value)) {}
  constexpr const T& get() const { return value_; }
  auto operator<=>(const Strong&) const = default;

 private:
  T value_{};
};

using JobId = Strong<struct JobIdTag, std::string>;
using MachineId = Strong<struct MachineIdTag, std::string>;
// A controller's name in the settings; it is the same after a restart.
using MemberId = Strong<struct MemberIdTag, std::string>;

// One run of a controller's process, by the number of the lease that it took in the store when it
// started. The store never gives a number twice, so two runs of one member are never mixed up.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
// The number of a membership view; each new view has a higher one.
using Epoch = Strong<struct EpochTag, std::uint64_t>;
// Rises with each change of what a machine is told: an agent refuses commands under a lower token
// than the highest it has seen.
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
// One run of the agent's process on a machine.
using AgentIncarnation = Strong<struct AgentIncarnationTag, std::uint64_t>;
// Numbers the heartbeats of one agent incarnation.
using Sequence = Strong<struct SequenceTag, std::uint64_t>;
// Numbers the attempts to run a task; never given twice for one task.
using Attempt = Strong<struct AttemptTag, std::uint64_t>;
// A key's version in the store; 0: the key does not exist.
using Version = Strong<struct VersionTag, std::uint64_t>;
// The store's count of all changes. A key's version is the revision of its last change.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
// A lease in the store; the keys under it are removed when it ends.
using LeaseId = Strong<struct LeaseIdTag, std::uint64_t>;

// Numbers the tasks of one job, from 0.
using TaskNo = std::uint32_t;

// A task of a job.
struct TaskId {
  JobId job;
  TaskNo no = 0;
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
struct std::hash<saddleslip::base::Strong<Tag, T>> {
  std::size_t operator()(const saddleslip::base::Strong<Tag, T>& strong) const noexcept {
    return std::hash<T>{}(strong.get());
  }
};
