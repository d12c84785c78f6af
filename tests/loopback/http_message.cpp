#include "loopback/http_message.h"

#include <algorithm>
#include <cctype>

namespace saddleslip::testing {

namespace {

const std::string kEndOfHead = "\r\n\r\n";
const std::string kLengthHeader = "content-length:";
const std::string kCloseHeader = "connection: close";

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

}  // namespace

int HttpMessage::status() const {
  const auto space = first_line.find(' ');
  if (!first_line.starts_with("HTTP/") || space == std::string::npos) return 0;
  return std::atoi(first_line.c_str() + space + 1);
}

std::optional<HttpMessage> take_message(std::string& buffer) {
  const auto end_of_head = buffer.find(kEndOfHead);
  if (end_of_head == std::string::npos) return {};
  const std::string head = lower_case(buffer.substr(0, end_of_head));
  const auto length_at = head.find(kLengthHeader);
  const std::size_t length =
      length_at == std::string::npos
          ? 0
          : static_cast<std::size_t>(std::atol(head.c_str() + length_at + kLengthHeader.size()));
  const std::size_t body_begin = end_of_head + kEndOfHead.size();
  if (buffer.size() < body_begin + length) return {};
  HttpMessage message;
  message.first_line = buffer.substr(0, buffer.find("\r\n"));
  message.body = buffer.substr(body_begin, length);
  message.closes_connection = head.find(kCloseHeader) != std::string::npos;
  buffer.erase(0, body_begin + length);
  return message;
}

std::string encode_post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: localhost\r\nContent-Type: application/json\r\n" +
         "Content-Length: " + std::to_string(body.size()) + kEndOfHead + body;
}

std::string encode_response(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n" +
         "Content-Length: " + std::to_string(body.size()) + kEndOfHead + body;
}

}  // namespace saddleslip::testing
