#include "transport/http_client.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "transport/file_descriptor.h"
#include "transport/socket_stream.h"

namespace saddleslip::transport {

namespace {

constexpr std::size_t kMaxBytesOfDelete = 1 << 16;

// Connects a non-blocking socket. False if this fails or takes longer than the deadline.
bool connect_within(int socket, const sockaddr_in& to, base::Time deadline) {
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return true;
  if (errno != EINPROGRESS) return false;
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - base::SteadyClock::now());
  if (left.count() <= 0) return false;
  pollfd request{socket, POLLOUT, 0};
  if (::poll(&request, 1, static_cast<int>(left.count()) + 1) <= 0) return false;
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

}  // namespace

// One kept-alive connection; for one thread at a time. It connects again by itself when the server
// has closed it.
class HttpClient::Connection final : public httplib::ClientImpl {
 public:
  explicit Connection(const base::Address& address)
      : httplib::ClientImpl(address.host, address.port) {
    set_keep_alive(true);
    set_url_encode(false);
    set_decompress(false);
  }

  Answer call(const char* method, const std::string& path, const std::string& body,
              base::Time deadline, std::size_t max_bytes) {
    deadline_ = deadline;
    is_connected_ = socket_.is_open();
    httplib::Request request;
    request.method = method;
    request.path = path;
    if (!body.empty()) {
      request.body = body;
      request.set_header("Content-Type", "application/json");
    }
    Answer answer;
    request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
      answer.too_large = answer.body.size() + size > max_bytes;
      if (!answer.too_large) answer.body.append(data, size);
      return !answer.too_large;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (send(request, response, error)) {
      answer.sent = Sent::kYes;
      answer.status = response.status;
    } else {
      answer.sent = is_connected_ ? Sent::kMaybe : Sent::kNo;
      if (answer.too_large) answer.body = {};
    }
    return answer;
  }

 private:
  bool create_and_connect_socket(Socket& socket, httplib::Error& error) override {
    is_connected_ = false;
    error = httplib::Error::Connection;
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port_));
    if (::inet_pton(AF_INET, host_.c_str(), &to.sin_addr) != 1) return false;
    FileDescriptor descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!descriptor.is_open() || !connect_within(descriptor.get(), to, deadline_)) return false;
    const int yes = 1;
    ::setsockopt(descriptor.get(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    socket.sock = descriptor.release();  // cpp-httplib closes it
    is_connected_ = true;
    error = httplib::Error::Success;
    return true;
  }

  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream&)> callback) override {
    SocketStream stream(socket.sock);
    stream.set_deadline(deadline_);
    return callback(stream);
  }

  base::Time deadline_{};
  bool is_connected_ = false;  // did the present call have a connection?
};

HttpClient::HttpClient(base::Address address, std::size_t max_connections)
    : address_(std::move(address)), max_connections_(max_connections) {}
HttpClient::~HttpClient() = default;

Answer HttpClient::get(const std::string& path, base::Seconds timeout, std::size_t max_bytes) {
  return call("GET", path, {}, timeout, max_bytes);
}
Answer HttpClient::post(const std::string& path, const std::string& body, base::Seconds timeout,
                        std::size_t max_bytes) {
  return call("POST", path, body, timeout, max_bytes);
}
Answer HttpClient::del(const std::string& path, base::Seconds timeout) {
  return call("DELETE", path, {}, timeout, kMaxBytesOfDelete);
}

Answer HttpClient::call(const char* method, const std::string& path, const std::string& body,
                        base::Seconds timeout, std::size_t max_bytes) {
  const base::Time deadline = base::after(base::SteadyClock::now(), timeout);
  std::unique_ptr<Connection> connection = acquire(deadline);
  if (!connection) return {};
  Answer answer = connection->call(method, path, body, deadline, max_bytes);
  release(std::move(connection));
  return answer;
}

std::unique_ptr<HttpClient::Connection> HttpClient::acquire(base::Time deadline) {
  {
    std::unique_lock lock(mutex_);
    const bool is_available = released_.wait_until(
        lock, deadline, [this] { return !idle_.empty() || connections_ < max_connections_; });
    if (!is_available) return nullptr;
    if (!idle_.empty()) {
      std::unique_ptr<Connection> connection = std::move(idle_.back());
      idle_.pop_back();
      return connection;
    }
    ++connections_;
  }
  return std::make_unique<Connection>(address_);
}

void HttpClient::release(std::unique_ptr<Connection> connection) {
  {
    const std::lock_guard lock(mutex_);
    idle_.push_back(std::move(connection));
  }
  released_.notify_one();
}

}  // namespace saddleslip::transport
