#include "loopback/controller_processes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <random>

#include "loopback/socket_address.h"
#include "loopback/zones.h"

namespace saddleslip::testing {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kLimiterPeriod{50};

// The ranges from which the operators' settings of a controller are drawn. A part of the controllers
// gets the shortest TTL and the others a long one, since the difference matters.
constexpr double kShortestTtlShare = 0.5;
constexpr double kMinTtlSeconds = 1;
constexpr double kMinRoundSeconds = 0.2;
constexpr double kMaxRoundSeconds = 10;
constexpr double kMaxRecordWithinSeconds = 20;

// The range of the controllers' ports. It is below the range from which the system takes the ports
// of outgoing connections, which could otherwise occupy the port of a controller that is down.
constexpr int kFirstPort = 12'000;
constexpr int kPorts = 20'000;

// Returns a socket of this type that is bound to the port, or -1 if the port is in use.
int bind_socket(int type, int port) {
  const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback_address(port);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
    return socket;
  ::close(socket);
  return -1;
}

std::string loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string member_name(std::size_t controller) {
  return "n-" + std::to_string(controller);
}

}  // namespace

ReservedPort::ReservedPort() {
  static std::atomic<int> next{static_cast<int>(::getpid()) * 16};
  while (guard_ < 0) {
    port_ = kFirstPort + next++ % kPorts;
    guard_ = bind_socket(SOCK_DGRAM, port_);
    const int listener = guard_ < 0 ? -1 : bind_socket(SOCK_STREAM, port_);
    if (listener >= 0) {
      ::close(listener);
    } else if (guard_ >= 0) {
      ::close(guard_);
      guard_ = -1;
    }
  }
}

ReservedPort::~ReservedPort() {
  ::close(guard_);
}

ControllerProcesses::ControllerProcesses(Options options) : options_(std::move(options)) {
  processes_ = std::vector<Process>(options_.state_ports.size());
  if (options_.settings_seed) {
    std::vector<int> peer_ports;
    for (const Process& process : processes_) peer_ports.push_back(process.peer_port.number());
    links_ = std::make_unique<PeerLinks>(std::move(peer_ports));
  }
  if (options_.processor_share < 1) limiter_ = std::thread([this] { limit_processor_time(); });
}

ControllerProcesses::~ControllerProcesses() {
  is_stopping_ = true;
  if (limiter_.joinable()) limiter_.join();
  kill_all();
}

void ControllerProcesses::kill_all() {
  for (std::size_t i = 0; i < processes_.size(); ++i) kill(i);
}

std::vector<std::string> ControllerProcesses::members() const {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < processes_.size(); ++i) names.push_back(member_name(i));
  return names;
}

std::vector<int> ControllerProcesses::ports() const {
  std::vector<int> ports;
  for (const Process& process : processes_) ports.push_back(process.port.number());
  return ports;
}

std::string ControllerProcesses::write_settings(std::size_t controller) const {
  Json siblings = Json::array();
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (i == controller) continue;
    siblings.push_back({{"member", member_name(i)},
                        {"area", zone_by_number(i)},
                        {"address", loopback(links_ ? links_->port(controller, i)
                                                    : processes_[i].peer_port.number())}});
  }
  const Json root = {
      {"member", member_name(controller)},
      {"area", zone_by_number(controller)},
      {"serve_on", loopback(processes_[controller].port.number())},
      {"peer_listen", loopback(processes_[controller].peer_port.number())},
      {"siblings", siblings},
      {"endpoints",
       {{"cloud", loopback(cloud_port_)}, {"state", loopback(options_.state_ports[controller])}}},
      {"settings", options_.settings}};
  std::string path = options_.folder + "/" + member_name(controller) + ".json";
  std::ofstream(path) << root.dump(2);
  return path;
}

