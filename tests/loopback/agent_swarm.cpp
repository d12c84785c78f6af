#include "loopback/agent_swarm.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include "loopback/http_message.h"
#include "loopback/names.h"
#include "loopback/socket_address.h"
#include "loopback/zones.h"

namespace saddleslip::testing {

using Json = nlohmann::json;

namespace {

constexpr double kResponseTimeoutSeconds = 4.0;
constexpr double kNextControllerDelaySeconds = 1.0;
constexpr double kRedirectDelaySeconds = 0.1;
constexpr double kMinHeartbeatGapSeconds = 0.5;
constexpr double kHeartbeatIntervalJitter = 0.25;
constexpr double kMinLateSeconds = 2.0;
constexpr double kMaxLateCommandSeconds = 16.0;
constexpr int kStepMs = 10;
constexpr std::chrono::milliseconds kMinStep{1};
constexpr int kMaxEvents = 512;
constexpr int kOk = 200;
constexpr int kMisdirected = 421;

AgentSwarm::Time later(AgentSwarm::Time from, double seconds) {
  return from + std::chrono::duration_cast<AgentSwarm::Clock::duration>(
                    std::chrono::duration<double>(seconds));
}

void watch_socket(int epoll, int socket, bool wants_output, int operation) {
  epoll_event event{};
  event.events = EPOLLIN | (wants_output ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
  event.data.fd = socket;
  ::epoll_ctl(epoll, operation, socket, &event);
}

}  // namespace

AgentSwarm::AgentSwarm(Options options, ClusterLedger& ledger)
    : options_(std::move(options)),
      ledger_(ledger),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      cut_until_(options_.controller_ports.size()),
      random_(options_.seed) {
  for (std::size_t i = 0; i < options_.machines; ++i) add_machine(Clock::now());
  thread_ = std::thread([this] { run(); });
}

AgentSwarm::~AgentSwarm() {
  is_stopping_ = true;
  thread_.join();
  for (const auto& [socket, state] : sockets_) ::close(socket);
  ::close(epoll_);
}

// --- Machines

std::string AgentSwarm::zone_of(const std::string& machine) {
  return zone_by_number(std::stoul(machine.substr(2)));
}

void AgentSwarm::add_machine(Time now) {
  const std::size_t number = entries_.size();
  const std::string id = numbered_name("i-", number);
  auto entry = std::make_unique<Entry>(Entry{Agent(id, zone_of(id), ledger_, now)});
  entry->controller = number % options_.controller_ports.size();
  entry->next_heartbeat_at =
      later(now, std::uniform_real_distribution<>(0, options_.heartbeat_interval_s)(random_));
  entry->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback_address(0);
  socklen_t size = sizeof address;
  if (::bind(entry->listener, reinterpret_cast<const sockaddr*>(&address), size) != 0)
    throw std::runtime_error("cannot bind a socket for an agent");
  ::listen(entry->listener, 8);
  ::getsockname(entry->listener, reinterpret_cast<sockaddr*>(&address), &size);
  entry->port = ntohs(address.sin_port);
  sockets_[entry->listener] = {SocketKind::kListener, number, {}, {}};
  watch_socket(epoll_, entry->listener, false, EPOLL_CTL_ADD);
  index_[id] = number;
  entries_.push_back(std::move(entry));
}

std::vector<std::string> AgentSwarm::machines() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> ids;
  for (const auto& entry : entries_) {
    if (!entry->is_released) ids.push_back(entry->agent.id());
  }
  return ids;
}

std::vector<std::string> AgentSwarm::rent(const std::string& request, std::size_t count) {
  const std::lock_guard lock(mutex_);
  if (const auto known = rentals_.find(request); known != rentals_.end()) return known->second;
  std::vector<std::string> ids;
  for (; count > 0 && released_ > 0; --count, --released_) {
    add_machine(Clock::now());
    ids.push_back(entries_.back()->agent.id());
  }
  if (!ids.empty()) rentals_[request] = ids;
  return ids;
}

void AgentSwarm::release(const std::string& machine) {
  const std::lock_guard lock(mutex_);
  const auto found = index_.find(machine);
  if (found == index_.end() || entries_[found->second]->is_released) return;
  Entry& entry = *entries_[found->second];
  entry.agent.end_all_tasks();
  entry.is_released = true;
  ++released_;
  if (entry.socket >= 0) close_socket(entry.socket);
  close_socket(entry.listener);
}

// --- Faults

std::vector<AgentSwarm::Entry*> AgentSwarm::pick_machines(std::size_t count) {
  std::vector<Entry*> picked;
  for (const auto& entry : entries_) {
    if (!entry->is_released) picked.push_back(entry.get());
  }
  std::shuffle(picked.begin(), picked.end(), random_);
  if (picked.size() > count) picked.resize(count);
  return picked;
}

void AgentSwarm::hang(std::size_t count, double seconds) {
  const std::lock_guard lock(mutex_);
  for (Entry* entry : pick_machines(count)) entry->hung_until = later(Clock::now(), seconds);
}

void AgentSwarm::make_deaf(std::size_t count, double seconds) {
  const std::lock_guard lock(mutex_);
  for (Entry* entry : pick_machines(count)) entry->deaf_until = later(Clock::now(), seconds);
}

void AgentSwarm::cut_from_controller(std::size_t controller, double seconds) {
  const std::lock_guard lock(mutex_);
  cut_until_.at(controller) = later(Clock::now(), seconds);
}

void AgentSwarm::set_message_faults(const MessageFaults& faults) {
  const std::lock_guard lock(mutex_);
  message_faults_ = faults;
}

void AgentSwarm::set_zone_cut(std::size_t controller, bool is_cut) {
  const std::lock_guard lock(mutex_);
  if (is_cut) {
    controllers_of_cut_zones_.insert(controller);
  } else {
    controllers_of_cut_zones_.erase(controller);
  }
}

bool AgentSwarm::is_cut(const Entry& entry, Time now) const {
  if (now < cut_until_[entry.controller]) return true;
  return std::any_of(controllers_of_cut_zones_.begin(), controllers_of_cut_zones_.end(),
                     [&](std::size_t controller) {
                       return (entry.agent.zone() == zone_by_number(controller)) !=
                              (entry.controller == controller);
                     });
}

std::map<int, std::uint64_t> AgentSwarm::response_counts() const {
  const std::lock_guard lock(mutex_);
  return response_counts_;
}

// --- The loop

void AgentSwarm::run() {
  std::array<epoll_event, kMaxEvents> events{};
  while (!is_stopping_) {
    const int count = ::epoll_wait(epoll_, events.data(), kMaxEvents, kStepMs);
    // The sockets of a hanging machine stay readable, so that epoll_wait() does not wait.
    std::this_thread::sleep_for(kMinStep);
    const std::lock_guard lock(mutex_);
    const Time now = Clock::now();
    for (int i = 0; i < count; ++i) handle_event(events[i].data.fd, events[i].events, now);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (!entries_[i]->is_released) step(*entries_[i], i, now);
    }
    deliver_late_messages(now);
  }
}

