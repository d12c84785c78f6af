// The program's entry: command line, settings, and one daemon.
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
constexpr int kExitUsage = 2;

constexpr std::size_t kThreadStackBytes = 192u << 10;
constexpr int kTrimThresholdBytes = 256 * 1024;  // free memory beyond this goes back to the system

struct Options {
  std::string settings_path;
  std::optional<std::string> operators_path;
  bool only_checks = false;  // reads the settings and ends
};

// The process has little memory and hundreds of threads: stacks of the usual size, and one arena of
// the allocator for each thread, would not fit. Must be called before the first thread is started.
void limit_memory() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
}

// Fills the options. Returns the exit status if the program is to end here: after a usage error, or
// after help or the version was printed.
std::optional<int> parse_command_line(int argc, char** argv, Options& options) {
  CLI::App app{"saddleslip, a cluster scheduler: runs one controller"};
  app.set_version_flag("--version", std::string("saddleslip ") + SADDLESLIP_VERSION);
  app.add_option("--config", options.settings_path, "the platform's settings file (JSON)")
      ->required();
  app.add_option("--operators", options.operators_path, "the operators' own settings (YAML)")
      ->envname("SADDLESLIP_OPERATORS");
  app.add_flag("--check-config", options.only_checks,
               "read the settings, say whether they are good, and end");
  app.footer("LOG_LEVEL sets how much is logged to standard error: error, warn, info, debug.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::fprintf(stderr, "saddleslip: %s\n", e.what());
    return kExitUsage;
  }
  return {};
}

// Runs the controller, or only checks its settings. Throws if the settings are bad or an address
// cannot be listened on.
void run(const Options& options) {
  auto settings = base::load_settings(options.settings_path, options.operators_path);
  const auto caution = base::caution(settings);
  if (caution && options.only_checks) throw base::BadSettings(*caution);
  if (caution) spdlog::warn(*caution);
  if (options.only_checks) {
    std::printf("the settings of %s are good\n", settings.member.get().c_str());
    return;
  }
  saddleslip::Daemon daemon(std::move(settings));
  daemon.start();
  // SIGTERM keeps its default action, which ends the process at once: all state that must outlast
  // it is in the store, and the peers take over when its lease has expired.
  daemon.wait();
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  if (const auto exit_status = parse_command_line(argc, argv, options)) return *exit_status;
  limit_memory();
  std::signal(SIGPIPE, SIG_IGN);
  base::init_log();
  try {
    run(options);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "saddleslip: %s\n", e.what());
    return kExitFailure;
  }
  return 0;
}
