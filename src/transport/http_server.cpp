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

constexpr base::Seconds kIdleTimeout{75.0};    // an idle connection is closed after this
constexpr base::Seconds kMessageTimeout{5.0};  // a request that has begun must be complete by then
constexpr base::Seconds kSweepInterval{5.0};   // how often idle connections are looked for

// How often a thread looks whether the server stops, if nothing can wake it for that.
constexpr base::Seconds kStopPollInterval{0.25};

constexpr std::size_t kMaxPath = 512;
constexpr int kMinBacklog = 256;

struct Connection {
  FileDescriptor descriptor;
  base::Time last_used_at{};
  bool is_busy = false;  // a thread serves it
  bool is_bulk = false;  // it has asked for the bulk path
};

// cpp-httplib's callbacks say nothing of the connection, so that these two belong to the thread.

// The connection that this thread serves.
thread_local Connection* t_connection = nullptr;
// Set when the request's body was left unread: it cannot be told apart from a next request, so the
// connection has to be closed.
thread_local bool t_must_close = false;

void write_reply(const Reply& reply, httplib::Response& response) {
  response.status = reply.status;
  if (reply.retry_after_s > 0)
    response.set_header("Retry-After", std::to_string(reply.retry_after_s));
  // Without this header a quick client would send its next request on a connection that ends.
  if (t_must_close) response.set_header("Connection", "close");
  response.set_content(reply.body, "application/json");
}

// Answers a request whose body, if it has any, is left unread.
void refuse_and_close(const Reply& reply, httplib::Response& response) {
  t_must_close = true;
  write_reply(reply, response);
}

// Answers what cpp-httplib refused itself: what it could not parse, or a body over the limit.
void answer_malformed(const httplib::Request&, httplib::Response& response) {
  if (!response.body.empty()) return;
  const int status = response.status == 413 ? 400 : response.status;
  refuse_and_close({status, R"({"error":"malformed request"})", 0}, response);
}

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

