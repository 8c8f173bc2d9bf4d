#include "turmeric/http/message.h"

#include <algorithm>
#include <array>
// clang-format off: Beast's status header needs a complete std::ostream.
#include <boost/beast/http/status.hpp>
#include <ostream>
// clang-format on
#include <functional>
#include <iterator>
#include <numeric>

#include "turmeric/utils/control_characters.h"

namespace turmeric::http {

namespace {

char Lower(char c) {
  const bool upper = c >= 'A' && c <= 'Z';
  return upper ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, {}, Lower, Lower);
}

size_t HeadBytes(std::span<const HeaderField> headers) {
  return std::transform_reduce(headers.begin(), headers.end(), size_t{0},
                               std::plus<>(), [](const HeaderField& h) {
                                 return sizeof(HeaderField) + h.name.size() +
                                        h.value.size();
                               });
}

bool HasHeader(std::span<const HeaderField> headers, std::string_view name) {
  return std::ranges::any_of(headers, [&](const HeaderField& h) {
    return EqualsIgnoringCase(h.name, name);
  });
}

std::string_view HeaderValue(std::span<const HeaderField> headers,
                             std::string_view name) {
  const auto it = std::ranges::find_if(headers, [&](const HeaderField& h) {
    return EqualsIgnoringCase(h.name, name);
  });
  return it == headers.end() ? std::string_view() : it->value;
}

bool EndsWithConnection(const ResponseHead& head) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return head.status >= kFirstFinalStatus && head.status != kNoContent &&
         head.status != kNotModified &&
         !HasHeader(head.headers, "Content-Length") &&
         !HasHeader(head.headers, "Transfer-Encoding");
}

bool IsHopByHop(std::string_view name) {
  constexpr std::array<std::string_view, 10> kNames = {
      "Connection",          "Keep-Alive", "Proxy-Connection", "TE",
      "Transfer-Encoding",   "Trailer",    "Upgrade",          "Content-Length",
      "Proxy-Authorization", "Expect"};
  return std::ranges::any_of(kNames, [&](std::string_view known) {
    return EqualsIgnoringCase(known, name);
  });
}

std::string_view ReasonPhrase(int status) {
  const auto phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

void AppendHeader(std::string& out, std::string_view name,
                  std::string_view value) {
  std::ranges::remove_copy_if(name, std::back_inserter(out),
                              utils::IsControlCharacter);
  out.append(": ");
  const size_t start = out.size();
  out.append(value);
  std::ranges::replace_if(
      std::span(out).subspan(start),
      [](char c) { return utils::IsControlCharacter(c) && c != '\t'; }, ' ');
  out.append("\r\n");
}

}  // namespace turmeric::http
