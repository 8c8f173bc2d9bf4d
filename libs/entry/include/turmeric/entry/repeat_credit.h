#pragma once

#include <string>
#include <string_view>

namespace turmeric::entry {

struct EntryContext;

/**
 * Takes the credit for one repeat, and logs and counts what came of it.
 * @param context the instance's state. @param service where the repeat goes.
 * @param request that is repeated, for the log.
 * @return true if one more repeat may be sent.
 */
bool TakeRepeat(EntryContext& context, const std::string& service,
                std::string_view request);

}  // namespace turmeric::entry
