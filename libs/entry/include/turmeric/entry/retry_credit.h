#pragma once

#include <string>
#include <string_view>

namespace turmeric::entry {

struct EntryContext;

/** Weight of a piece where credit is earned for it: it counts at the instance
 * whose request it is and at the one that makes its calls. */
constexpr double kPieceWeight = 0.5;

/**
 * Takes the credit for repeats, and logs and counts what came of it.
 * @param context the instance's state. @param service where they go.
 * @param request that is repeated, for the log. @param repeats how many.
 * @return true if they may be sent.
 */
bool TakeRepeats(EntryContext& context, const std::string& service,
                 std::string_view request, int repeats = 1);

}  // namespace turmeric::entry
