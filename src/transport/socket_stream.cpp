#include "transport/socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace saddleslip::transport {

bool SocketStream::wait(short events) const {
  for (;;) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - base::SteadyClock::now());
    if (left.count() <= 0) return false;
    pollfd p{sock_, events, 0};
    const int n = ::poll(&p, 1, static_cast<int>(std::min<long>(left.count(), 3'600'000)) + 1);
    if (n > 0) return true;
    if (n < 0 && errno != EINTR) return false;
  }
}

bool SocketStream::fill() {
  for (;;) {
    const ssize_t n = ::recv(sock_, in_.data(), in_.size(), MSG_DONTWAIT);
    if (n > 0) {
      begin_ = 0;
      end_ = static_cast<std::size_t>(n);
      return true;
    }
    if (n == 0) return false;
    if (errno == EINTR) continue;
    if ((errno != EAGAIN && errno != EWOULDBLOCK) || !wait(POLLIN)) return false;
  }
}

bool SocketStream::wait_for_data() {
  if (begin_ < end_) return true;
  return fill();
}

ssize_t SocketStream::read(char* ptr, size_t size) {
  if (!flush()) return -1;
  if (begin_ == end_ && !fill()) return -1;
  const std::size_t n = std::min(size, end_ - begin_);
  std::memcpy(ptr, in_.data() + begin_, n);
  begin_ += n;
  return static_cast<ssize_t>(n);
}

ssize_t SocketStream::write(const char* ptr, size_t size) {
  if (broken_) return -1;
  out_.append(ptr, size);
  return static_cast<ssize_t>(size);
}

bool SocketStream::flush() {
  std::size_t sent = 0;
  while (sent < out_.size() && !broken_) {
    const ssize_t n =
        ::send(sock_, out_.data() + sent, out_.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (n < 0 && errno == EINTR) {
      continue;
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      if (!wait(POLLOUT)) broken_ = true;
    } else {
      broken_ = true;
    }
  }
  out_.clear();
  if (out_.capacity() > 16u << 10) out_.shrink_to_fit();
  return !broken_;
}

}  // namespace saddleslip::transport
