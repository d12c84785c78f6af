#include "storage/partial_dependencies.h"

namespace saddleslip::storage {

using base::JobId;
using protocol::DependencyLists;
using protocol::Json;

void PartialDependencies::add(const std::string& key, const Json& list) {
  std::vector<JobId>& jobs = lists_[key];
  jobs.clear();
  for (const Json& dependency : list) {
    if (dependency.is_string()) jobs.emplace_back(dependency.get<std::string>());
  }
}

std::optional<std::vector<JobId>> PartialDependencies::take_if_complete(
    const JobId& job, const DependencyLists& set) {
  std::vector<JobId> dependencies;
  for (std::size_t number = 0; number < set.count; ++number) {
    const auto list = lists_.find(protocol::dependency_list_key(job, set.set, number));
    if (list == lists_.end()) return {};
    dependencies.insert(dependencies.end(), list->second.begin(), list->second.end());
  }
  for (std::size_t number = 0; number < set.count; ++number)
    lists_.erase(protocol::dependency_list_key(job, set.set, number));
  return dependencies;
}

}  // namespace saddleslip::storage
