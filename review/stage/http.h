// A small HTTP/1.1 server and client on blocking sockets, for the stand-ins. The server may leave a
// request unanswered, which a library server can't.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

inline Time later(Time from, double seconds) {
  return from + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}
inline double since(Time from) {
  return std::chrono::duration<double>(Clock::now() - from).count();
}
inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a listening socket on a free port of the loopback address.
inline int listen_on_free_port(int& port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
  ::listen(socket, 256);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

inline int connect_to(int port, double timeout_s) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{socket, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(socket);
      return -1;
    }
  }
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return socket;
}

inline bool send_all(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      pollfd wait{socket, POLLOUT, 0};
      if (::poll(&wait, 1, 3000) > 0) continue;
    }
    return false;
  }
  return true;
}

struct Message {
  std::string first_line, body;
  int retry_after_s = 0;
  bool closes = false;
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

// Reads one message; bytes beyond it stay in `buffer`.
inline std::optional<Message> read_message(int socket, std::string& buffer, Time deadline) {
  for (;;) {
    const auto end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::string head = buffer.substr(0, end);
      for (char& c : head) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const auto header = [&](const std::string& name) -> std::string {
        const auto at = head.find("\r\n" + name + ":");
        if (at == std::string::npos) return "";
        const auto from = at + name.size() + 3;
        return head.substr(from, head.find("\r\n", from) - from);
      };
      const auto length = static_cast<std::size_t>(std::atol(header("content-length").c_str()));
      if (buffer.size() >= end + 4 + length) {
        Message message;
        message.first_line = buffer.substr(0, buffer.find("\r\n"));
        message.body = buffer.substr(end + 4, length);
        message.retry_after_s = std::atoi(header("retry-after").c_str());
        message.closes = header("connection").find("close") != std::string::npos;
        buffer.erase(0, end + 4 + length);
        return message;
      }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
    if (left.count() <= 0) return {};
    pollfd wait{socket, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(left.count()) + 1) <= 0) continue;
    char bytes[16384];
    const ssize_t count = ::recv(socket, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) return {};
    if (count > 0) buffer.append(bytes, static_cast<std::size_t>(count));
  }
}

struct Answer {
  int status = 200;
  std::string body;
};

// Answers requests with a handler, one thread for each connection. No answer closes the connection.
class Server {
 public:
  using Handler = std::function<std::optional<Answer>(const std::string& method,
                                                      const std::string& path,
                                                      const std::string& body)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = listen_on_free_port(port_);
    thread_ = std::thread([this] { accept_all(); });
  }
  ~Server() { stop(); }
  int port() const { return port_; }
  void stop() {
    if (stopping_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int socket : sockets_) ::shutdown(socket, SHUT_RDWR);
    }
    while (active_ > 0) sleep_s(0.005);
  }

 private:
  void accept_all() {
    while (!stopping_) {
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      const int enabled = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      {
        const std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
      }
      ++active_;
      std::thread([this, socket] { serve(socket); }).detach();
    }
  }
  void serve(int socket) {
    std::string buffer;
    while (!stopping_) {
      const auto message = read_message(socket, buffer, later(Clock::now(), 120));
      if (!message) break;
      const auto space = message->first_line.find(' ');
      const auto end = message->first_line.rfind(' ');
      const auto answer = handler_(message->first_line.substr(0, space),
                                   message->first_line.substr(space + 1, end - space - 1),
                                   message->body);
      if (!answer) break;
      if (!send_all(socket, "HTTP/1.1 " + std::to_string(answer->status) +
                                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body) ||
          message->closes)
        break;
    }
    {
      const std::lock_guard lock(mutex_);
      sockets_.remove(socket);
      ::close(socket);
    }
    --active_;
  }

  const Handler handler_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> active_{0};
  std::mutex mutex_;
  std::list<int> sockets_;
  std::thread thread_;
};

// One persistent connection to a server. Used by one thread.
class Client {
 public:
  ~Client() { close(); }
  // Returns the response, or nothing if there was none within the time.
  std::optional<Message> call(int port, const std::string& method, const std::string& path,
                              const std::string& body, double timeout_s) {
    const Time deadline = later(Clock::now(), timeout_s);
    if (socket_ >= 0 && (port != port_ || is_closed())) close();
    if (socket_ < 0) {
      buffer_.clear();
      socket_ = connect_to(port, timeout_s);
      port_ = port;
    }
    if (socket_ < 0) return {};
    const std::string request = method + " " + path +
                                " HTTP/1.1\r\nHost: localhost\r\nContent-Type: application/json\r\n"
                                "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    std::optional<Message> message;
    if (send_all(socket_, request)) message = read_message(socket_, buffer_, deadline);
    if (!message || message->closes) close();
    return message;
  }
  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }

 private:
  bool is_closed() const {
    pollfd wait{socket_, POLLIN, 0};
    return ::poll(&wait, 1, 0) > 0;
  }
  int socket_ = -1, port_ = 0;
  std::string buffer_;
};

// A TCP proxy on a port of its own. While it is held, nothing passes and no connection is made;
// what was sent on open connections passes afterwards.
class Link {
 public:
  explicit Link(std::function<int()> target_port) : target_(std::move(target_port)) {
    listener_ = listen_on_free_port(port_);
    thread_ = std::thread([this] { accept_all(); });
  }
  ~Link() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    reset();
    while (active_ > 0) {
      sleep_s(0.005);
      reset();
    }
  }
  int port() const { return port_; }
  void hold(bool is_held) { held_ = is_held; }
  // While refusing, new connections are closed at once.
  void refuse(bool is_refusing) { refusing_ = is_refusing; }
  // Ends all open connections.
  void reset() {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) ::shutdown(socket, SHUT_RDWR);
  }

 private:
  void accept_all() {
    while (!stopping_) {
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      if (refusing_) {
        const linger none{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        ::close(socket);
        continue;
      }
      ++active_;
      std::thread([this, socket] { carry(socket); }).detach();
    }
  }
  void carry(int socket) {
    // A connection attempt that was given up does not complete later.
    while (held_ && !stopping_) sleep_s(0.01);
    pollfd state{socket, POLLRDHUP, 0};
    const bool given_up = ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLERR));
    const int peer = stopping_ || given_up ? -1 : connect_to(target_(), 1.0);
    if (peer >= 0) {
      const int enabled = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      {
        const std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
        sockets_.push_back(peer);
      }
      std::thread other([&] { pump(socket, peer); });
      pump(peer, socket);
      other.join();
      const std::lock_guard lock(mutex_);
      sockets_.remove(socket);
      sockets_.remove(peer);
      ::close(peer);
      ::close(socket);
    } else {
      const linger none{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
      ::close(socket);
    }
    --active_;
  }
  void pump(int from, int to) {
    char bytes[16384];
    for (;;) {
      pollfd wait{from, POLLIN, 0};
      if (::poll(&wait, 1, 200) == 0) {
        if (stopping_) break;
        continue;
      }
      const ssize_t count = ::recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) continue;
      while (held_ && !stopping_) sleep_s(0.005);
      if (count <= 0) break;
      if (!send_all(to, std::string(bytes, static_cast<std::size_t>(count)))) break;
    }
    ::shutdown(to, SHUT_WR);
  }

  const std::function<int()> target_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> stopping_{false}, held_{false}, refusing_{false};
  std::atomic<int> active_{0};
  std::mutex mutex_;
  std::list<int> sockets_;
  std::thread thread_;
};

}  // namespace stage