void AgentSwarm::step(Entry& entry, std::size_t index, Time now) {
  if (!options_.ignores_leases &&
      entry.agent.expire_lease(now, std::chrono::duration<double>(options_.lease_s)))
    entry.has_changed = true;
  if (now < entry.hung_until) return;
  if (entry.agent.advance(now)) entry.has_changed = true;
  if (entry.is_waiting) {
    if (now > later(entry.sent_at, kResponseTimeoutSeconds)) {
      ++response_counts_[0];
      try_next_controller(entry, now, kNextControllerDelaySeconds);
    }
    return;
  }
  const bool is_change_due = entry.has_changed &&
                             now >= later(entry.sent_at, kMinHeartbeatGapSeconds) &&
                             now >= entry.next_due_at;
  if (now >= entry.next_heartbeat_at || is_change_due) send_heartbeat(entry, index, now);
}

void AgentSwarm::send_heartbeat(Entry& entry, std::size_t index, Time now) {
  entry.sent_at = now;
  entry.has_changed = false;
  const double jitter = std::uniform_real_distribution<>(-kHeartbeatIntervalJitter,
                                                         kHeartbeatIntervalJitter)(random_);
  entry.next_heartbeat_at = later(now, options_.heartbeat_interval_s * (1 + jitter));
  if (is_cut(entry, now)) {
    // The request hangs, and so does a new connection.
    entry.is_waiting = true;
    return;
  }
  if (entry.socket < 0)
    entry.socket = connect_to_controller(entry.controller, SocketKind::kHeartbeats, index);
  if (entry.socket < 0) return try_next_controller(entry, now, kNextControllerDelaySeconds);
  const std::string body = entry.agent.heartbeat("127.0.0.1:" + std::to_string(entry.port));
  if (std::uniform_real_distribution<>(0, 1)(random_) < message_faults_.late_heartbeat_share) {
    const double delay_s =
        std::uniform_real_distribution<>(kMinLateSeconds, options_.lease_s * 2)(random_);
    late_heartbeats_.push_back({later(now, delay_s), index, body});
  }
  entry.is_waiting = true;
  entry.sent_incarnation = entry.agent.incarnation();
  send(entry.socket, encode_post("/hello", body));
}

