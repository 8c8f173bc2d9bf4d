#pragma once

#include <string>
#include <string_view>

namespace turmeric::quarantine {

/** What two attempts of one request have in common. Fields that name an attempt
 * or its deadline differ each time it comes, and are no part of it. */
struct RequestContent {
  std::string_view caller;  ///< The organisation, or the key if there is none.
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
};

/**
 * @param content what was asked for.
 * @return 16 hexadecimal digits, equal for equal content.
 */
std::string Fingerprint(const RequestContent& content);

}  // namespace turmeric::quarantine
