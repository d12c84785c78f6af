#include "transport/socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace saddleslip::transport {

namespace {

constexpr long kLongestPollMs = 3'600'000;          // poll(2) takes an int
constexpr std::size_t kMostIdleOutput = 16u << 10;  // a larger output buffer is given back

bool would_block(int error) {
  return error == EAGAIN || error == EWOULDBLOCK;
}

}  // namespace

bool SocketStream::wait(short events) const {
  for (;;) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - base::SteadyClock::now());
    if (left.count() <= 0) return false;
    pollfd request{socket_, events, 0};
    // One more, as the remaining time was rounded down.
    const int timeout_ms = static_cast<int>(std::min<long>(left.count(), kLongestPollMs)) + 1;
    const int ready = ::poll(&request, 1, timeout_ms);
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
}

bool SocketStream::receive() {
  for (;;) {
    const ssize_t received = ::recv(socket_, input_.data(), input_.size(), MSG_DONTWAIT);
    if (received > 0) {
      begin_ = 0;
      end_ = static_cast<std::size_t>(received);
      return true;
    }
    if (received == 0) return false;
    if (errno == EINTR) continue;
    if (!would_block(errno) || !wait(POLLIN)) return false;
  }
}

bool SocketStream::wait_for_data() {
  return has_data() || receive();
}

ssize_t SocketStream::read(char* ptr, size_t size) {
  if (!flush()) return -1;
  if (!has_data() && !receive()) return -1;
  const std::size_t count = std::min(size, end_ - begin_);
  std::memcpy(ptr, input_.data() + begin_, count);
  begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* ptr, size_t size) {
  if (is_broken_) return -1;
  output_.append(ptr, size);
  return static_cast<ssize_t>(size);
}

bool SocketStream::flush() {
  std::size_t sent = 0;
  while (sent < output_.size() && !is_broken_) {
    const ssize_t count =
        ::send(socket_, output_.data() + sent, output_.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (count < 0 && errno == EINTR) {
      continue;
    } else if (count < 0 && would_block(errno)) {
      if (!wait(POLLOUT)) is_broken_ = true;
    } else {
      is_broken_ = true;
    }
  }
  output_.clear();
  if (output_.capacity() > kMostIdleOutput) output_.shrink_to_fit();
  return !is_broken_;
}

}  // namespace saddleslip::transport
