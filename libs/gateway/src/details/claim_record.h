#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::gateway::details {

/** The value of a claim object in the store. */
struct ClaimRecord {
  std::string state;  ///< "claimed" or "done".
  std::string token;
  std::string instance;
  int64_t expires_unix_ms = 0;
  std::string result;
};

/** @param r record. @return JSON text. */
std::string EncodeClaim(const ClaimRecord& r);
/** @param text JSON text. @return the record; empty state if malformed. */
ClaimRecord DecodeClaim(std::string_view text);

}  // namespace turmeric::gateway::details
