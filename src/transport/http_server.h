// The HTTP server: a thread per connection, bounded, on blocking sockets.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/settings.h"
#include "transport/http.h"

namespace saddleslip::transport {

using Handler = std::function<Reply(const Request&)>;

class HttpServer {
 public:
  // Throws std::runtime_error when the address can't be had.
  HttpServer(const base::Address& address, int max_connections, Handler handler,
             std::size_t max_body = 64 * 1024);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  int port() const { return port_; }

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
  std::thread accept_;
  int port_ = 0;
};

}  // namespace saddleslip::transport
