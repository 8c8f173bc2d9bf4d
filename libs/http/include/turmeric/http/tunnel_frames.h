#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::http {

/** Most bytes that one frame carries. */
inline constexpr size_t kMaxTunnelFrameBytes = size_t{64} * 1024;

/** Appends bytes as frames, each with its length in four bytes of network byte
 * order before it. @param bytes to be sent; may be empty: nothing is appended.
 * @param out receives the frames. */
void AppendTunnelFrames(std::string_view bytes, std::string& out);

/** Appends the empty frame, which states that the sender's source ended in an
 * orderly way. @param out receives the frame. */
void AppendTunnelEnd(std::string& out);

/** State of a sequence of frames. */
enum class TunnelFrameStatus {
  kOpen,       ///< More frames may follow.
  kEnded,      ///< The empty frame was the last.
  kMalformed,  ///< A frame is too long, or bytes follow the empty frame.
};

/**
 * Reads a sequence of frames. The end of a connection does not tell a source
 * that has ended from a sender that was killed; the empty frame does.
 */
class TunnelFrameReader {
 public:
  /** @param received the next bytes of the sequence, split anywhere.
   * @param payload receives the bytes of the frames, up to a malformed one.
   * @return the state after these bytes; kMalformed is final. */
  TunnelFrameStatus Read(std::string_view received, std::string& payload);

 private:
  void ReadLength(std::string_view& received);

  TunnelFrameStatus status_ = TunnelFrameStatus::kOpen;
  uint32_t length_ = 0;      ///< Received part of a frame's length.
  size_t length_bytes_ = 0;  ///< Size of that part.
  size_t remaining_ = 0;     ///< Bytes of the open frame that are to come.
};

}  // namespace turmeric::http
