#pragma once

#include <string>
#include <tuple>

namespace turmeric::streams {

/** The software that began a stream. Only upstreams with the same software can
 * resume it. */
struct StreamOrigin {
  std::string service;
  std::string version;  ///< Software version of the upstream.

  bool operator==(const StreamOrigin&) const = default;
  bool operator<(const StreamOrigin& other) const {
    return std::tie(service, version) < std::tie(other.service, other.version);
  }
};

}  // namespace turmeric::streams
