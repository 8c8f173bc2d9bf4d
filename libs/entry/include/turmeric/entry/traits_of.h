#pragma once

#include <string_view>

#include "turmeric/quarantine/request_traits.h"

namespace turmeric::entry {

struct CallerRequest;

/**
 * @param request of a caller.
 * @param organisation of the caller; empty: the key tells callers apart.
 * @return its traits, equal on all instances. The last part of its prompt is
 *     its own and none of them.
 */
quarantine::RequestTraits TraitsOf(const CallerRequest& request,
                                   std::string_view organisation);

}  // namespace turmeric::entry
