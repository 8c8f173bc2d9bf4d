#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace turmeric::membership {

/** Where an instance's membership messages go: IPv4 and UDP port. */
struct Address {
  uint32_t ip = 0;  ///< Host byte order.
  uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

/** What is believed of an instance; later ones override earlier ones of the
 * same incarnation. */
enum class MemberState : uint8_t {
  kAlive,
  kSuspect,  ///< Did not answer a probe; may still object.
  kLeaving,  ///< Says it is stopping.
  kDead,     ///< Suspected too long, or gone after leaving.
};

/** One entry instance as others know it. */
struct Member {
  std::string name;
  std::string zone;
  Address address;
  uint64_t incarnation = 0;  ///< Raised by the instance itself, only.
  MemberState state = MemberState::kAlive;
};

/**
 * @param update news of a member. @param held what is known of it.
 * @return true if the news is newer.
 */
constexpr bool Supersedes(const Member& update, const Member& held) {
  return update.incarnation != held.incarnation
             ? update.incarnation > held.incarnation
             : update.state > held.state;
}

}  // namespace turmeric::membership
