#pragma once

#include <map>
#include <string>
#include <string_view>

#include "turmeric/config/resolved_settings.h"
#include "turmeric/utils/result.h"

namespace turmeric::gateway {

/**
 * Admission control of this instance: per-organisation concurrency limits,
 * rejection of requests whose deadline is too short, and drain. A request is
 * refused before anything runs.
 */
class Admission {
 public:
  /**
   * @param settings settings in force for the request.
   * @param deadline_ms the caller's deadline for the whole pipeline, ms.
   * @param live_instances number of live instances, this one included; each
   *     admits an equal share of a fleet-wide limit.
   * @return kOk if the request is admitted, else the refusal code (nothing
   *     ran).
   */
  utils::Errc TryAdmit(const config::ResolvedSettings& settings,
                       int deadline_ms, int live_instances = 1);
  /**
   * Ends an admitted request.
   * @param settings the settings passed to the successful TryAdmit.
   */
  void Release(const config::ResolvedSettings& settings);
  /** Refuses new requests from now on; requests in flight continue. */
  void StartDrain() { draining_ = true; }
  /** @return true after StartDrain. */
  bool draining() const { return draining_; }
  /** @return requests admitted and not yet released. */
  int inflight() const { return inflight_; }

 private:
  std::map<std::string, int, std::less<>> per_organisation_;
  int inflight_ = 0;
  bool draining_ = false;
};

}  // namespace turmeric::gateway
