#include "turmeric/entry/upstream_limiter.h"

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/limits/limit_statement.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using limits::LimitStatement;
using routing::Upstream;

namespace {

constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
/** Value of a log field for an upstream without a limit. */
constexpr double kNoLimit = -1;

}  // namespace

void UpstreamLimiter::OnAnswer(Upstream& upstream, int status,
                               const AnswerInfo& info,
                               Clock::time_point sent_at) {
  // Another process at the upstream's address has answered.
  if (status == kMisdirected) return;
  if (info.rate_limit_malformed) {
    utils::DecisionLog("rate_limit_malformed")
        .Add("upstream", upstream.entry.id);
    return;
  }
  // A failing upstream may omit the limit.
  if (!info.rate_limit && (info.not_run || status >= kServerError)) return;
  const LimitStatement statement{.per_s = info.rate_limit,
                                 .sent_at = sent_at,
                                 .received_at = Clock::now()};
  if (!upstream.rate_limit.Apply(statement)) return;
  utils::DecisionLog("rate_limit_changed")
      .Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("per_s", statement.per_s.value_or(kNoLimit))
      .Add("answer", info.attempt_id);
}

void UpstreamLimiter::OnSend(const Upstream& upstream) const {
  const auto per_s = upstream.rate_limit.per_s();
  if (!per_s) return;
  context_.metrics->OnLimitedSend(upstream.entry.service);
  utils::DecisionLog("limited_send")
      .Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("per_s", *per_s);
}

}  // namespace turmeric::entry
