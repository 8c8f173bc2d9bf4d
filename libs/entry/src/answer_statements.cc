#include "turmeric/entry/answer_statements.h"

#include "turmeric/entry/brittle_upstreams.h"
#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/upstream_availability.h"
#include "turmeric/entry/upstream_limiter.h"

namespace turmeric::entry {

void ApplyStatements(EntryContext& context,
                     const routing::UpstreamPtr& upstream, int status,
                     const AnswerInfo& info,
                     routing::Clock::time_point sent_at) {
  const auto now = routing::Clock::now();
  context.limiter->OnAnswer(*upstream, status, info, sent_at, now);
  context.brittle->OnAnswer(*upstream, status, info, sent_at, now);
  context.availability->OnAnswer(upstream, status, info, now);
  if (info.load) {
    balancing::LoadReport report = *info.load;
    report.at = now;
    upstream->load.OnReport(report);
  }
}

}  // namespace turmeric::entry
