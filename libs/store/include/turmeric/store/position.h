#pragma once

#include <cstdint>

namespace turmeric::store {

/**
 * A state of the platform's store as one number: the era in the upper bits, the
 * revision in the lower ones. The store begins a new era when it has lost
 * acknowledged writes, and then assigns revisions a second time. Positions
 * still increase, so two states are always compared by position. A store
 * without eras is in era 0, where the position equals the revision.
 */
using Position = int64_t;

inline constexpr int kRevisionBits = 40;
inline constexpr int64_t kMaxRevision = (int64_t{1} << kRevisionBits) - 1;
inline constexpr int64_t kMaxEra = (int64_t{1} << (62 - kRevisionBits)) - 1;

/** @param era 0 to kMaxEra. @param revision 0 to kMaxRevision.
 * @return the position. */
constexpr Position MakePosition(int64_t era, int64_t revision) {
  return (era << kRevisionBits) | revision;
}

/** @param position position of a state. @return its era. */
constexpr int64_t EraOf(Position position) { return position >> kRevisionBits; }

/** @param position position of a state. @return its revision within the
 * era. */
constexpr int64_t RevisionOf(Position position) {
  return position & kMaxRevision;
}

}  // namespace turmeric::store
