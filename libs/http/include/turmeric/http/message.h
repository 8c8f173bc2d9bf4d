#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::http {

/** One header field, as it stood on the wire. */
struct HeaderField {
  std::string name;
  std::string value;
};

/** The head of a request, or all of it once `body` is complete. */
struct RequestMessage {
  std::string method;
  std::string target;  ///< Path and query, unchanged.
  std::vector<HeaderField> headers;
  std::string body;
};

/** The head of an answer. */
struct ResponseHead {
  int status = 0;
  std::vector<HeaderField> headers;
};

/**
 * @param headers header fields. @param name a field name, any case.
 * @return the first such field's value, empty if there is none.
 */
std::string_view HeaderValue(std::span<const HeaderField> headers,
                             std::string_view name);

/**
 * @param headers header fields. @param name a field name, any case.
 * @return true if such a field is there.
 */
bool HasHeader(std::span<const HeaderField> headers, std::string_view name);

/** @return true if both are the same but for ASCII case. */
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/**
 * @param name a field name.
 * @return true for fields that concern one connection only (RFC 9110 7.6.1)
 *     or its framing; a proxy does not pass these on.
 */
bool IsHopByHop(std::string_view name);

/** @param status HTTP status code. @return its standard reason phrase. */
std::string_view ReasonPhrase(int status);

/** Appends "name: value\r\n". */
void AppendHeader(std::string& out, std::string_view name,
                  std::string_view value);

}  // namespace turmeric::http
