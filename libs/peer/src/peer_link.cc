#include "turmeric/peer/peer_link.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <span>
#include <utility>

namespace turmeric::peer {

using std::chrono::milliseconds;

namespace {

/** Longest handshake between instances a few milliseconds apart. */
constexpr milliseconds kConnectTimeout{300};
/** Longest wait for an acknowledgement: an instance with a small processor
 * quota may pause for a tenth of a second, a slow one for more. */
constexpr milliseconds kAckTimeout{450};
/** A frame larger than this is no message of ours, bytes. */
constexpr uint32_t kMaxFrame = 16 * 1024 * 1024;

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
  Attach();
}

PeerLink::PeerLink(int fd, Events events, QObject* parent)
    : QObject(parent),
      events_(std::move(events)),
      socket_(new http::TcpSocket(fd, this)) {
  Attach();
}

PeerLink::~PeerLink() = default;

void PeerLink::Attach() {
  socket_->set_events(
      {.on_connected = {},
       .on_bytes = [this](std::string_view bytes) { OnBytes(bytes); },
       .on_end = [this](http::SocketEnd) { End("connection ended"); },
       .on_drained = {}});
  for (QTimer* timer : {&flush_, &ack_timeout_}) timer->setSingleShot(true);
  connect(&flush_, &QTimer::timeout, this, [this] { Flush(); });
  connect(&ack_timeout_, &QTimer::timeout, this, [this] {
    silent_ = true;
    End("no acknowledgement");
  });
}

Frame& PeerLink::outgoing() {
  if (!flush_.isActive()) flush_.start(0);
  return next_;
}

void PeerLink::Greet() {
  greets_ = true;
  outgoing();
}

void PeerLink::Flush() {
  if (!alive_) return;
  Frame frame = std::exchange(next_, {});
  frame.sender = std::exchange(sender_, {});
  frame.acknowledged = seen_sequence_;
  const bool greets = std::exchange(greets_, false);
  if (greets || !frame.pieces.empty() || !frame.placements.empty()) {
    frame.sequence = ++sent_sequence_;
    if (!ack_timeout_.isActive()) ack_timeout_.start(kAckTimeout);
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
  pending_.append(bytes);
  size_t at = 0;
  while (alive_ && pending_.size() - at >= sizeof(uint32_t)) {
    std::string_view rest = pending_;
    rest.remove_prefix(at);
    const uint32_t length = DecodeLength(rest);
    if (length > kMaxFrame) return End("frame too large");
    if (rest.size() < sizeof(uint32_t) + length) break;
    // FlatBuffers need an aligned start.
    std::vector<uint8_t> body(length);
    std::memcpy(body.data(), rest.data() + sizeof(uint32_t), length);
    at += sizeof(uint32_t) + length;
    auto frame = Decode(body, stages::Clock::now());
    if (!frame) return End("malformed frame");
    OnFrame(std::move(*frame));
  }
  pending_.erase(0, at);
}

void PeerLink::OnFrame(Frame&& frame) {
  if (frame.acknowledged > acknowledged_) {
    acknowledged_ = frame.acknowledged;
    ack_timeout_.stop();
    if (acknowledged_ < sent_sequence_) ack_timeout_.start(kAckTimeout);
  }
  heard_ = true;
  if (frame.sequence > seen_sequence_) {
    seen_sequence_ = frame.sequence;
    outgoing();  // The acknowledgement, with whatever else leaves now.
  }
  events_.on_frame(std::move(frame));
}

void PeerLink::End(std::string_view why) {
  if (!std::exchange(alive_, false)) return;
  flush_.stop();
  ack_timeout_.stop();
  socket_->Abort();
  if (auto callback = std::exchange(events_.on_end, nullptr)) callback(why);
}

void PeerLink::Close() {
  events_.on_end = nullptr;
  End("closed");
}

}  // namespace turmeric::peer
