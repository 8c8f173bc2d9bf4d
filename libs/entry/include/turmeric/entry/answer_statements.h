#pragma once

#include "turmeric/routing/upstream.h"

namespace turmeric::entry {

struct AnswerInfo;
struct EntryContext;

/**
 * Applies what an answer states about its upstream: its rate limit, whether it
 * is brittle, leaves or wants a rest, and its load.
 * @param context the instance's state.
 * @param upstream the upstream that answered.
 * @param status status of the answer.
 * @param info decoded from the head of the answer.
 * @param sent_at when the request was sent.
 */
void ApplyStatements(EntryContext& context,
                     const routing::UpstreamPtr& upstream, int status,
                     const AnswerInfo& info,
                     routing::Clock::time_point sent_at);

}  // namespace turmeric::entry
