#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::http {

/** One header field, unchanged from the wire. */
struct HeaderField {
  std::string name;
  std::string value;
};

/** Head of a request (request line and headers), and its body once read. */
struct RequestMessage {
  std::string method;
  std::string target;  ///< Path and query, unchanged.
  std::vector<HeaderField> headers;
  std::string body;
};

/** Head of a response (status and headers). */
struct ResponseHead {
  int status = 0;
  std::vector<HeaderField> headers;
};

/** @param headers header fields. @return bytes of memory that they hold; a
 * short field holds many times its length. */
size_t HeadBytes(std::span<const HeaderField> headers);

/**
 * @param headers header fields. @param name a field name, any case.
 * @return value of the first field with that name, empty if there is none.
 */
std::string_view HeaderValue(std::span<const HeaderField> headers,
                             std::string_view name);

/**
 * @param headers header fields. @param name a field name, any case.
 * @return true if there is a field with that name.
 */
bool HasHeader(std::span<const HeaderField> headers, std::string_view name);

/** @return true if `a` and `b` are equal, ignoring ASCII case. */
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/**
 * @param name a field name.
 * @return true for fields that apply to a single connection (RFC 9110 7.6.1)
 *     or to its framing; a proxy does not forward these.
 */
bool IsHopByHop(std::string_view name);

/**
 * @param head head of a response to a request other than HEAD.
 * @return true if its body has neither a length nor chunks and ends with the
 *     connection (RFC 9112 6.3).
 */
bool EndsWithConnection(const ResponseHead& head);

/** @param status HTTP status code. @return its standard reason phrase. */
std::string_view ReasonPhrase(int status);

/** Appends "name: value\r\n" to `out`. Control characters cannot end the field:
 * they are left out of the name, and are spaces in the value except for tabs.
 */
void AppendHeader(std::string& out, std::string_view name,
                  std::string_view value);

}  // namespace turmeric::http
