#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdlib>
#include <memory>
#include <string>

namespace saddleslip::base {

namespace {

spdlog::level::level_enum level_from_environment() {
  const char* value = std::getenv("LOG_LEVEL");
  const std::string level = value ? value : "";
  if (level == "error") return spdlog::level::err;
  if (level == "warn") return spdlog::level::warn;
  if (level == "debug") return spdlog::level::debug;
  return spdlog::level::info;
}

}  // namespace

void init_log() {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto logger = std::make_shared<spdlog::logger>("saddleslip", sink);
  logger->set_pattern("%H:%M:%S.%e %L %v");
  logger->set_level(level_from_environment());
  logger->flush_on(spdlog::level::err);
  spdlog::set_default_logger(logger);
}

}  // namespace saddleslip::base
