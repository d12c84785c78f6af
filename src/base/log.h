// Logging to standard error, as much as LOG_LEVEL says.
#pragma once

#include <spdlog/spdlog.h>

namespace saddleslip::base {

// Reads LOG_LEVEL (error, warn, info, debug; default info).
void init_log();

}  // namespace saddleslip::base
