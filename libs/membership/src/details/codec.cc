#include "details/codec.h"

#include <algorithm>
#include <iterator>

#include "details/membership_generated.h"

namespace turmeric::membership::details {

namespace {

flatbuffers::Offset<wire::Member> Write(flatbuffers::FlatBufferBuilder& builder,
                                        const Member& m) {
  return wire::CreateMember(builder, builder.CreateSharedString(m.name),
                            builder.CreateSharedString(m.zone), m.address.ip,
                            m.address.port, m.incarnation,
                            static_cast<wire::State>(m.state));
}

std::string Text(const flatbuffers::String* s) { return s ? s->str() : ""; }

Member Read(const wire::Member& m) {
  return {Text(m.name()),
          Text(m.zone()),
          {m.ip(), m.port()},
          m.incarnation(),
          static_cast<MemberState>(m.state())};
}

bool Valid(const wire::Member* m) {
  return m != nullptr && m->name() != nullptr && m->name()->size() > 0 &&
         m->state() >= wire::State::MIN && m->state() <= wire::State::MAX;
}

}  // namespace

std::vector<uint8_t> Encode(const Message& message) {
  flatbuffers::FlatBufferBuilder builder(512);
  const auto from = Write(builder, message.from);
  flatbuffers::Offset<wire::Member> target;
  if (message.target) target = Write(builder, *message.target);
  std::vector<flatbuffers::Offset<wire::Member>> updates;
  std::ranges::transform(message.updates, std::back_inserter(updates),
                         [&](const Member& m) { return Write(builder, m); });
  const auto list = builder.CreateVector(updates);
  wire::FinishMessageBuffer(
      builder,
      wire::CreateMessage(builder, static_cast<wire::Kind>(message.kind),
                          message.sequence, from, target, list));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<Message> Decode(std::span<const uint8_t> bytes) {
  // Guard: any process can send a datagram to this port. The verifier checks
  // all offsets of the buffer before they are used.
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifyMessageBuffer(verifier)) return std::nullopt;
  const wire::Message& m = *wire::GetMessage(bytes.data());
  if (!Valid(m.from()) || m.kind() > wire::Kind::MAX ||
      m.kind() < wire::Kind::MIN) {
    return std::nullopt;
  }
  Message out;
  out.kind = static_cast<MessageKind>(m.kind());
  out.sequence = m.sequence();
  out.from = Read(*m.from());
  if (Valid(m.target())) out.target = Read(*m.target());
  if (m.updates() != nullptr) {
    for (const wire::Member* u : *m.updates()) {
      if (Valid(u)) out.updates.push_back(Read(*u));
    }
  }
  return out;
}

}  // namespace turmeric::membership::details
