#include "transport/http_server.h"

#include <httplib.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <mutex>
#include <set>
#include <stdexcept>

#include "base/clock.h"
#include "base/log.h"
#include "transport/socket_stream.h"

namespace saddleslip::transport {

namespace {

constexpr base::Seconds kIdle{75.0};     // an idle connection is closed after this
constexpr base::Seconds kMessage{10.0};  // a request that has begun must be complete by then

constexpr std::size_t kMaxPath = 512;

// Set while a connection over the limit is handed over: it is closed at once.
thread_local bool t_refuse = false;
// Set when the request's body was left unread: what follows on the connection can't be told apart
// from a next request, so it has to be closed.
thread_local bool t_close = false;

void fill(const Reply& reply, httplib::Response& res) {
  res.status = reply.status;
  if (reply.retry_after_s > 0) res.set_header("Retry-After", std::to_string(reply.retry_after_s));
  res.set_content(reply.body, "application/json");
}

}  // namespace

class HttpServer::Impl final : public httplib::Server {
 public:
  Impl(int max_connections, transport::Handler handler, std::size_t max_body)
      : max_(max_connections), max_body_(max_body), handler_(std::move(handler)) {
    set_payload_max_length(max_body_);
    set_tcp_nodelay(true);
    new_task_queue = [this] { return new Threads(*this); };
    set_pre_routing_handler(
        [this](const httplib::Request& req, httplib::Response& res) { return before(req, res); });
    const auto with_body = [this](const httplib::Request& req, httplib::Response& res,
                                  const httplib::ContentReader& read) {
      std::string body;
      const bool complete = read([&body, this](const char* data, size_t n) {
        body.append(data, n);
        return body.size() <= max_body_;
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
            std::rethrow_exception(ep);
          } catch (const std::exception& e) {
            spdlog::error("{} {} failed: {}", req.method, req.path, e.what());
          } catch (...) {
            spdlog::error("{} {} failed", req.method, req.path);
          }
          fill({500, R"({"error":"internal error"})", 0}, res);
        });
  }

  // cpp-httplib listens with a backlog of 5, which a burst of new connections overruns.
  void widen_backlog() { ::listen(svr_sock_, 256); }

  void close_all() {
    stop();
    const std::lock_guard lock(mutex_);
    for (const socket_t s : open_) ::shutdown(s, SHUT_RDWR);
  }

  void wait_all() {
    std::unique_lock lock(mutex_);
    none_.wait(lock, [this] { return live_ == 0; });
  }

 private:
  class Threads final : public httplib::TaskQueue {
   public:
    explicit Threads(Impl& server) : server_(server) {}
    void enqueue(std::function<void()> fn) override {
      {
        const std::lock_guard lock(server_.mutex_);
        if (server_.live_ < server_.max_) {
          ++server_.live_;
          try {
            std::thread([this_server = &server_, fn] {
              fn();
              const std::lock_guard done(this_server->mutex_);
              --this_server->live_;
              this_server->none_.notify_all();
            }).detach();
            return;
          } catch (const std::system_error&) {
            --server_.live_;  // no thread to be had: refused like one over the limit
          }
        }
      }
      t_refuse = true;
      fn();
      t_refuse = false;
    }
    void shutdown() override {}

   private:
    Impl& server_;
  };

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

  void answer(const httplib::Request& req, std::string body, httplib::Response& res) {
    fill(handler_(transport::Request{req.method, req.path, std::move(body)}), res);
  }

  bool process_and_close_socket(socket_t sock) override {
    if (t_refuse) {
      ::close(sock);
      return false;
    }
    {
      const std::lock_guard lock(mutex_);
      open_.insert(sock);
    }
    bool ok = true;
    {
      SocketStream stream(sock);
      while (ok) {
        stream.set_deadline(base::after(base::SteadyClock::now(), kIdle));
        if (!stream.wait_for_data()) break;
        stream.set_deadline(base::after(base::SteadyClock::now(), kMessage));
        bool closed = false;
        t_close = false;
        ok = process_request(stream, false, closed, nullptr) && !closed;
        ok = stream.flush() && ok && !t_close;
      }
    }
    {
      const std::lock_guard lock(mutex_);
      open_.erase(sock);
    }
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return ok;
  }

  const int max_;
  const std::size_t max_body_;
  transport::Handler handler_;
  std::mutex mutex_;
  std::condition_variable none_;
  std::set<socket_t> open_;
  int live_ = 0;
};

HttpServer::HttpServer(const base::Address& address, int max_connections, Handler handler,
                       std::size_t max_body)
    : impl_(std::make_unique<Impl>(max_connections, std::move(handler), max_body)) {
  if (address.port == 0) {
    port_ = impl_->bind_to_any_port(address.host);
  } else if (impl_->bind_to_port(address.host, address.port)) {
    port_ = address.port;
  }
  if (port_ <= 0) throw std::runtime_error("cannot listen on " + address.str());
  impl_->widen_backlog();
  accept_ = std::thread([this] { impl_->listen_after_bind(); });
}

HttpServer::~HttpServer() {
  while (!impl_->is_running()) std::this_thread::yield();
  impl_->close_all();
  accept_.join();
  impl_->wait_all();
}

}  // namespace saddleslip::transport
