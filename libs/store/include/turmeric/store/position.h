#pragma once

#include <cstdint>

namespace turmeric::store {

/**
 * A state of the platform's store as one number: its era in the upper bits, its
 * revision below. The store begins a new era when it has lost what it had
 * acknowledged, and gives revisions out again; positions grow all the same, and
 * every comparison of two states compares positions. A store without eras is in
 * era 0, where a position is the revision.
 */
using Position = int64_t;

inline constexpr int kRevisionBits = 40;
inline constexpr int64_t kMostRevision = (int64_t{1} << kRevisionBits) - 1;
inline constexpr int64_t kMostEra = (int64_t{1} << (62 - kRevisionBits)) - 1;

/** @param era 0 to kMostEra. @param revision 0 to kMostRevision.
 * @return the position. */
constexpr Position MakePosition(int64_t era, int64_t revision) {
  return (era << kRevisionBits) | revision;
}

/** @param position of a state. @return its era. */
constexpr int64_t EraOf(Position position) { return position >> kRevisionBits; }

/** @param position of a state. @return its revision within the era. */
constexpr int64_t RevisionOf(Position position) {
  return position & kMostRevision;
}

}  // namespace turmeric::store
