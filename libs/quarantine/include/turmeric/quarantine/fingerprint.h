#pragma once

#include <string>
#include <string_view>

namespace turmeric::quarantine {

/** The content that is equal in all attempts of a request. Excludes header
 * fields that differ between attempts, such as attempt id and deadline. */
struct RequestContent {
  std::string_view caller;  ///< The organisation, or the key if there is none.
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
};

/**
 * @param content content of a request.
 * @return 16 hexadecimal digits, equal for equal content.
 */
std::string Fingerprint(const RequestContent& content);

}  // namespace turmeric::quarantine