void AgentSwarm::handle_heartbeat_response(Entry& entry, int status, const std::string& body,
                                           Time now) {
  entry.is_waiting = false;
  ++response_counts_[status];
  if (status == kMisdirected) return follow_redirect(entry, body, now);
  if (status != kOk) return try_next_controller(entry, now, kNextControllerDelaySeconds);
  const Json response = Json::parse(body, nullptr, false);
  if (!response.is_object() || entry.sent_incarnation != entry.agent.incarnation()) return;
  if (entry.agent.handle_response(response, entry.sent_at, now) && !response["calls"].empty())
    entry.has_changed = true;
}

void AgentSwarm::follow_redirect(Entry& entry, const std::string& body, Time now) {
  const std::string owner = Json::parse(body, nullptr, false).value("trailboss", "");
  const auto found = std::find(options_.members.begin(), options_.members.end(), owner);
  const auto controller = static_cast<std::size_t>(found - options_.members.begin());
  if (found == options_.members.end() || controller == entry.controller)
    return try_next_controller(entry, now, kNextControllerDelaySeconds);
  if (entry.socket >= 0) close_socket(entry.socket);
  entry.controller = controller;
  entry.next_heartbeat_at = entry.next_due_at = later(now, kRedirectDelaySeconds);
}

void AgentSwarm::try_next_controller(Entry& entry, Time now, double delay_s) {
  if (entry.socket >= 0) close_socket(entry.socket);
  entry.is_waiting = false;
  entry.controller = (entry.controller + 1) % options_.controller_ports.size();
  entry.next_heartbeat_at = entry.next_due_at = later(now, delay_s);
}

void AgentSwarm::deliver_late_messages(Time now) {
  const auto take_due = [&](std::vector<LateMessage>& messages) {
    const auto first_due = std::partition(messages.begin(), messages.end(),
                                          [&](const auto& late) { return late.due_at > now; });
    std::vector<LateMessage> due(first_due, messages.end());
    messages.erase(first_due, messages.end());
    return due;
  };
  for (const LateMessage& late : take_due(late_heartbeats_)) {
    for (std::size_t i = 0; i < options_.controller_ports.size(); ++i) {
      const int socket = connect_to_controller(i, SocketKind::kLateCopy, late.machine);
      if (socket >= 0) send(socket, encode_post("/hello", late.body));
    }
  }
  for (const LateMessage& late : take_due(late_commands_)) {
    Entry& entry = *entries_[late.machine];
    if (!entry.is_released) entry.agent.handle_orders(Json::parse(late.body, nullptr, false), now);
  }
}

// --- Sockets