// cpp-httplib accepts connections and parses requests; this class decides which thread serves which
// connection. A connection belongs to one thread while it is busy, and to the epoll set otherwise.
class HttpServer::Impl final : public httplib::Server {
 public:
  Impl(const ServerLimits& limits, transport::Handler handler)
      : limits_(limits),
        handler_(std::move(handler)),
        epoll_(::epoll_create1(EPOLL_CLOEXEC)),
        stop_event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (!epoll_.is_open()) throw std::runtime_error("cannot wait for connections (epoll)");
    if (stop_event_.is_open()) {
      epoll_event event{};
      event.events = EPOLLIN;
      event.data.fd = stop_event_.get();
      ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, stop_event_.get(), &event);
    }
    set_payload_max_length(limits_.max_body);
    set_tcp_nodelay(true);
    set_handlers();
  }

  // cpp-httplib listens with a backlog of 5, which a burst of new connections overruns: all workers
  // may connect within a second, each of them once.
  void widen_backlog() { ::listen(svr_sock_, std::max(kMinBacklog, limits_.connections)); }

  void start_serving() {
    const std::lock_guard lock(mutex_);
    add_thread();
  }

  // Once this returns no thread serves, and no connection is left.
  void stop_serving() {
    stopping_ = true;
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

  int threads() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(threads_.size());
  }

 private:
  // cpp-httplib hands over each accepted connection as a task, which only adds it to the epoll set:
  // this needs no thread.
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
    Post(".*",
         [this](const httplib::Request& request, httplib::Response& response,
                const httplib::ContentReader& read) { answer_with_body(request, response, read); });
    set_error_handler(answer_malformed);
    set_exception_handler(answer_exception);
  }

  // --- Threads

  // Starts one more serving thread, unless there are enough. Requires mutex_.
  void add_thread() {
    if (stopping_ || static_cast<int>(threads_.size()) >= limits_.threads) return;
    try {
      ++waiting_threads_;
      threads_.emplace_back([this] { serve(); });
    } catch (const std::system_error&) {
      --waiting_threads_;  // the system gives no more threads: the present ones go on
    }
  }

  // What each serving thread runs.
  void serve() {
    const base::Seconds timeout = stop_event_.is_open() ? kSweepInterval : kStopPollInterval;
    const int timeout_ms = static_cast<int>(timeout.count() * 1000);
    for (;;) {
      epoll_event event{};
      const int ready = ::epoll_wait(epoll_.get(), &event, 1, timeout_ms);
      if (stopping_) return;
      if (ready > 0) {
        // The last one that waited: another takes its place while this one is busy.
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

  bool process_and_close_socket(socket_t socket) override {
    const std::lock_guard lock(mutex_);
    FileDescriptor descriptor(socket);
    if (stopping_ || static_cast<int>(connections_.size()) >= limits_.connections) return false;
    connections_[socket] = {std::move(descriptor), base::SteadyClock::now(), false, false};
    if (watch(socket, EPOLL_CTL_ADD)) return true;
    connections_.erase(socket);
    return false;
  }

  // Has a thread woken once there is something to read on the connection, or its end. For one thread
  // and one time: then the connection is that thread's alone.
  bool watch(socket_t socket, int operation) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.fd = socket;
    return ::epoll_ctl(epoll_.get(), operation, socket, &event) == 0;
  }

  void serve_connection(socket_t socket) {
    Connection* connection = begin_serving(socket);
    if (!connection) return;
    t_connection = connection;
    const bool is_kept = serve_requests(socket);
    t_connection = nullptr;
    end_serving(socket, *connection, is_kept);
  }

  // The pointer is valid until end_serving: only the serving thread removes a connection.
  Connection* begin_serving(socket_t socket) {
    const std::lock_guard lock(mutex_);
    const auto at = connections_.find(socket);
    if (at == connections_.end()) return nullptr;
    at->second.is_busy = true;
    return &at->second;
  }

  // Serves all requests that have arrived. False: the connection has to be closed.
  bool serve_requests(socket_t socket) {
    SocketStream stream(socket);
    do {
      stream.set_deadline(base::after(base::SteadyClock::now(), kMessageTimeout));
      if (!stream.wait_for_data()) return false;
      bool is_closed = false;
      t_must_close = false;
      const bool is_served = process_request(stream, false, is_closed, nullptr);
      const bool is_sent = stream.flush();
      if (!is_served || is_closed || !is_sent || t_must_close) return false;
    } while (stream.has_data());
    return true;
  }

  void end_serving(socket_t socket, Connection& connection, bool is_kept) {
    const std::lock_guard lock(mutex_);
    if (is_kept) {
      connection.is_busy = false;
      connection.last_used_at = base::SteadyClock::now();
      if (watch(socket, EPOLL_CTL_MOD)) return;
    }
    if (connection.is_bulk) --bulk_connections_;
    ::shutdown(socket, SHUT_RDWR);
    connections_.erase(socket);
  }

  // Shuts down connections that have been idle for too long: their end wakes a thread, which removes
  // them.
  void close_idle_connections() {
    const base::Time now = base::SteadyClock::now();
    const std::lock_guard lock(mutex_);
    if (base::between(last_sweep_at_, now) < kSweepInterval) return;
    last_sweep_at_ = now;
    for (const auto& [socket, connection] : connections_) {
      if (!connection.is_busy && base::between(connection.last_used_at, now) > kIdleTimeout)
        ::shutdown(socket, SHUT_RDWR);
    }
  }

  // --- Requests

  // Answers requests that need no body. A body that comes with them all the same is left unread.
  HandlerResponse answer_without_body(const httplib::Request& request,
                                      httplib::Response& response) {
    const bool has_body =
        request.has_header("Content-Length") || request.has_header("Transfer-Encoding");
    if (request.path.size() > kMaxPath) {
      // Also keeps long paths from the routes' regular expressions, whose depth grows with them.
      t_must_close = has_body;
      write_reply({404, R"({"error":"no such path"})", 0}, response);
      return HandlerResponse::Handled;
    }
    const bool is_post = request.method == "POST";
    if (is_post && has_body) return HandlerResponse::Unhandled;  // answer_with_body does it
    if (!is_post) t_must_close = has_body;
    answer(request, {}, response);
    return HandlerResponse::Handled;
  }

  void answer_with_body(const httplib::Request& request, httplib::Response& response,
                        const httplib::ContentReader& read) {
    std::string body;
    const bool is_complete = read([&body, this](const char* data, size_t size) {
      body.append(data, size);
      return body.size() <= limits_.max_body;
    });
    if (!is_complete) {
      refuse_and_close({400, R"({"error":"the body is too long or incomplete"})", 0}, response);
      return;
    }
    answer(request, std::move(body), response);
  }

  void answer(const httplib::Request& request, std::string body, httplib::Response& response) {
    if (!admit_bulk(request.path)) {
      refuse_and_close({503, R"({"error":"too many connections"})", 1}, response);
      return;
    }
    write_reply(handler_(transport::Request{request.method, request.path, std::move(body)}),
                response);
  }

  // May this thread's connection ask for the path? Counts it among the bulk connections if so.
  bool admit_bulk(const std::string& path) {
    if (limits_.bulk_path.empty() || path != limits_.bulk_path || t_connection->is_bulk)
      return true;
    const std::lock_guard lock(mutex_);
    if (bulk_connections_ >= limits_.bulk_connections) return false;
    ++bulk_connections_;
    t_connection->is_bulk = true;
    return true;
  }

  const ServerLimits limits_;
  const transport::Handler handler_;
  const FileDescriptor epoll_;
  const FileDescriptor stop_event_;  // readable once the server stops; may be missing
  std::atomic<bool> stopping_{false};
  std::atomic<int> waiting_threads_{0};                   // threads that wait for a request
  std::mutex mutex_;                                      // guards all below
  std::unordered_map<socket_t, Connection> connections_;  // pointers to its elements stay valid
  std::vector<std::thread> threads_;
  int bulk_connections_ = 0;
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
  impl_->widen_backlog();
  impl_->start_serving();
  accept_thread_ = std::thread([this] { impl_->listen_after_bind(); });
}

int HttpServer::threads() const {
  return impl_->threads();
}

HttpServer::~HttpServer() {
  while (!impl_->is_running()) std::this_thread::yield();
  impl_->stop_serving();
  accept_thread_.join();
}

}  // namespace saddleslip::transport
