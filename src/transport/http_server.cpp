#include "transport/http_server.h"

#include <httplib.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <stdexcept>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "transport/socket_stream.h"

namespace saddleslip::transport {

namespace {

constexpr base::Seconds kIdle{75.0};    // an idle connection is closed after this
constexpr base::Seconds kMessage{5.0};  // a request that has begun must be complete by then
constexpr base::Seconds kSweep{5.0};    // how often idle connections are looked for

constexpr std::size_t kMaxPath = 512;

struct Connection {
  base::Time used{};
  bool busy = false;
  bool bulk = false;
};

// The connection that this thread serves.
thread_local Connection* t_connection = nullptr;
// Set when the request's body was left unread: what follows on the connection can't be told apart
// from a next request, so it has to be closed.
thread_local bool t_close = false;

void fill(const Reply& reply, httplib::Response& res) {
  res.status = reply.status;
  if (reply.retry_after_s > 0) res.set_header("Retry-After", std::to_string(reply.retry_after_s));
  // A refusal that ends the connection says so: a client that is quick would ask again on it.
  if (t_close) res.set_header("Connection", "close");
  res.set_content(reply.body, "application/json");
}

}  // namespace

class HttpServer::Impl final : public httplib::Server {
 public:
  Impl(const ServerLimits& limits, transport::Handler handler)
      : limits_(limits),
        handler_(std::move(handler)),
        epoll_(::epoll_create1(EPOLL_CLOEXEC)),
        stop_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (epoll_ < 0) throw std::runtime_error("cannot wait for connections (epoll)");
    if (stop_ >= 0) {
      epoll_event e{};
      e.events = EPOLLIN;
      e.data.fd = stop_;
      ::epoll_ctl(epoll_, EPOLL_CTL_ADD, stop_, &e);
    }
    set_payload_max_length(limits_.max_body);
    set_tcp_nodelay(true);
    new_task_queue = [] { return new AtOnce; };
    set_pre_routing_handler(
        [this](const httplib::Request& req, httplib::Response& res) { return before(req, res); });
    const auto with_body = [this](const httplib::Request& req, httplib::Response& res,
                                  const httplib::ContentReader& read) {
      std::string body;
      const bool complete = read([&body, this](const char* data, size_t n) {
        body.append(data, n);
        return body.size() <= limits_.max_body;
      });
      if (!complete) {
        t_close = true;
        fill({400, R"({"error":"the body is too long or incomplete"})", 0}, res);
        return;
      }
      answer(req, std::move(body), res);
    };
    Post(".*", with_body);
    set_error_handler([](const httplib::Request&, httplib::Response& res) {
      if (!res.body.empty()) return;
      // cpp-httplib's own refusals: what it could not parse, or a body over the limit.
      t_close = true;
      fill({res.status == 413 ? 400 : res.status, R"({"error":"malformed request"})", 0}, res);
    });
    set_exception_handler(
        [](const httplib::Request& req, httplib::Response& res, std::exception_ptr ep) {
          try {
            std::rethrow_exception(std::move(ep));
          } catch (const std::exception& e) {
            spdlog::error("{} {} failed: {}", req.method, req.path, e.what());
          } catch (...) {
            spdlog::error("{} {} failed", req.method, req.path);
          }
          fill({500, R"({"error":"internal error"})", 0}, res);
        });
  }

  // cpp-httplib listens with a backlog of 5, which a burst of new connections overruns: all workers
  // may come within a second, each of them once.
  void widen_backlog() { ::listen(svr_sock_, std::max(256, limits_.connections)); }

  ~Impl() override {
    ::close(epoll_);
    if (stop_ >= 0) ::close(stop_);
  }

  void begin() {
    const std::lock_guard lock(mutex_);
    add_thread();
  }

