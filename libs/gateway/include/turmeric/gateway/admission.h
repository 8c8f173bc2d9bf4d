#pragma once

#include <map>
#include <string>
#include <string_view>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/utils/result.h"

namespace turmeric::gateway {

/**
 * Decides whether a request is taken on this instance: per-organisation
 * concurrency limits, deadline-aware shedding and drain. A refused request
 * is told "not run" at once, with when to come back.
 */
class Admission {
 public:
  /**
   * @param settings settings in force for the request.
   * @param deadline_ms the caller's deadline for the whole pipeline.
   * @param live_instances instances at work, this one included; each admits
   *     its share of a fleet-wide limit.
   * @return kOk to go on, else the refusal code (nothing ran).
   */
  utils::Errc TryAdmit(const config::ResolvedSettings& settings,
                       int deadline_ms, int live_instances = 1);
  /** @param settings as given to a successful TryAdmit. */
  void Release(const config::ResolvedSettings& settings);
  /** Stops taking new work; in-flight work goes on. */
  void StartDrain() { draining_ = true; }
  /** @return true once draining. */
  bool draining() const { return draining_; }
  /** @return requests admitted and not yet released. */
  int inflight() const { return inflight_; }

 private:
  std::map<std::string, int, std::less<>> per_organisation_;
  int inflight_ = 0;
  bool draining_ = false;
};

}  // namespace turmeric::gateway
