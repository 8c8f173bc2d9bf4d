#include "verdict.h"

#include <cstdio>
#include <string>

#include "traffic_mix.h"
#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/standins/engine_standin.h"
#include "turmeric/standins/service_standin.h"

namespace turmeric::ctl {

Verdict CheckDelivery(const std::vector<LoadResult>& results, int run,
                      const gateway::EmbeddedPlatform& platform) {
  Verdict v;
  for (const auto& s : platform.services()) v.doubled += s->duplicate_keys();
  for (const auto& e : platform.engines()) {
    v.leaving_refusals += e->refused_leaving();
  }
  for (int i = 0; i < static_cast<int>(results.size()); ++i) {
    const LoadResult& r = results[i];
    v.misdelivered += r.misdelivered;
    if (FlowOf(i).idempotent) continue;
    int executions = 0;
    for (const auto& s : platform.services()) {
      executions += s->executions(MixKey(run, i));
    }
    v.doubled += executions > 1;  // including executions at two services
    v.not_run_but_ran += r.state == "not_run" && executions > 0;
    v.ran_but_not_run += r.state == "ran" && executions == 0;
  }
  return v;
}

void PrintVerdict(const Verdict& v) {
  std::printf(
      "  promises: doubled=%lld not_run_but_ran=%lld ran_but_not_run=%lld "
      "misdelivered=%lld sent_to_leaving=%lld (refused by leaving: %lld)\n",
      static_cast<long long>(v.doubled),
      static_cast<long long>(v.not_run_but_ran),
      static_cast<long long>(v.ran_but_not_run),
      static_cast<long long>(v.misdelivered),
      static_cast<long long>(v.sent_to_leaving),
      static_cast<long long>(v.leaving_refusals));
}

QJsonObject VerdictJson(const Verdict& v) {
  return {{"doubled", static_cast<double>(v.doubled)},
          {"not_run_but_ran", static_cast<double>(v.not_run_but_ran)},
          {"ran_but_not_run", static_cast<double>(v.ran_but_not_run)},
          {"misdelivered", static_cast<double>(v.misdelivered)},
          {"sent_to_leaving", static_cast<double>(v.sent_to_leaving)},
          {"leaving_refusals", static_cast<double>(v.leaving_refusals)}};
}

}  // namespace turmeric::ctl