int AgentSwarm::connect_to_controller(std::size_t controller, SocketKind kind,
                                      std::size_t machine) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) return -1;
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  const sockaddr_in address = loopback_address(options_.controller_ports[controller]);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
    ::close(socket);
    return -1;
  }
  sockets_[socket] = {kind, machine, {}, {}};
  watch_socket(epoll_, socket, true, EPOLL_CTL_ADD);
  return socket;
}

void AgentSwarm::send(int socket, const std::string& bytes) {
  sockets_.at(socket).unsent += bytes;
  flush(socket);
}

void AgentSwarm::flush(int socket) {
  Socket& state = sockets_.at(socket);
  while (!state.unsent.empty()) {
    const ssize_t sent =
        ::send(socket, state.unsent.data(), state.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) break;  // the connection is not ready yet, or its error is reported by epoll
    state.unsent.erase(0, static_cast<std::size_t>(sent));
  }
  watch_socket(epoll_, socket, !state.unsent.empty(), EPOLL_CTL_MOD);
}

void AgentSwarm::close_socket(int socket) {
  const auto found = sockets_.find(socket);
  if (found == sockets_.end()) return;
  Entry& entry = *entries_[found->second.machine];
  if (entry.socket == socket) entry.socket = -1;
  sockets_.erase(found);
  ::close(socket);
}

void AgentSwarm::handle_event(int socket, std::uint32_t events, Time now) {
  const auto found = sockets_.find(socket);
  if (found == sockets_.end()) return;
  Socket& state = found->second;
  if (state.kind == SocketKind::kListener) return accept_connections(socket, state.machine);
  Entry& entry = *entries_[state.machine];
  if (now < entry.hung_until) return;
  if ((events & EPOLLOUT) != 0) flush(socket);
  bool is_closed = (events & (EPOLLERR | EPOLLHUP)) != 0;
  std::array<char, 16384> buffer{};
  ssize_t received = 0;
  while ((received = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
    state.received.append(buffer.data(), static_cast<std::size_t>(received));
  is_closed = is_closed || received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  handle_messages(socket, now);
  if (!is_closed || !sockets_.contains(socket)) return;
  const bool was_waiting = entry.socket == socket && entry.is_waiting;
  close_socket(socket);
  if (!was_waiting) return;
  ++response_counts_[0];
  try_next_controller(entry, now, kNextControllerDelaySeconds);
}

void AgentSwarm::handle_messages(int socket, Time now) {
  while (sockets_.contains(socket)) {
    Socket& state = sockets_.at(socket);
    const std::size_t machine = state.machine;
    const SocketKind kind = state.kind;
    const auto message = take_message(state.received);
    if (!message) return;
    Entry& entry = *entries_[machine];
    if (kind == SocketKind::kCommands) {
      execute_orders(socket, machine, message->body, now);
      continue;
    }
    if (message->closes_connection || kind == SocketKind::kLateCopy) close_socket(socket);
    if (kind == SocketKind::kLateCopy || now < entry.deaf_until || is_cut(entry, now)) continue;
    handle_heartbeat_response(entry, message->status(), message->body, now);
  }
}

void AgentSwarm::accept_connections(int listener, std::size_t machine) {
  for (;;) {
    const int socket = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) return;
    sockets_[socket] = {SocketKind::kCommands, machine, {}, {}};
    watch_socket(epoll_, socket, false, EPOLL_CTL_ADD);
  }
}

void AgentSwarm::execute_orders(int socket, std::size_t machine, const std::string& body,
                                Time now) {
  Entry& entry = *entries_[machine];
  if (now < entry.deaf_until) return;
  if (std::uniform_real_distribution<>(0, 1)(random_) < message_faults_.late_command_share) {
    const double delay_s =
        std::uniform_real_distribution<>(kMinLateSeconds, kMaxLateCommandSeconds)(random_);
    late_commands_.push_back({later(now, delay_s), machine, body});
    return;
  }
  const int status = entry.agent.handle_orders(Json::parse(body, nullptr, false), now);
  if (status == kOk) entry.has_changed = true;
  send(socket,
       encode_response(status, entry.agent.heartbeat("127.0.0.1:" + std::to_string(entry.port))));
}

}  // namespace saddleslip::testing
