// Logging to standard error through spdlog's default logger.
#pragma once

#include <spdlog/spdlog.h>

namespace saddleslip::base {

// Installs the default logger. The environment variable LOG_LEVEL says what is logged: error, warn,
// info or debug; info if it is not set or says something else. To be called once, before any other
// thread logs; logging itself is safe from every thread.
void init_log();

}  // namespace saddleslip::base
