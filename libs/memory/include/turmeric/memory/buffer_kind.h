#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace turmeric::memory {

/** What an instance holds bytes for. */
enum class BufferKind {
  kCallerRequest,   ///< Requests of callers, until their final answer.
  kCallerAnswer,    ///< Bytes that callers have not taken yet.
  kUpstreamAnswer,  ///< Answers of upstreams that are held back.
  kPeerLink,        ///< Bytes that peer instances have not taken yet.
};

/** Names of the kinds in logs and metrics, in the order of BufferKind. */
inline constexpr std::array<std::string_view, 4> kBufferKindNames = {
    "caller_request", "caller_answer", "upstream_answer", "peer_link"};

inline constexpr size_t kBufferKinds = kBufferKindNames.size();

}  // namespace turmeric::memory