  // No thread serves after this, and no connection is left.
  void end() {
    stopping_ = true;
    stop();
    if (stop_ >= 0) ::eventfd_write(stop_, 1);
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [sock, c] : open_) ::shutdown(sock, SHUT_RDWR);
      threads.swap(threads_);
    }
    for (auto& t : threads) t.join();
    const std::lock_guard lock(mutex_);
    for (const auto& [sock, c] : open_) ::close(sock);
    open_.clear();
  }

  int threads() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(threads_.size());
  }

 private:
  // cpp-httplib hands over each accepted connection as a task: it is only put among those that are
  // waited for.
  class AtOnce final : public httplib::TaskQueue {
   public:
    void enqueue(std::function<void()> fn) override { fn(); }
    void shutdown() override {}
  };

  // With mutex_ held.
  void add_thread() {
    if (stopping_ || static_cast<int>(threads_.size()) >= limits_.threads) return;
    try {
      ++waiting_;
      threads_.emplace_back([this] { serve_all(); });
    } catch (const std::system_error&) {
      --waiting_;  // no thread to be had: those that there are go on
    }
  }

  void serve_all() {
    for (;;) {
      epoll_event e{};
      const int n =
          ::epoll_wait(epoll_, &e, 1, static_cast<int>(kSweep.count() * (stop_ < 0 ? 50 : 1000)));
      if (stopping_) return;
      if (n <= 0) {
        sweep();
        continue;
      }
      // The last one that waited: another takes its place while this one is busy.
      if (waiting_.fetch_sub(1) == 1) {
        const std::lock_guard lock(mutex_);
        add_thread();
      }
      serve_one(e.data.fd);
      ++waiting_;
      sweep();
    }
  }

  void serve_one(socket_t sock) {
    Connection* connection = nullptr;
    {
      const std::lock_guard lock(mutex_);
      const auto at = open_.find(sock);
      if (at == open_.end()) return;
      connection = &at->second;  // stays where it is: only this thread takes it out
      connection->busy = true;
    }
    t_connection = connection;
    SocketStream stream(sock);
    bool ok = true;
    do {
      stream.set_deadline(base::after(base::SteadyClock::now(), kMessage));
      if (!stream.wait_for_data()) {
        ok = false;
        break;
      }
      bool closed = false;
      t_close = false;
      ok = process_request(stream, false, closed, nullptr) && !closed;
      ok = stream.flush() && ok && !t_close;
    } while (ok && stream.has_data());
    t_connection = nullptr;
    const std::lock_guard lock(mutex_);
    if (ok) {
      connection->busy = false;
      connection->used = base::SteadyClock::now();
      if (wait_for(sock, EPOLL_CTL_MOD)) return;
    }
    if (connection->bulk) --bulk_;
    open_.erase(sock);
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
  }

  bool wait_for(socket_t sock, int how) {
    epoll_event e{};
    e.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;  // one thread at a time has a connection
    e.data.fd = sock;
    return ::epoll_ctl(epoll_, how, sock, &e) == 0;
  }

  // Ends connections that nobody uses any more: their ends wake a thread, which takes them out.
  void sweep() {
    const base::Time now = base::SteadyClock::now();
    const std::lock_guard lock(mutex_);
    if (base::between(swept_, now) < kSweep) return;
    swept_ = now;
    for (const auto& [sock, c] : open_) {
      if (!c.busy && base::between(c.used, now) > kIdle) ::shutdown(sock, SHUT_RDWR);
    }
  }

  httplib::Server::HandlerResponse before(const httplib::Request& req, httplib::Response& res) {
    using R = httplib::Server::HandlerResponse;
    const bool has_body = req.has_header("Content-Length") || req.has_header("Transfer-Encoding");
    if (req.path.size() > kMaxPath) {
      // Also keeps long paths from the routes' regular expressions, whose depth grows with them.
      t_close = has_body;
      fill({404, R"({"error":"no such path"})", 0}, res);
      return R::Handled;
    }
    if (req.method == "POST") {
      if (has_body) return R::Unhandled;
      answer(req, {}, res);
      return R::Handled;
    }
    t_close = has_body;
    answer(req, {}, res);
    return R::Handled;
  }

  bool takes_a_place(const std::string& path) {
    if (limits_.bulk_path.empty() || path != limits_.bulk_path || t_connection->bulk) return true;
    const std::lock_guard lock(mutex_);
    if (bulk_ >= limits_.bulk_connections) return false;
    ++bulk_;
    t_connection->bulk = true;
    return true;
  }

  void answer(const httplib::Request& req, std::string body, httplib::Response& res) {
    if (!takes_a_place(req.path)) {
      t_close = true;
      fill({503, R"({"error":"too many connections"})", 1}, res);
      return;
    }
    fill(handler_(transport::Request{req.method, req.path, std::move(body)}), res);
  }

  bool process_and_close_socket(socket_t sock) override {
    const std::lock_guard lock(mutex_);
    if (!stopping_ && static_cast<int>(open_.size()) < limits_.connections) {
      open_[sock] = {base::SteadyClock::now(), false, false};
      if (wait_for(sock, EPOLL_CTL_ADD)) return true;
      open_.erase(sock);
    }
    ::close(sock);
    return false;
  }

  const ServerLimits limits_;
  transport::Handler handler_;
  const int epoll_, stop_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> waiting_{0};  // threads that wait for a request
  std::mutex mutex_;
  std::unordered_map<socket_t, Connection> open_;  // its elements stay where they are
  std::vector<std::thread> threads_;
  int bulk_ = 0;
  base::Time swept_{};
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
  impl_->begin();
  accept_ = std::thread([this] { impl_->listen_after_bind(); });
}

int HttpServer::threads() const {
  return impl_->threads();
}

HttpServer::~HttpServer() {
  while (!impl_->is_running()) std::this_thread::yield();
  impl_->end();
  accept_.join();
}

}  // namespace saddleslip::transport
