#include "turmeric/http/tunnel_frames.h"

#include <utility>

namespace turmeric::http {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr unsigned kByteBits = 8;

void AppendLength(uint32_t length, std::string& out) {
  for (size_t i = kLengthBytes; i-- > 0;) {
    out.push_back(static_cast<char>(length >> (i * kByteBits)));
  }
}

}  // namespace

void AppendTunnelFrames(std::string_view bytes, std::string& out) {
  while (!bytes.empty()) {
    const std::string_view frame = bytes.substr(0, kMaxTunnelFrameBytes);
    AppendLength(static_cast<uint32_t>(frame.size()), out);
    out.append(frame);
    bytes.remove_prefix(frame.size());
  }
}

void AppendTunnelEnd(std::string& out) { AppendLength(0, out); }

TunnelFrameStatus TunnelFrameReader::Read(std::string_view received,
                                          std::string& payload) {
  while (!received.empty()) {
    if (status_ != TunnelFrameStatus::kOpen) {
      return status_ = TunnelFrameStatus::kMalformed;
    }
    if (remaining_ == 0) {
      ReadLength(received);
      continue;
    }
    const std::string_view part = received.substr(0, remaining_);
    payload.append(part);
    remaining_ -= part.size();
    received.remove_prefix(part.size());
  }
  return status_;
}

void TunnelFrameReader::ReadLength(std::string_view& received) {
  const auto byte = static_cast<unsigned char>(received.front());
  received.remove_prefix(1);
  length_ = (length_ << kByteBits) | byte;
  if (++length_bytes_ < kLengthBytes) return;
  length_bytes_ = 0;
  remaining_ = std::exchange(length_, 0);
  if (remaining_ == 0) status_ = TunnelFrameStatus::kEnded;
  if (remaining_ > kMaxTunnelFrameBytes) {
    status_ = TunnelFrameStatus::kMalformed;
  }
}

}  // namespace turmeric::http
