// The HTTP paths, status codes and response bodies of the interface for users.
#pragma once

#include <optional>
#include <string>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// The path to which users submit jobs. The path of a job is this path, a slash and the job id.
inline const std::string kSubmissionsPath = "/submissions";
// The suffix that turns the path of a job into the path for its cancellation.
inline const std::string kCancelSuffix = "/withdraw";

// HTTP status codes of the responses.
inline constexpr int kHttpOk = 200;          // the job was accepted before; the body has its status
inline constexpr int kHttpCreated = 201;     // the submission was accepted
inline constexpr int kHttpBadRequest = 400;  // the submission is malformed
inline constexpr int kHttpNotFound = 404;    // no such job
inline constexpr int kHttpUnprocessable = 422;  // well-formed, but the job can never run
inline constexpr int kHttpUnavailable = 503;    // the request may be retried later

// The status of a job, as users see it.
enum class JobStatus { kQueued, kRunning, kDone, kCancelled };

// Encodes the response body with the status of a job and, if given, the numbers of its tasks that
// are done and running.
std::string user_status(const JobId& id, JobStatus status, std::optional<TaskNumber> done = {},
                        std::optional<TaskNumber> running = {});

// Encodes the response body that rejects a request. Bytes of `reason` that are not valid UTF-8 are
// replaced.
std::string error_body(const std::string& reason);

}  // namespace saddleslip::protocol
