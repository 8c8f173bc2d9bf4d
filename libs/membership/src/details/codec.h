#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "turmeric/membership/member.h"

namespace turmeric::membership::details {

/** Purpose of a message. */
enum class MessageKind : uint8_t { kPing, kAck, kPingRequest };

/** One message between instances. */
struct Message {
  MessageKind kind = MessageKind::kPing;
  uint64_t sequence = 0;  ///< Sequence number of the message's probe.
  Member from;            ///< The sender.
  /** Member to probe; set only in ping requests. */
  std::optional<Member> target;
  std::vector<Member> updates;
};

/** @param message a message. @return the datagram that encodes it
 * (FlatBuffers). */
std::vector<uint8_t> Encode(const Message& message);
/** @param bytes a datagram. @return the message; nullopt if malformed. */
std::optional<Message> Decode(std::span<const uint8_t> bytes);

}  // namespace turmeric::membership::details
