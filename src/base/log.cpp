#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>
#include <memory>
#include <string>

namespace saddleslip::base {

void init_log() {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto logger = std::make_shared<spdlog::logger>("saddleslip", sink);
  logger->set_pattern("%H:%M:%S.%e %L %v");
  auto level = spdlog::level::info;
  if (const char* env = std::getenv("LOG_LEVEL")) {
    const std::string s = env;
    if (s == "error") level = spdlog::level::err;
    if (s == "warn") level = spdlog::level::warn;
    if (s == "debug") level = spdlog::level::debug;
  }
  logger->set_level(level);
  logger->flush_on(spdlog::level::err);
  spdlog::set_default_logger(logger);
}

}  // namespace saddleslip::base
