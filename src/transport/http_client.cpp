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

constexpr std::size_t kMaxDeleteResponseBytes = 1 << 16;

// Connects a non-blocking socket. Returns false if this fails or the deadline passes first.
bool connect_before(int socket, const sockaddr_in& server_address, base::Time deadline) {
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&server_address),
                sizeof server_address) == 0)
    return true;
  if (errno != EINPROGRESS) return false;
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - base::SteadyClock::now());
  if (remaining.count() <= 0) return false;
  pollfd request{socket, POLLOUT, 0};
  if (::poll(&request, 1, static_cast<int>(remaining.count()) + 1) <= 0) return false;
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

}  // namespace

// One persistent connection, used by one thread at a time. It reconnects automatically if the
// server has closed it.
class HttpClient::Connection final : public httplib::ClientImpl {
 public:
  explicit Connection(const base::Address& address)
      : httplib::ClientImpl(address.host, address.port) {
    set_keep_alive(true);
    set_url_encode(false);
    set_decompress(false);
  }

  // Sends one request and waits for the response until the deadline.
  HttpResult call(const char* method, const std::string& path, const std::string& body,
                  base::Time deadline, std::size_t max_response_bytes) {
    deadline_ = deadline;
    is_connected_ = socket_.is_open();
    httplib::Request request;
    request.method = method;
    request.path = path;
    if (!body.empty()) {
      request.body = body;
      request.set_header("Content-Type", "application/json");
    }
    HttpResult result;
    request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
      result.too_large = result.body.size() + size > max_response_bytes;
      if (!result.too_large) result.body.append(data, size);
      return !result.too_large;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (send(request, response, error)) {
      result.delivery = Delivery::kAnswered;
      result.status = response.status;
    } else {
      result.delivery = is_connected_ ? Delivery::kUnknown : Delivery::kNotSent;
      if (result.too_large) result.body = {};
    }
    return result;
  }

 private:
  bool create_and_connect_socket(Socket& socket, httplib::Error& error) override {
    is_connected_ = false;
    error = httplib::Error::Connection;
    sockaddr_in server_address{};
    server_address.sin_family = AF_INET;
    server_address.sin_port = htons(static_cast<std::uint16_t>(port_));
    if (::inet_pton(AF_INET, host_.c_str(), &server_address.sin_addr) != 1) return false;
    FileDescriptor descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!descriptor.is_open() || !connect_before(descriptor.get(), server_address, deadline_))
      return false;
    const int enabled = 1;
    ::setsockopt(descriptor.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    socket.sock = descriptor.release();  // from here on owned and closed by cpp-httplib
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
  bool is_connected_ = false;  // whether the current call has had a connection
};

HttpClient::HttpClient(base::Address address, std::size_t max_connections)
    : address_(std::move(address)), max_connections_(max_connections) {}
HttpClient::~HttpClient() = default;

HttpResult HttpClient::get(const std::string& path, base::Seconds timeout,
                           std::size_t max_response_bytes) {
  return call("GET", path, {}, timeout, max_response_bytes);
}
HttpResult HttpClient::post(const std::string& path, const std::string& body, base::Seconds timeout,
                            std::size_t max_response_bytes) {
  return call("POST", path, body, timeout, max_response_bytes);
}
HttpResult HttpClient::del(const std::string& path, base::Seconds timeout) {
  return call("DELETE", path, {}, timeout, kMaxDeleteResponseBytes);
}

HttpResult HttpClient::call(const char* method, const std::string& path, const std::string& body,
                            base::Seconds timeout, std::size_t max_response_bytes) {
  const base::Time deadline = base::after(base::SteadyClock::now(), timeout);
  std::unique_ptr<Connection> connection = acquire(deadline);
  if (!connection) return {};
  HttpResult result = connection->call(method, path, body, deadline, max_response_bytes);
  release(std::move(connection));
  return result;
}

std::unique_ptr<HttpClient::Connection> HttpClient::acquire(base::Time deadline) {
  {
    std::unique_lock lock(mutex_);
    const bool is_available = connection_released_.wait_until(lock, deadline, [this] {
      return !idle_connections_.empty() || connection_count_ < max_connections_;
    });
    if (!is_available) return nullptr;
    if (!idle_connections_.empty()) {
      std::unique_ptr<Connection> connection = std::move(idle_connections_.back());
      idle_connections_.pop_back();
      return connection;
    }
    ++connection_count_;
  }
  return std::make_unique<Connection>(address_);
}

void HttpClient::release(std::unique_ptr<Connection> connection) {
  {
    const std::lock_guard lock(mutex_);
    idle_connections_.push_back(std::move(connection));
  }
  connection_released_.notify_one();
}

}  // namespace saddleslip::transport
