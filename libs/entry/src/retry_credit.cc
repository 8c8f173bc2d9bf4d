#include "turmeric/entry/retry_credit.h"

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

bool SpendRetryCredit(EntryContext& context, const std::string& service,
                      std::string_view request, int retries) {
  const auto now = routing::Clock::now();
  const bool taken = context.retries.TrySpend(service, now, retries);
  if (!taken) context.metrics->OnRetryRefused(service);
  utils::DecisionLog(taken ? "repeat_taken" : "repeat_refused")
      .Add("request", request)
      .Add("service", service)
      .Add("repeats", retries)
      .Add("credit_left", context.retries.credit(service))
      .Add("slack_share", context.retries.SlackShare(now))
      .Add("instances", context.retries.listed_instances());
  return taken;
}

}  // namespace turmeric::entry