std::string ControllerProcesses::write_operator_settings(std::size_t controller) const {
  std::string path = options_.folder + "/" + member_name(controller) + ".yaml";
  std::ofstream file(path);
  // Machines stay when they are idle.
  file << "idle_return_s: 3600\n";
  if (!options_.settings_seed) return path;
  std::seed_seq seed{*options_.settings_seed, static_cast<std::uint64_t>(controller),
                     processes_[controller].starts};
  std::mt19937_64 random(seed);
  const auto draw = [&](double min, double max) {
    return std::uniform_real_distribution<>(min, max)(random);
  };
  const bool is_short = draw(0, 1) < kShortestTtlShare;
  file << "member_ttl_s: "
       << (is_short ? kMinTtlSeconds
                    : draw(options_.max_member_ttl_s / 2, options_.max_member_ttl_s))
       << "\nround_period_s: " << draw(kMinRoundSeconds, kMaxRoundSeconds)
       << "\nrecord_within_s: " << draw(0, kMaxRecordWithinSeconds) << "\n";
  return path;
}

void ControllerProcesses::set_isolated(std::size_t controller, bool is_isolated) {
  if (links_) links_->set_isolated(controller, is_isolated);
}

void ControllerProcesses::start(std::size_t controller) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(controller);
  if (process.pid != 0) return;
  const std::string settings = write_settings(controller);
  const std::string operators = write_operator_settings(controller);
  ++process.starts;
  const std::string log = options_.folder + "/" + member_name(controller) + ".log";
  const pid_t pid = ::fork();
  if (pid == 0) {
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, STDERR_FILENO);
    ::setenv("LOG_LEVEL", options_.log_level.c_str(), 1);
    ::execl(options_.program.c_str(), options_.program.c_str(), "--config", settings.c_str(),
            "--operators", operators.c_str(), nullptr);
    ::_exit(127);
  }
  process.pid = pid;
  process.is_paused = false;
}

void ControllerProcesses::kill(std::size_t controller) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(controller);
  if (process.pid == 0) return;
  if (check_ended(controller)) return;
  check_memory(controller);
  ::kill(process.pid, SIGKILL);
  ::waitpid(process.pid, nullptr, 0);
  process.pid = 0;
}

bool ControllerProcesses::check_ended(std::size_t controller) {
  Process& process = processes_[controller];
  int status = 0;
  if (::waitpid(process.pid, &status, WNOHANG) != process.pid) return false;
  unexpected_ends_.push_back(member_name(controller) + " ended by itself, wait status " +
                             std::to_string(status));
  process.pid = 0;
  return true;
}

void ControllerProcesses::pause(std::size_t controller) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(controller);
  if (process.pid == 0) return;
  process.is_paused = true;
  ::kill(process.pid, SIGSTOP);
}

void ControllerProcesses::resume(std::size_t controller) {
  const std::lock_guard lock(mutex_);
  Process& process = processes_.at(controller);
  if (process.pid == 0) return;
  process.is_paused = false;
  ::kill(process.pid, SIGCONT);
}

std::vector<std::string> ControllerProcesses::unexpected_ends() {
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (processes_[i].pid == 0) continue;
    check_memory(i);
    check_ended(i);
  }
  return unexpected_ends_;
}

std::size_t ControllerProcesses::peak_memory_bytes(std::size_t controller) {
  const std::lock_guard lock(mutex_);
  return peak_memory_of(processes_.at(controller).pid);
}

void ControllerProcesses::check_memory(std::size_t controller) {
  constexpr double kBytesPerMegabyte = 1 << 20;
  const double peak_mb =
      static_cast<double>(peak_memory_of(processes_[controller].pid)) / kBytesPerMegabyte;
  if (peak_mb <= options_.memory_mb) return;
  unexpected_ends_.push_back(member_name(controller) + " used " + std::to_string(peak_mb) +
                             " MB of memory");
}

std::size_t ControllerProcesses::peak_memory_of(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  constexpr std::size_t kBytesPerKilobyte = 1024;
  const std::string field = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) return std::stoul(line.substr(field.size())) * kBytesPerKilobyte;
  }
  return 0;
}

void ControllerProcesses::limit_processor_time() {
  const auto signal_all = [this](int signal) {
    const std::lock_guard lock(mutex_);
    for (const Process& process : processes_) {
      if (process.pid != 0 && !process.is_paused) ::kill(process.pid, signal);
    }
  };
  while (!is_stopping_) {
    signal_all(SIGCONT);
    std::this_thread::sleep_for(kLimiterPeriod * options_.processor_share);
    signal_all(SIGSTOP);
    std::this_thread::sleep_for(kLimiterPeriod * (1 - options_.processor_share));
  }
  signal_all(SIGCONT);
}

}  // namespace saddleslip::testing
