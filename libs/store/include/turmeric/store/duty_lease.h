#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "turmeric/store/object_store.h"

namespace turmeric::store {

/** Store key prefix of the leases. */
inline constexpr std::string_view kDutyPrefix = "duties/";

/**
 * A lease in the platform's object API on a duty, that is, a background task
 * that one instance at a time should run. A holder can be paused beyond the
 * end of its lease without noticing it, so two instances may run the task at
 * once: the task must either tolerate this, or pass the fencing number, which
 * grows with every change of holder, to a target that rejects smaller ones.
 */
class DutyLease {
 public:
  /**
   * @param store the platform's object API; must outlive this object.
   * @param duty name of the duty.
   * @param holder identifier of this process; must be unique among all process
   *     starts, so the instance name alone is not enough.
   * @param lease_ms duration of the lease unless renewed, in milliseconds.
   */
  DutyLease(ObjectStore& store, std::string_view duty, std::string holder,
            int64_t lease_ms);
  /**
   * Acquires or renews the lease.
   * @param now_unix_ms current time by this instance's clock.
   * @return the fencing number; kStoreConflict while another process holds the
   *     lease, and for one lease duration after its end because clocks differ;
   *     or the store's error.
   */
  utils::Result<int64_t> AcquireOrRenew(int64_t now_unix_ms);
  /** @param now_unix_ms current time. @return true while this process holds
   * the lease. */
  bool held(int64_t now_unix_ms) const { return now_unix_ms < held_until_; }

 private:
  ObjectStore& store_;
  std::string key_;
  std::string holder_;
  int64_t lease_ms_;
  int64_t held_until_ = 0;
};

}  // namespace turmeric::store
