// Logging to standard error through spdlog's default logger.
#pragma once

#include <spdlog/spdlog.h>

namespace saddleslip::base {

// Installs the default logger. The environment variable LOG_LEVEL sets the level: error, warn, info
// or debug. If it is not set or has another value, the level is info. Must be called once, before
// other threads log; logging itself is thread-safe.
void init_log();

}  // namespace saddleslip::base
