// Small types of their own for ids, versions, tokens and counts, so that one is never passed for
// another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace saddleslip::base {

template <class Tag, class T>
class Strong {
 public:
  using value_type = T;
  constexpr Strong() = default;
  constexpr explicit Strong(T v) : v_(std::move(v)) {}
  constexpr const T& get() const { return v_; }
  auto operator<=>(const Strong&) const = default;

 private:
  T v_{};
};

using JobId = Strong<struct JobIdTag, std::string>;
using MachineId = Strong<struct MachineIdTag, std::string>;
using MemberId = Strong<struct MemberIdTag, std::string>;

// A process's life: the number of the store's lease that it took when it started. The store never
// gives a number twice, so two lives of one member are never mixed up.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
using Epoch = Strong<struct EpochTag, std::uint64_t>;
using FencingToken = Strong<struct FencingTokenTag, std::uint64_t>;
using AgentIncarnation = Strong<struct AgentIncarnationTag, std::uint64_t>;
using Sequence = Strong<struct SequenceTag, std::uint64_t>;
using Attempt = Strong<struct AttemptTag, std::uint64_t>;
// A key's version in the store; 0: the key does not exist.
using Version = Strong<struct VersionTag, std::uint64_t>;
// The store's count of all changes.
using Revision = Strong<struct RevisionTag, std::uint64_t>;
using LeaseId = Strong<struct LeaseIdTag, std::uint64_t>;

using TaskNo = std::uint32_t;

struct TaskId {
  JobId job;
  TaskNo no = 0;
  auto operator<=>(const TaskId&) const = default;
};

}  // namespace saddleslip::base

template <>
struct std::hash<saddleslip::base::TaskId> {
  std::size_t operator()(const saddleslip::base::TaskId& t) const noexcept {
    return std::hash<std::string>{}(t.job.get()) * 31 + t.no;
  }
};

template <class Tag, class T>
struct std::hash<saddleslip::base::Strong<Tag, T>> {
  std::size_t operator()(const saddleslip::base::Strong<Tag, T>& s) const noexcept {
    return std::hash<T>{}(s.get());
  }
};
