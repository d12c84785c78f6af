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

// The process is small, and has a thread for each connection: the usual stacks and one arena of
// memory for each thread would not fit.
void stay_small() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);
  pthread_attr_t attr;
  pthread_attr_init(&attr);
  pthread_attr_setstacksize(&attr, 192u << 10);
  pthread_setattr_default_np(&attr);
  pthread_attr_destroy(&attr);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"saddleslip, a cluster scheduler: runs one controller"};
  app.set_version_flag("--version", std::string("saddleslip ") + SADDLESLIP_VERSION);
  std::string config;
  std::optional<std::string> operators;
  bool check = false;
  app.add_option("--config", config, "the platform's settings file (JSON)")->required();
  app.add_option("--operators", operators, "the operators' own settings (YAML)")
      ->envname("SADDLESLIP_OPERATORS");
  app.add_flag("--check-config", check, "read the settings, say whether they are good, and end");
  app.footer("LOG_LEVEL sets how much is logged to standard error: error, warn, info, debug.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    return app.exit(e);
  } catch (const CLI::ParseError& e) {
    std::fprintf(stderr, "saddleslip: %s\n", e.what());
    return 2;
  }
  stay_small();
  std::signal(SIGPIPE, SIG_IGN);
  saddleslip::base::init_log();
  try {
    auto settings = saddleslip::base::load_settings(config, operators);
    const auto caution = saddleslip::base::caution(settings);
    if (caution && check) throw saddleslip::base::BadSettings(*caution);
    if (caution) spdlog::warn(*caution);
    if (check) {
      std::printf("the settings of %s are good\n", settings.member.get().c_str());
      return 0;
    }
    saddleslip::Daemon node(std::move(settings));
    node.start();
    node.wait();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "saddleslip: %s\n", e.what());
    return 1;
  }
  return 0;
}
