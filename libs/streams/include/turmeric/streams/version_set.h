#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/streams/stream_origin.h"

namespace turmeric::streams {

/**
 * The registered software versions of the fleet's services: a stream that may
 * still be resumed has begun at one of its service's versions. A version is
 * dropped when no upstream with it has been listed for longer than a stream can
 * last. The caller passes in the time.
 */
class VersionSet {
 public:
  using Clock = std::chrono::steady_clock;

  /** @param retention time after which an unlisted version is dropped. */
  explicit VersionSet(Clock::duration retention) : retention_(retention) {}

  /**
   * @param version a registered version of a service.
   * @param now current time.
   * @return true if it is new here.
   */
  bool Add(const StreamOrigin& version, Clock::time_point now);
  /** @param version a version that is not registered any longer. */
  void Remove(const StreamOrigin& version) { last_listed_.erase(version); }
  /** Records that an upstream with a version is listed; without effect if the
   * version is not registered. @param version the version.
   * @param now current time. */
  void OnListed(const StreamOrigin& version, Clock::time_point now);
  /** @param now current time. @return the versions that were dropped. */
  std::vector<StreamOrigin> DropUnlisted(Clock::time_point now);
  /** @param version a version of a service. @return true if registered. */
  bool Contains(const StreamOrigin& version) const {
    return last_listed_.contains(version);
  }
  /** @param service a service. @return its versions. */
  std::vector<std::string> Of(std::string_view service) const;
  /** @return all versions of all services. */
  std::vector<StreamOrigin> All() const;

 private:
  Clock::duration retention_;
  std::map<StreamOrigin, Clock::time_point> last_listed_;
};

}  // namespace turmeric::streams
