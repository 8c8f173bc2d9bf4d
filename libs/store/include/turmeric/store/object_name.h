#pragma once

#include <string_view>

namespace turmeric::store {

/**
 * @param name name of an object, or a text that names something within one.
 * @return true if it can be used in header fields and log lines: from 1 to
 *     1,024 bytes without control characters. Others are not names that a
 *     writer of this system uses.
 */
bool IsUsableName(std::string_view name);

}  // namespace turmeric::store
