// The machines that report to this process: what they last said, and what they were last told.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "bookkeeping/ledger.h"

namespace saddleslip::bookkeeping {

using base::Seconds;
using base::Sequence;
using base::Session;
using base::Token;
using protocol::Report;

struct Machine {
  Report last;
  Time heard{};     // when the newest report came
  Time answered{};  // when a report was last answered with 200 by anyone who may have done so
  Time first_heard{};
  Time idle_since{};
  std::optional<Time> taken_at;  // when the cloud's notice says that the machine goes
  // Tokens. A direct order is given under a token of its own; the next answer carries a higher one.
  // Once the worker has shown that, no copy of the order can be carried out any more.
  Token token;  // for the next answer or order
  Token floor;  // what the worker must have shown for "fenced"
  bool closed = false;     // takes no new tasks
  bool give_back = false;  // its release was asked for
  std::set<TaskId> evict;  // tasks to be stopped, though their jobs live on
  std::map<TaskId, Time> ran;  // when a task was first seen running
  std::set<JobId> failed_jobs;  // whose tasks failed here since the last success
  int errors = 0;
  bool sick = false;

  bool fenced() const { return last.token >= floor; }
};

}  // namespace saddleslip::bookkeeping
