#pragma once

#include <compare>
#include <string>

namespace turmeric::streams {

/** Identifies one stream over all attempts of its caller. */
struct StreamId {
  std::string organisation;  ///< Of the caller; empty: none.
  /** The caller's attempt that brought the first event; empty: not stated. */
  std::string attempt_id;

  auto operator<=>(const StreamId&) const = default;
};

}  // namespace turmeric::streams
