#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/settings.h"
#include "transport/http.h"

namespace saddleslip::transport {

// Answers one request. Called by several threads at once; it may block, and takes up one of the
// server's threads meanwhile. An exception is logged and answered with status 500.
using Handler = std::function<Reply(const Request&)>;

struct ServerLimits {
  int connections = 8;  // open at the same time; further ones are closed as soon as they come
  int threads = 8;      // requests served at the same time; threads are started as they are needed
  std::size_t max_body = 64u << 10;  // in bytes; a longer request body is answered with status 400
  // Connections that have asked for this path may be only so many, so that they leave places for the
  // others: a request for it on a further connection is answered with status 503, and the connection
  // is closed. Empty: no such path.
  std::string bulk_path{};
  int bulk_connections = 0;
};

// An HTTP/1.1 server on blocking sockets. Idle connections are waited for together, and a bounded
// set of threads serves those that have a request.
//
// A thread for each connection does not scale to hundreds of machines, all of which may send
// heartbeats to one controller: a process may have 2,000 threads, and each of them costs memory.
//
// A request must be complete 5 s after it has begun, and a connection is closed after being idle for
// 75 s. What cannot be parsed is answered with status 400, a path of more than 512 bytes with 404.
class HttpServer {
 public:
  // Listens and serves from now on. Port 0: any free port. The handler must be callable until the
  // server is destroyed. Throws std::runtime_error if the address cannot be bound.
  HttpServer(const base::Address& address, const ServerLimits& limits, Handler handler);
  // Ends all connections and waits for the requests under way. Not to be called from the handler.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The port that it listens on.
  int port() const { return port_; }
  // How many serving threads have been started so far. May be called from any thread.
  int threads() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::thread accept_thread_;
  int port_ = 0;
};

}  // namespace saddleslip::transport
