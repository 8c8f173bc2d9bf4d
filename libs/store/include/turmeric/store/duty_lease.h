#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/** Store key prefix under which duties' leases live. */
inline constexpr std::string_view kDutyPrefix = "duties/";

/**
 * A lease on a duty that one instance at a time should do, kept in the
 * platform's object API. A holder may be paused past its lease without
 * knowing, so two may act at once: what the duty does must either be safe
 * then, or carry the fencing number, which grows with every change of
 * holder, to a target that refuses smaller ones.
 */
class DutyLease {
 public:
  /**
   * @param store the platform's object API; must outlive this.
   * @param duty the duty's name.
   * @param holder this process, unlike any other (not just its name).
   * @param lease_ms how long a hold lasts unless renewed.
   */
  DutyLease(ObjectStore& store, std::string_view duty, std::string holder,
            int64_t lease_ms);
  /**
   * Takes or renews the lease.
   * @param now_unix_ms the time by this instance's clock.
   * @return the fencing number; kStoreConflict while another holds it, or
   *     the store's error.
   */
  utils::Result<int64_t> Hold(int64_t now_unix_ms);
  /** @param now_unix_ms the time. @return true while our hold lasts. */
  bool held(int64_t now_unix_ms) const { return now_unix_ms < held_until_; }

 private:
  ObjectStore& store_;
  std::string key_;
  std::string holder_;
  int64_t lease_ms_;
  int64_t held_until_ = 0;
};

}  // namespace turmeric::store
