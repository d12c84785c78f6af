// The HTTP server, on blocking sockets: idle connections are waited for together, and a bounded set
// of threads serves those that have a request.
//
// A thread for each connection does not hold at hundreds of machines, all of which may report to
// one controller: a process may have 2,000 threads, and each costs memory.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/settings.h"
#include "transport/http.h"

namespace saddleslip::transport {

using Handler = std::function<Reply(const Request&)>;

struct ServerLimits {
  int connections = 8;  // more are closed at once
  int threads = 8;      // requests served at the same time; started as they are needed
  std::size_t max_body = 64u << 10;
  // Connections that ask for this path may not take all the others' places: what comes over this is
  // refused with 503 and closed.
  std::string bulk_path{};
  int bulk_connections = 0;
};

class HttpServer {
 public:
  // Throws std::runtime_error when the address can't be had.
  HttpServer(const base::Address& address, const ServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const { return port_; }
  // Serving threads started so far.
  int threads() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::thread accept_;
  int port_ = 0;
};

}  // namespace saddleslip::transport
