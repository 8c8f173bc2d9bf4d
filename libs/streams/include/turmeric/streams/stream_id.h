#pragma once

#include <string>
#include <tuple>

namespace turmeric::streams {

/** Identifies one stream over all attempts of its caller. */
struct StreamId {
  std::string organisation;  ///< Of the caller; empty: none.
  /** The caller's attempt that brought the first event; empty: not stated. */
  std::string attempt_id;

  bool operator==(const StreamId&) const = default;
  bool operator<(const StreamId& other) const {
    return std::tie(organisation, attempt_id) <
           std::tie(other.organisation, other.attempt_id);
  }
};

}  // namespace turmeric::streams
