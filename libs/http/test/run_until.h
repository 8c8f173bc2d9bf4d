#pragma once

#include <functional>

namespace turmeric::http::test {

/** Runs the event loop until a condition holds, for 3 s at most.
 * @param condition the condition. @return whether it holds. */
bool RunUntil(const std::function<bool()>& condition);

}  // namespace turmeric::http::test
