#pragma once

#include <string>
#include <string_view>

namespace turmeric::entry {

struct EntryContext;

/** Weight of a piece (one unit of stage work) when it earns retry credit: it is
 * counted twice, at the instance that has the request and at the instance that
 * makes the calls to the stage. */
constexpr double kPieceCreditWeight = 0.5;

/**
 * Spends retry credit if enough is left; logs the decision and counts refusals.
 * @param context the instance's state. @param service the service called.
 * @param request id of the retried request, for the log. @param retries number
 * of retries. @return true if the retries may be sent.
 */
bool SpendRetryCredit(EntryContext& context, const std::string& service,
                      std::string_view request, int retries = 1);

}  // namespace turmeric::entry
