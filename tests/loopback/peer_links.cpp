#include "loopback/peer_links.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

#include "loopback/socket_address.h"

namespace saddleslip::testing {

namespace {

constexpr int kPollMs = 20;  // also how soon a changed isolation takes effect
constexpr int kBacklog = 64;
constexpr std::size_t kChunkBytes = 16u << 10;

bool would_block() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

bool has_event(const std::vector<pollfd>& events, int socket, int event) {
  return std::any_of(events.begin(), events.end(), [&](const pollfd& entry) {
    return entry.fd == socket && (entry.revents & (event | POLLERR | POLLHUP)) != 0;
  });
}

int listen_on_free_port(int& port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = loopback_address(0);
  socklen_t size = sizeof address;
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      ::listen(socket, kBacklog) != 0 ||
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("no port for a link between controllers");
  port = ntohs(address.sin_port);
  return socket;
}

}  // namespace

PeerLinks::PeerLinks(std::vector<int> peer_ports)
    : peer_ports_(std::move(peer_ports)), is_isolated_(peer_ports_.size()) {
  for (std::size_t from = 0; from < peer_ports_.size(); ++from) {
    for (std::size_t to = 0; to < peer_ports_.size(); ++to) {
      if (from == to) continue;
      Listener& listener = listeners_[{from, to}];
      listener.socket = listen_on_free_port(listener.port);
    }
  }
  thread_ = std::thread([this] { forward(); });
}

PeerLinks::~PeerLinks() {
  is_stopping_ = true;
  thread_.join();
  for (const auto& [link, listener] : listeners_) ::close(listener.socket);
  for (const Connection& connection : connections_) {
    ::close(connection.there.source);
    ::close(connection.there.target);
  }
}

void PeerLinks::set_isolated(std::size_t controller, bool is_isolated) {
  is_isolated_.at(controller) = is_isolated;
}

bool PeerLinks::is_held(const Link& link) const {
  return is_isolated_[link.first] || is_isolated_[link.second];
}

std::vector<pollfd> PeerLinks::wait_for_events() {
  std::vector<pollfd> events;
  for (const auto& [link, listener] : listeners_) {
    if (!is_held(link)) events.push_back({listener.socket, POLLIN, 0});
  }
  for (const Connection& connection : connections_) {
    if (is_held(connection.link)) continue;
    for (const Flow* flow : {&connection.there, &connection.back}) {
      if (flow->pending.empty()) {
        events.push_back({flow->source, POLLIN, 0});
      } else {
        events.push_back({flow->target, POLLOUT, 0});
      }
    }
  }
  ::poll(events.data(), events.size(), kPollMs);
  return events;
}

void PeerLinks::forward() {
  while (!is_stopping_) {
    const std::vector<pollfd> events = wait_for_events();
    for (const auto& [link, listener] : listeners_) {
      if (has_event(events, listener.socket, POLLIN)) accept_connection(link, listener);
    }
    for (Connection& connection : connections_) {
      if (is_held(connection.link)) continue;
      connection.is_ended = !move(connection.there, events) || !move(connection.back, events);
      if (!connection.is_ended) continue;
      ::close(connection.there.source);
      ::close(connection.there.target);
    }
    connections_.remove_if([](const Connection& connection) { return connection.is_ended; });
  }
}

void PeerLinks::accept_connection(const Link& link, const Listener& listener) {
  const int source = ::accept4(listener.socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (source < 0) return;
  const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback_address(peer_ports_[link.second]);
  if (::connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(target);
    ::close(source);
    return;
  }
  connections_.push_back({link, {source, target, {}}, {target, source, {}}, false});
}

bool PeerLinks::move(Flow& flow, const std::vector<pollfd>& events) {
  if (flow.pending.empty()) {
    if (!has_event(events, flow.source, POLLIN)) return true;
    std::array<char, kChunkBytes> chunk{};
    const ssize_t count = ::recv(flow.source, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count <= 0) return count < 0 && would_block();
    flow.pending.assign(chunk.data(), static_cast<std::size_t>(count));
  }
  const ssize_t sent =
      ::send(flow.target, flow.pending.data(), flow.pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0) return would_block();
  flow.pending.erase(0, static_cast<std::size_t>(sent));
  return true;
}

}  // namespace saddleslip::testing
