#include "turmeric/peer/peer_link.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <span>
#include <utility>

namespace turmeric::peer {

using std::chrono::milliseconds;

namespace {

/** Timeout of the TCP handshake; instances are a few milliseconds apart. */
constexpr milliseconds kConnectTimeout{300};
/** Timeout of an acknowledgement. An instance with a small CPU quota may be
 * paused for 100 ms, a slow instance for longer. */
constexpr milliseconds kAckTimeout{450};
/** Largest frame accepted. A length prefix with a larger value is assumed not
 * to be from an instance and ends the link. */
constexpr uint32_t kMaxFrameBytes = 16 * 1024 * 1024;

using LengthBytes = std::array<char, sizeof(uint32_t)>;

LengthBytes EncodeLength(uint32_t length) {
  LengthBytes bytes;
  for (size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<char>(length >> (8 * i));
  }
  return bytes;
}

uint32_t DecodeLength(std::string_view bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < sizeof(length); ++i) {
    length |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[i]))
              << (8 * i);
  }
  return length;
}

}  // namespace

PeerLink::PeerLink(const http::Endpoint& peer, std::string sender,
                   Events events, QObject* parent)
    : QObject(parent),
      sender_(std::move(sender)),
      events_(std::move(events)),
      socket_(new http::TcpSocket(peer, kConnectTimeout, this)) {
  AttachSocket();
}

PeerLink::PeerLink(int fd, Events events, QObject* parent)
    : QObject(parent),
      events_(std::move(events)),
      socket_(new http::TcpSocket(fd, this)) {
  AttachSocket();
}

PeerLink::~PeerLink() = default;

size_t PeerLink::buffered() const {
  return receive_buffer_.size() + socket_->unsent();
}

void PeerLink::AttachSocket() {
  socket_->set_events(
      {.on_connected = {},
       .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
       .on_end = [this](http::SocketEnd) { End("connection ended"); },
       .on_drained = {}});
  for (QTimer* timer : {&flush_timer_, &ack_timer_}) timer->setSingleShot(true);
  connect(&flush_timer_, &QTimer::timeout, this, [this] { Flush(); });
  connect(&ack_timer_, &QTimer::timeout, this, [this] {
    ack_timed_out_ = true;
    End("no acknowledgement");
  });
}

Frame& PeerLink::outgoing() {
  if (!flush_timer_.isActive()) flush_timer_.start(0);
  return next_frame_;
}

void PeerLink::RequestAck() {
  ack_requested_ = true;
  outgoing();
}

void PeerLink::Flush() {
  if (!alive_) return;
  Frame frame = std::exchange(next_frame_, {});
  frame.sender = std::exchange(sender_, {});
  frame.acknowledged = received_sequence_;
  const bool ack_requested = std::exchange(ack_requested_, false);
  if (ack_requested || !frame.pieces.empty() || !frame.placements.empty()) {
    frame.sequence = ++sent_sequence_;
    if (!ack_timer_.isActive()) ack_timer_.start(kAckTimeout);
  }
  if (events_.on_flush) events_.on_flush(frame);
  const std::vector<uint8_t> body = Encode(frame, stages::Clock::now());
  const LengthBytes length = EncodeLength(static_cast<uint32_t>(body.size()));
  std::string out;
  out.reserve(length.size() + body.size());
  out.append(length.data(), length.size());
  out.append(reinterpret_cast<const char*>(body.data()), body.size());
  socket_->Write(out);
}

void PeerLink::OnBytes(std::string_view bytes) {
  receive_buffer_.append(bytes);
  size_t at = 0;
  while (alive_ && receive_buffer_.size() - at >= sizeof(uint32_t)) {
    std::string_view rest = receive_buffer_;
    rest.remove_prefix(at);
    const uint32_t length = DecodeLength(rest);
    if (length > kMaxFrameBytes) return End("frame too large");
    if (rest.size() < sizeof(uint32_t) + length) break;
    // FlatBuffers requires an aligned buffer.
    std::vector<uint8_t> body(length);
    std::memcpy(body.data(), rest.data() + sizeof(uint32_t), length);
    at += sizeof(uint32_t) + length;
    auto frame = Decode(body, stages::Clock::now());
    if (!frame) return End("malformed frame");
    OnFrame(std::move(*frame));
  }
  receive_buffer_.erase(0, at);
}

void PeerLink::OnFrame(Frame&& frame) {
  if (frame.acknowledged > acknowledged_sequence_) {
    acknowledged_sequence_ = frame.acknowledged;
    ack_timer_.stop();
    if (acknowledged_sequence_ < sent_sequence_) ack_timer_.start(kAckTimeout);
  }
  has_received_ = true;
  if (frame.sequence > received_sequence_) {
    received_sequence_ = frame.sequence;
    outgoing();  // Schedules a frame, which carries the acknowledgement.
  }
  events_.on_frame(std::move(frame));
}

void PeerLink::End(std::string_view why) {
  if (!std::exchange(alive_, false)) return;
  flush_timer_.stop();
  ack_timer_.stop();
  socket_->Abort();
  if (auto callback = std::exchange(events_.on_end, nullptr)) callback(why);
}

void PeerLink::Close() {
  events_.on_end = nullptr;
  End("closed");
}

}  // namespace turmeric::peer
