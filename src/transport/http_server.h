// An HTTP server whose number of threads does not depend on the number of connections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/settings.h"
#include "transport/http.h"

namespace saddleslip::transport {

// Handles one request and returns the reply. It is called by several threads at once and may block,
// but occupies one of the server's threads meanwhile. An exception is logged and answered with
// status 500.
using Handler = std::function<Reply(const Request&)>;

// The limits of an HttpServer.
struct ServerLimits {
  int max_connections = 8;  // open connections; further ones are closed immediately
  int max_threads = 8;      // serving threads, each for one request; started on demand
  std::size_t max_body_bytes = 64u << 10;  // a longer request body is answered with status 400
  // At most `max_limited_path_connections` connections may request `limited_path`, so that
  // connections remain for other requests. A request for the path on a further connection is
  // answered with status 503, and that connection is closed. No path is limited if `limited_path`
  // is empty.
  std::string limited_path{};
  int max_limited_path_connections = 0;
};

// The connections that a server refused because of its limits.
struct RefusedConnections {
  std::uint64_t over_connection_limit = 0;
  std::uint64_t over_path_limit = 0;
};

// An HTTP/1.1 server. All idle connections are watched with one epoll instance, and a bounded
// number of threads serves the connections that have a request.
//
// One thread per connection would not scale: hundreds of machines may send heartbeats to one
// controller, a process may have at most 2,000 threads, and each thread costs memory.
//
// A request must be complete within 5 s after its first byte. A connection is closed after it has
// been idle for 75 s. A malformed request is answered with status 400, and a path of more than 512
// bytes with status 404.
class HttpServer {
 public:
  // Starts listening and serving. Port 0 selects any free port. The handler must remain callable
  // until the server is destroyed. Throws std::runtime_error if the address cannot be bound.
  HttpServer(const base::Address& address, const ServerLimits& limits, Handler handler);
  // Closes all connections and waits for requests in progress. Must not be called from the handler.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns the port on which the server listens.
  int port() const { return port_; }
  // Returns the refused connections since the last call. May be called from any thread.
  RefusedConnections take_refused_connections();
  // Returns the number of serving threads started so far. May be called from any thread.
  int thread_count() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::thread accept_thread_;
  int port_ = 0;
};

}  // namespace saddleslip::transport
