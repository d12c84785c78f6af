#include "transport/http_server.h"

#include <httplib.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <stdexcept>
#include <string>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "transport/file_descriptor.h"
#include "transport/socket_stream.h"

namespace saddleslip::transport {

namespace {

constexpr base::Seconds kIdleTimeout{75.0};       // an idle connection is closed after this time
constexpr base::Seconds kRequestTimeout{5.0};     // for receiving a request that has begun
constexpr base::Seconds kIdleSweepInterval{5.0};  // between two checks for idle connections

// The interval in which waiting threads check whether the server stops, if there is no stop event
// to wake them.
constexpr base::Seconds kStopPollInterval{0.25};

constexpr std::size_t kMaxPathBytes = 512;
constexpr int kMinBacklog = 256;

// The state of one accepted connection.
struct Connection {
  FileDescriptor descriptor;
  base::Time last_used_at{};
  bool is_busy = false;            // a thread is serving it
  bool uses_limited_path = false;  // it has requested ServerLimits::limited_path
};

// The callbacks of cpp-httplib do not identify the connection, so the two variables below hold the
// state of the connection that the current thread is serving.

// The connection that this thread is serving.
thread_local Connection* t_connection = nullptr;
// Set if the body of a request was not read. The server cannot distinguish an unread body from the
// next request, so it must close the connection.
thread_local bool t_must_close = false;

// Writes a reply of the handler or of the server itself into the response.
void write_reply(const Reply& reply, httplib::Response& response) {
  response.status = reply.status;
  if (reply.retry_after_s > 0)
    response.set_header("Retry-After", std::to_string(reply.retry_after_s));
  // Without this header, a client could send its next request on a connection that is about to
  // close.
  if (t_must_close) response.set_header("Connection", "close");
  response.set_content(reply.body, "application/json");
}

// Answers a request without reading its body, and closes the connection afterwards.
void refuse_and_close(const Reply& reply, httplib::Response& response) {
  t_must_close = true;
  write_reply(reply, response);
}

// Answers a request that cpp-httplib rejected because it is malformed or its body is too long.
void answer_rejected_request(const httplib::Request&, httplib::Response& response) {
  if (!response.body.empty()) return;
  const int status = response.status == 413 ? 400 : response.status;
  refuse_and_close({status, R"({"error":"malformed request"})", 0}, response);
}

// Logs an exception of the handler and answers the request with status 500.
void answer_exception(const httplib::Request& request, httplib::Response& response,
                      std::exception_ptr exception) {
  try {
    std::rethrow_exception(std::move(exception));
  } catch (const std::exception& error) {
    spdlog::error("request failed: method={} path={} error={}", request.method, request.path,
                  error.what());
  } catch (...) {
    spdlog::error("request failed: method={} path={}", request.method, request.path);
  }
  write_reply({500, R"({"error":"internal error"})", 0}, response);
}

}  // namespace

// Accepts connections and parses requests with cpp-httplib, and assigns connections to its own
// threads. A busy connection is used only by the thread that serves it; other connections are in
// the epoll set.
class HttpServer::Impl final : public httplib::Server {
 public:
  Impl(const ServerLimits& limits, transport::Handler handler)
      : limits_(limits),
        handler_(std::move(handler)),
        epoll_(::epoll_create1(EPOLL_CLOEXEC)),
        stop_event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (!epoll_.is_open()) throw std::runtime_error("cannot create an epoll instance");
    if (stop_event_.is_open()) {
      epoll_event event{};
      event.events = EPOLLIN;
      event.data.fd = stop_event_.get();
      ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, stop_event_.get(), &event);
    }
    set_payload_max_length(limits_.max_body_bytes);
    set_tcp_nodelay(true);
    set_handlers();
  }

  // Increases the backlog of the listening socket. The backlog of 5 that cpp-httplib sets is too
  // small if all workers connect within one second.
  void increase_backlog() { ::listen(svr_sock_, std::max(kMinBacklog, limits_.max_connections)); }

  // Starts the first serving thread.
  void start_serving() {
    const std::lock_guard lock(mutex_);
    add_thread();
  }

  // Stops all serving threads and closes all connections before it returns.
  void stop_serving() {
    is_stopping_ = true;
    stop();
    if (stop_event_.is_open()) ::eventfd_write(stop_event_.get(), 1);
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [socket, connection] : connections_) ::shutdown(socket, SHUT_RDWR);
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) thread.join();
    const std::lock_guard lock(mutex_);
    connections_.clear();
  }

  RefusedConnections take_refused_connections() {
    const std::lock_guard lock(mutex_);
    return std::exchange(refused_, {});
  }

  int thread_count() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(threads_.size());
  }

 private:
  // Runs tasks on the calling thread. cpp-httplib creates a task for each accepted connection; the
  // task only adds the connection to the epoll set, which needs no thread of its own.
  class InlineTaskQueue final : public httplib::TaskQueue {
   public:
    void enqueue(std::function<void()> task) override { task(); }
    void shutdown() override {}
  };

  void set_handlers() {
    new_task_queue = [] { return new InlineTaskQueue; };
    set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
      return answer_without_body(request, response);
    });
    Post(".*", [this](const httplib::Request& request, httplib::Response& response,
                      const httplib::ContentReader& read_body) {
      answer_with_body(request, response, read_body);
    });
    set_error_handler(answer_rejected_request);
    set_exception_handler(answer_exception);
  }

  // --- Threads

  // Starts another serving thread unless the limit is reached. Requires mutex_ to be locked.
  void add_thread() {
    if (is_stopping_ || static_cast<int>(threads_.size()) >= limits_.max_threads) return;
    try {
      ++waiting_threads_;
      threads_.emplace_back([this] { run_serving_thread(); });
    } catch (const std::system_error&) {
      --waiting_threads_;  // no more threads are available; the existing ones continue
    }
  }

  // The main loop of each serving thread.
  void run_serving_thread() {
    const base::Seconds timeout = stop_event_.is_open() ? kIdleSweepInterval : kStopPollInterval;
    const int timeout_ms = static_cast<int>(timeout.count() * 1000);
    for (;;) {
      epoll_event event{};
      const int ready = ::epoll_wait(epoll_.get(), &event, 1, timeout_ms);
      if (is_stopping_) return;
      if (ready > 0) {
        // This was the last waiting thread, so start another one to wait while this one is busy.
        if (waiting_threads_.fetch_sub(1) == 1) {
          const std::lock_guard lock(mutex_);
          add_thread();
        }
        serve_connection(event.data.fd);
        ++waiting_threads_;
      }
      close_idle_connections();
    }
  }

  // --- Connections

  // Adds an accepted connection, unless the limit is reached or the server stops.
  bool process_and_close_socket(socket_t socket) override {
    const std::lock_guard lock(mutex_);
    FileDescriptor descriptor(socket);
    if (is_stopping_) return false;
    if (static_cast<int>(connections_.size()) >= limits_.max_connections) {
      ++refused_.over_connection_limit;
      return false;
    }
    connections_[socket] = {std::move(descriptor), base::SteadyClock::now(), false, false};
    if (register_with_epoll(socket, EPOLL_CTL_ADD)) return true;
    connections_.erase(socket);
    return false;
  }

  // Registers a connection with epoll. The next time that it becomes readable or is closed, epoll
  // wakes exactly one thread, which then has exclusive use of the connection.
  bool register_with_epoll(socket_t socket, int operation) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.fd = socket;
    return ::epoll_ctl(epoll_.get(), operation, socket, &event) == 0;
  }

  // Serves the requests that have arrived on a connection, then keeps or closes it.
  void serve_connection(socket_t socket) {
    Connection* connection = begin_serving(socket);
    if (!connection) return;
    t_connection = connection;
    const bool is_kept = serve_requests(socket);
    t_connection = nullptr;
    end_serving(socket, *connection, is_kept);
  }

  // Marks a connection as busy. The pointer is valid until end_serving(), because only the serving
  // thread removes a connection. Returns nullptr if the connection no longer exists.
  Connection* begin_serving(socket_t socket) {
    const std::lock_guard lock(mutex_);
    const auto position = connections_.find(socket);
    if (position == connections_.end()) return nullptr;
    position->second.is_busy = true;
    return &position->second;
  }

  // Serves all requests that have arrived. Returns false if the connection must be closed.
  bool serve_requests(socket_t socket) {
    SocketStream stream(socket);
    do {
      stream.set_deadline(base::after(base::SteadyClock::now(), kRequestTimeout));
      if (!stream.wait_for_data()) return false;
      bool is_closed = false;
      t_must_close = false;
      const bool is_served = process_request(stream, false, is_closed, nullptr);
      const bool is_sent = stream.flush();
      if (!is_served || is_closed || !is_sent || t_must_close) return false;
    } while (stream.has_data());
    return true;
  }

  // Puts a connection back into the epoll set, or closes it if it is not to be kept.
  void end_serving(socket_t socket, Connection& connection, bool is_kept) {
    const std::lock_guard lock(mutex_);
    if (is_kept) {
      connection.is_busy = false;
      connection.last_used_at = base::SteadyClock::now();
      if (register_with_epoll(socket, EPOLL_CTL_MOD)) return;
    }
    if (connection.uses_limited_path) --limited_path_connections_;
    ::shutdown(socket, SHUT_RDWR);
    connections_.erase(socket);
  }

  // Shuts down connections that have been idle for too long. The shutdown wakes a thread, which
  // removes the connection.
  void close_idle_connections() {
    const base::Time now = base::SteadyClock::now();
    const std::lock_guard lock(mutex_);
    if (base::between(last_sweep_at_, now) < kIdleSweepInterval) return;
    last_sweep_at_ = now;
    for (const auto& [socket, connection] : connections_) {
      if (!connection.is_busy && base::between(connection.last_used_at, now) > kIdleTimeout)
        ::shutdown(socket, SHUT_RDWR);
    }
  }

  // --- Requests

  // Answers requests that need no body, without reading a body that they may have. Leaves POST
  // requests with a body to answer_with_body().
  HandlerResponse answer_without_body(const httplib::Request& request,
                                      httplib::Response& response) {
    const bool has_body =
        request.has_header("Content-Length") || request.has_header("Transfer-Encoding");
    if (request.path.size() > kMaxPathBytes) {
      // Must precede route matching: the recursion depth of the routes' regular expressions grows
      // with the length of the path.
      t_must_close = has_body;
      write_reply({404, R"({"error":"no such path"})", 0}, response);
      return HandlerResponse::Handled;
    }
    const bool is_post = request.method == "POST";
    if (is_post && has_body) return HandlerResponse::Unhandled;  // handled by answer_with_body()
    if (!is_post) t_must_close = has_body;
    answer_request(request, {}, response);
    return HandlerResponse::Handled;
  }

  // Reads the body of a POST request and answers the request.
  void answer_with_body(const httplib::Request& request, httplib::Response& response,
                        const httplib::ContentReader& read_body) {
    std::string body;
    const bool is_complete = read_body([&body, this](const char* data, size_t size) {
      body.append(data, size);
      return body.size() <= limits_.max_body_bytes;
    });
    if (!is_complete) {
      refuse_and_close({400, R"({"error":"the body is too long or incomplete"})", 0}, response);
      return;
    }
    answer_request(request, std::move(body), response);
  }

  // Passes a complete request to the handler, unless the connection may not request the path.
  void answer_request(const httplib::Request& request, std::string body,
                      httplib::Response& response) {
    if (!admit_path(request.path)) {
      refuse_and_close({503, R"({"error":"too many connections"})", 1}, response);
      return;
    }
    write_reply(handler_(transport::Request{request.method, request.path, std::move(body)}),
                response);
  }

  // Returns whether the connection of this thread may request the path. Counts the connection
  // towards the limit if the path is the limited one.
  bool admit_path(const std::string& path) {
    if (limits_.limited_path.empty() || path != limits_.limited_path ||
        t_connection->uses_limited_path)
      return true;
    const std::lock_guard lock(mutex_);
    if (limited_path_connections_ >= limits_.max_limited_path_connections) {
      ++refused_.over_path_limit;
      return false;
    }
    ++limited_path_connections_;
    t_connection->uses_limited_path = true;
    return true;
  }

  const ServerLimits limits_;
  const transport::Handler handler_;
  const FileDescriptor epoll_;
  const FileDescriptor stop_event_;  // readable once the server stops; not open if eventfd failed
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> waiting_threads_{0};                   // threads that wait in epoll_wait()
  std::mutex mutex_;                                      // guards the members below
  std::unordered_map<socket_t, Connection> connections_;  // pointers to its elements stay valid
  std::vector<std::thread> threads_;
  RefusedConnections refused_;
  int limited_path_connections_ = 0;  // connections with uses_limited_path
  base::Time last_sweep_at_{};
};

HttpServer::HttpServer(const base::Address& address, const ServerLimits& limits, Handler handler)
    : impl_(std::make_unique<Impl>(limits, std::move(handler))) {
  if (address.port == 0) {
    port_ = impl_->bind_to_any_port(address.host);
  } else if (impl_->bind_to_port(address.host, address.port)) {
    port_ = address.port;
  }
  if (port_ <= 0) throw std::runtime_error("cannot listen on " + address.str());
  impl_->increase_backlog();
  impl_->start_serving();
  accept_thread_ = std::thread([this] { impl_->listen_after_bind(); });
}

RefusedConnections HttpServer::take_refused_connections() {
  return impl_->take_refused_connections();
}

int HttpServer::thread_count() const {
  return impl_->thread_count();
}

HttpServer::~HttpServer() {
  while (!impl_->is_running()) std::this_thread::yield();
  impl_->stop_serving();
  accept_thread_.join();
}

}  // namespace saddleslip::transport
