// Tests of dependency lists that are read one at a time.
#include "storage/partial_dependencies.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

using base::JobId;
using protocol::DependencyLists;
using protocol::Json;

namespace {

const JobId kJob("run-000001");
const DependencyLists kTwoLists{"set", 2};

std::string key_of(std::size_t number) {
  return protocol::dependency_list_key(kJob, kTwoLists.set, number);
}

}  // namespace

TEST(PartialDependencies, TakeReturnsNothingWhileAListIsMissing) {
  PartialDependencies lists;
  lists.add(key_of(1), Json::array({"c"}));
  EXPECT_FALSE(lists.take_if_complete(kJob, kTwoLists));
  lists.add(key_of(0), Json::array({"a", "b"}));
  EXPECT_EQ(lists.take_if_complete(kJob, kTwoLists),
            (std::vector{JobId("a"), JobId("b"), JobId("c")}));
  EXPECT_FALSE(lists.take_if_complete(kJob, kTwoLists)) << "taken lists are removed";
}

TEST(PartialDependencies, ListOfAnotherSetIsNotTaken) {
  PartialDependencies lists;
  lists.add(protocol::dependency_list_key(kJob, "other", 0), Json::array({"x"}));
  lists.add(key_of(1), Json::array({"c"}));
  EXPECT_FALSE(lists.take_if_complete(kJob, kTwoLists));
}

TEST(PartialDependencies, RemovedListCountsAsMissing) {
  PartialDependencies lists;
  lists.add(key_of(0), Json::array({"a"}));
  lists.add(key_of(1), Json::array({"b"}));
  lists.remove(key_of(0));
  EXPECT_FALSE(lists.take_if_complete(kJob, kTwoLists));
}

TEST(PartialDependencies, ElementsThatAreNotStringsAreIgnored) {
  PartialDependencies lists;
  lists.add(key_of(0), Json::array({"a", 7, nullptr}));
  lists.add(key_of(1), Json::array());
  EXPECT_EQ(lists.take_if_complete(kJob, kTwoLists), std::vector{JobId("a")});
}

}  // namespace saddleslip::storage
