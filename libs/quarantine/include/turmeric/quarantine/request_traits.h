#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace turmeric::quarantine {

/** What a request has in common with others that run on the same upstreams. */
struct RequestTraits {
  std::string fingerprint;  ///< Equal for all copies of the request.
  /** Keys of the prompt parts that other requests may share; see PartKey. */
  std::vector<std::string> parts;
};

/**
 * @param model that reads the prompt.
 * @param part id of a part of the prompt.
 * @return "MODEL/PART", each replaced by a hash if it is longer than a usual id
 *     or has characters other than letters, digits, '-', '_' and '.'.
 */
std::string PartKey(std::string_view model, std::string_view part);

/** @param trait a fingerprint or the key of a part. @return true if it is a
 * part's. */
bool IsPartKey(std::string_view trait);

/** @param parts see RequestTraits. @return the keys with '+' between them; "-"
 * if there are none. */
std::string JoinParts(const std::vector<std::string>& parts);

}  // namespace turmeric::quarantine
