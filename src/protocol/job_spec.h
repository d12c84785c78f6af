// What a user submits: a job of one or more equal tasks.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/base_types.h"
#include "protocol/parse_error.h"
#include "protocol/resources.h"

namespace saddleslip::protocol {

enum class Kind {
  kArray,    // independent tasks
  kGang,     // tasks that start together or not at all
  kService,  // tasks that run until the job is cancelled
};

// Priority classes, the highest first.
enum class Rank { kCritical, kUrgent, kStandard, kIdle };

struct JobSpec {
  JobId id;
  std::string job_class;
  std::string team;
  Kind kind = Kind::kArray;
  Rank rank = Rank::kStandard;
  TaskNo tasks = 0;
  Resources request;                              // of each task
  std::optional<std::vector<std::string>> types;  // machine types that it may use; none: all
  std::optional<std::string> zone;                // the zone that it must run in; none: any
  bool one_zone = false;                          // all tasks run in one zone
  bool spread = false;                            // tasks run in zones of their own
  bool spot = false;                              // may run on spot instances
  std::string image;
  double image_gb = 0;
  Seconds estimate{0};              // expected run time of a task
  Seconds checkpoint{0};            // interval between checkpoints
  Seconds save{0};                  // time that a task needs to save its state when stopped
  std::optional<Seconds> deadline;  // after the submission
  // Jobs that must be done before any task of this one starts; each is named once.
  std::vector<JobId> dependencies;
};

// True for ids of the form run-000412: 6 to 20 digits.
bool valid_job_id(const std::string& id);

Json to_json(const JobSpec& spec);

// Unknown fields are ignored.
std::variant<JobSpec, ParseError> parse_job_spec(const Json& root);

// The same for the body of a submission.
std::variant<JobSpec, ParseError> parse_submission(const std::string& body);

// The job id in the body of a submission, also of one that parse_submission refuses. None if there
// is no valid id.
std::optional<JobId> parse_submission_id(const std::string& body);

}  // namespace saddleslip::protocol
