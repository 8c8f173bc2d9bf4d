#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace turmeric::membership {

/** UDP address at which an instance receives membership messages (IPv4). */
struct Address {
  uint32_t ip = 0;  ///< Host byte order.
  uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

/** State of an instance as seen by its peers. Within one incarnation, a later
 * enumerator overrides an earlier one. */
enum class MemberState : uint8_t {
  kAlive,
  kSuspect,  ///< Did not answer a probe; can refute the suspicion.
  kLeaving,  ///< Has announced its planned stop.
  kDead,     ///< The suspicion was not refuted in time.
};

/** An entry instance as seen by its peers. */
struct Member {
  std::string name;
  std::string zone;
  Address address;
  uint64_t incarnation = 0;  ///< Raised only by the instance itself.
  MemberState state = MemberState::kAlive;
};

/**
 * @param update an update on a member. @param known its known state.
 * @return true if the update is newer than the known state.
 */
constexpr bool Supersedes(const Member& update, const Member& known) {
  return update.incarnation != known.incarnation
             ? update.incarnation > known.incarnation
             : update.state > known.state;
}

}  // namespace turmeric::membership
