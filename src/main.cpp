// Entry point of the program: parses the command line, loads the settings and runs one daemon.
#include <malloc.h>
#include <pthread.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <optional>
#include <string>

#include "base/log.h"
#include "base/settings.h"
#include "daemon/daemon.h"

namespace {

namespace base = saddleslip::base;

constexpr int kExitFailure = 1;
constexpr int kExitUsageError = 2;

constexpr std::size_t kThreadStackBytes = 192u << 10;
// Free heap memory above this amount is returned to the system.
constexpr int kTrimThresholdBytes = 256 * 1024;

// The options of the command line.
struct Options {
  std::string settings_path;
  std::optional<std::string> operators_path;
  bool check_only = false;  // check the settings and exit
};

// Reduces the memory use of threads. The process has little memory and hundreds of threads, so
// stacks of the default size and a malloc arena per thread would not fit. Must be called before the
// first thread is started.
void limit_thread_memory() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
}

// Parses the command line into `options`. Returns an exit status if the program must exit now,
// either after a usage error or because help or the version was printed.
std::optional<int> parse_command_line(int argc, char** argv, Options& options) {
  CLI::App app{"saddleslip, a cluster scheduler: runs one controller"};
  app.set_version_flag("--version", std::string("saddleslip ") + SADDLESLIP_VERSION);
  app.add_option("--config", options.settings_path, "the platform's settings file (JSON)")
      ->required();
  app.add_option("--operators", options.operators_path, "the operators' own settings (YAML)")
      ->envname("SADDLESLIP_OPERATORS");
  app.add_flag("--check-config", options.check_only,
               "check the settings, report the result and exit");
  app.footer("The environment variable LOG_LEVEL sets the log level: error, warn, info or debug.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& error) {
    return app.exit(error);
  } catch (const CLI::ParseError& error) {
    std::fprintf(stderr, "saddleslip: %s\n", error.what());
    return kExitUsageError;
  }
  return {};
}

// Runs the controller, or only checks its settings. Throws if the settings are invalid or an
// address cannot be bound.
void run(const Options& options) {
  auto settings = base::load_settings(options.settings_path, options.operators_path);
  const auto warning = base::cancellation_time_warning(settings);
  if (warning && options.check_only) throw base::BadSettings(*warning);
  if (warning) spdlog::warn(*warning);
  if (options.check_only) {
    std::printf("the settings of %s are good\n", settings.member.get().c_str());
    return;
  }
  saddleslip::Daemon daemon(std::move(settings));
  daemon.start();
  // SIGTERM keeps its default action, which terminates the process immediately. This is safe: all
  // durable state is in the state service, and the peers take over once this controller's lease
  // expires.
  daemon.wait();
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  if (const auto exit_status = parse_command_line(argc, argv, options)) return *exit_status;
  limit_thread_memory();
  std::signal(SIGPIPE, SIG_IGN);
  base::init_log();
  try {
    run(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "saddleslip: %s\n", error.what());
    return kExitFailure;
  }
  return 0;
}
