#include "turmeric/http/tunnel.h"

#include <charconv>

#include "turmeric/http/message.h"

namespace turmeric::http {

namespace {

constexpr std::string_view kMethod = "CONNECT ";
constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
/** Earlier releases ignore it. */
constexpr std::string_view kFramingField = "Tunnel-Framing: length\r\n";

}  // namespace

std::string EncodeTunnelRequest(std::string_view target) {
  std::string request(kMethod);
  request.append(target).append(" ").append(kVersion).append("\r\n");
  AppendHeader(request, "Host", target);
  return request.append(kFramingField).append(kLineEnd);
}

std::string EncodeTunnelAnswer(TunnelStatus status, TunnelFraming framing) {
  const int code = static_cast<int>(status);
  std::string answer(kVersion);
  answer.append(" ").append(std::to_string(code)).append(" ");
  answer.append(ReasonPhrase(code)).append(kLineEnd);
  if (framing == TunnelFraming::kLength) answer.append(kFramingField);
  return answer.append(kLineEnd);
}

std::optional<TunnelHead> ParseTunnelHead(std::string_view received) {
  const size_t end = received.find(kHeadEnd);
  if (end == std::string_view::npos) return std::nullopt;
  TunnelHead head;
  head.bytes = end + kHeadEnd.size();
  const std::string_view lines = received.substr(0, end + kLineEnd.size());
  if (lines.find(std::string(kLineEnd).append(kFramingField)) !=
      std::string_view::npos) {
    head.framing = TunnelFraming::kLength;
  }
  std::string_view line = received.substr(0, received.find(kLineEnd));
  if (line.starts_with(kMethod)) {
    line.remove_prefix(kMethod.size());
    head.target = line.substr(0, line.find(' '));
  } else if (line.starts_with(kVersion) && line.size() > kVersion.size()) {
    line.remove_prefix(kVersion.size() + 1);
    std::from_chars(line.data(), line.data() + line.size(), head.status);
  }
  return head;
}

}  // namespace turmeric::http
