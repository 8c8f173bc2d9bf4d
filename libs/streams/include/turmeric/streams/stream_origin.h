#pragma once

#include <string>

namespace turmeric::streams {

/** The software that began a stream. Only upstreams with the same software can
 * resume it. */
struct StreamOrigin {
  std::string service;
  std::string version;  ///< Software version of the upstream.

  bool operator==(const StreamOrigin&) const = default;
};

}  // namespace turmeric::streams
