#pragma once

#include <QJsonObject>
#include <cstdint>
#include <vector>

#include "load_runner.h"

namespace turmeric::gateway {
class EmbeddedPlatform;
}
namespace turmeric::ctl {

/** Counts of violated delivery guarantees in one run; all must be 0 except
 * leaving_refusals. */
struct Verdict {
  int64_t doubled = 0;           ///< Non-idempotent keys executed twice.
  int64_t not_run_but_ran = 0;   ///< Answered "not_run", but executed.
  int64_t ran_but_not_run = 0;   ///< Answered "ran", but never executed.
  int64_t misdelivered = 0;      ///< Answer with the nonce of another request.
  int64_t leaving_refusals = 0;  ///< Calls refused by a leaving upstream.
  int64_t sent_to_leaving = 0;  ///< Calls sent after the list showed "leaving".

  /** @return true if no guarantee was violated. */
  bool held() const {
    return doubled + not_run_but_ran + ran_but_not_run + misdelivered +
               sent_to_leaving ==
           0;
  }
};

/**
 * Compares the answers to callers with the executions of the stand-ins.
 * @param results of the traffic mix.
 * @param run index of the run.
 * @param platform with the stand-ins.
 * @return the verdict, in which the caller has to set sent_to_leaving.
 */
Verdict CheckDelivery(const std::vector<LoadResult>& results, int run,
                      const gateway::EmbeddedPlatform& platform);

/** Prints the verdict as one line. */
void PrintVerdict(const Verdict& v);

/** @return the verdict as JSON. */
QJsonObject VerdictJson(const Verdict& v);

}  // namespace turmeric::ctl
