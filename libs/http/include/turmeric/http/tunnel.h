#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmeric::http {

/** Longest head of a tunnel request or answer, bytes. */
inline constexpr size_t kMaxTunnelHeadBytes = 1024;

/** Status codes of answers to a tunnel request. */
enum class TunnelStatus {
  kOpen = 200,         ///< Bytes are forwarded to the target from now on.
  kMalformed = 400,    ///< The request cannot be read.
  kUnknown = 404,      ///< The proxy does not know the target.
  kRefused = 502,      ///< The target's host refused the connection.
  kUnavailable = 503,  ///< The proxy opens no more tunnels, or does not reach
                       ///< the target itself.
  kTimeout = 504,      ///< The target did not accept in time.
};

/** @param target name of the server to connect to; without white space.
 * @return the request that opens a tunnel to it. It offers that the bytes of
 *     the server are framed; see TunnelFrameReader. */
std::string EncodeTunnelRequest(std::string_view target);

/** How the bytes of the server are sent through a tunnel. Those to the server
 * are never framed. */
enum class TunnelFraming {
  kNone,    ///< As they are.
  kLength,  ///< In frames; see TunnelFrameReader.
};

/** @param status result of a tunnel request. @param framing of the bytes that
 * follow; kLength only if the request offers it. @return the answer. */
std::string EncodeTunnelAnswer(TunnelStatus status,
                               TunnelFraming framing = TunnelFraming::kNone);

/** The head of a tunnel request or answer. */
struct TunnelHead {
  size_t bytes = 0;    ///< Length of the head.
  std::string target;  ///< Of a request; empty: malformed.
  int status = 0;      ///< Of an answer; 0: malformed.
  /** Of a request: offered; of an answer: used. */
  TunnelFraming framing = TunnelFraming::kNone;
};

/** @param received bytes from the begin of the connection.
 * @return the head, or nullopt if its end has not been received. */
std::optional<TunnelHead> ParseTunnelHead(std::string_view received);

}  // namespace turmeric::http
