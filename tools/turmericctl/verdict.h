#pragma once

#include <QJsonObject>
#include <cstdint>
#include <vector>

#include "load_runner.h"

namespace turmeric::gateway {
class EmbeddedPlatform;
}
namespace turmeric::ctl {

/** What the check of the promises found in one run; all must be 0 but the
 * refusals. */
struct Verdict {
  int64_t doubled = 0;           ///< Non-idempotent keys executed twice.
  int64_t not_run_but_ran = 0;   ///< Told "not run" yet executed.
  int64_t ran_but_not_run = 0;   ///< Told "ran" yet never executed.
  int64_t misdelivered = 0;      ///< Caller got another request's answer.
  int64_t leaving_refusals = 0;  ///< Calls refused by a leaving upstream.
  int64_t sent_to_leaving = 0;   ///< Calls sent after the list said leaving.

  /** @return true if every promise held. */
  bool held() const {
    return doubled + not_run_but_ran + ran_but_not_run + misdelivered +
               sent_to_leaving ==
           0;
  }
};

/**
 * Compares what callers were told with what the stand-ins executed.
 * @param results of the traffic mix. @param run its number.
 * @param platform the stand-ins.
 * @return the verdict; sent_to_leaving is the scenario's to count.
 */
Verdict CheckDelivery(const std::vector<LoadResult>& results, int run,
                      const gateway::EmbeddedPlatform& platform);

/** @param v printed on one line. */
void PrintVerdict(const Verdict& v);

/** @param v a verdict. @return it as JSON. */
QJsonObject VerdictJson(const Verdict& v);

}  // namespace turmeric::ctl
