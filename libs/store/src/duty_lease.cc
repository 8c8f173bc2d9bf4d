#include "turmeric/store/duty_lease.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <utility>

namespace turmeric::store {

using utils::Errc;

namespace {

/** The content of a lease's object in the store. */
struct LeaseRecord {
  std::string holder;
  int64_t until_unix_ms = 0;
  int64_t fence = 0;  ///< Fencing number; grows with every change of holder.
};

std::string Encode(const LeaseRecord& r) {
  const QJsonObject o{{"holder", QString::fromStdString(r.holder)},
                      {"until_unix_ms", static_cast<double>(r.until_unix_ms)},
                      {"fence", static_cast<double>(r.fence)}};
  return QJsonDocument(o).toJson(QJsonDocument::Compact).toStdString();
}

LeaseRecord Decode(const std::string& text) {
  const auto o =
      QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
  return {o.value("holder").toString().toStdString(),
          static_cast<int64_t>(o.value("until_unix_ms").toDouble()),
          static_cast<int64_t>(o.value("fence").toDouble())};
}

}  // namespace

DutyLease::DutyLease(ObjectStore& store, std::string_view duty,
                     std::string holder, int64_t lease_ms)
    : store_(store),
      key_(std::string(kDutyPrefix) + std::string(duty)),
      holder_(std::move(holder)),
      lease_ms_(lease_ms) {}

utils::Result<int64_t> DutyLease::AcquireOrRenew(int64_t now_unix_ms) {
  auto got = store_.Get(key_);
  if (!got && got.error().code != Errc::kStoreNotFound) return got.error();
  LeaseRecord record;
  int64_t version = kAbsent;
  if (got) {
    record = Decode(got.value().value);
    version = got.value().version;
  }
  if (record.holder != holder_) {
    // Guard: the clocks of instances differ, so a lease that has expired by
    // this instance's clock may still be valid by the clock of its holder.
    // Waiting for one more lease duration is safe as long as the clocks differ
    // by less than that duration.
    if (got && now_unix_ms < record.until_unix_ms + lease_ms_) {
      return utils::Fail(Errc::kStoreConflict, "held by " + record.holder);
    }
    record.holder = holder_;
    ++record.fence;
  }
  record.until_unix_ms = now_unix_ms + lease_ms_;
  auto put = store_.Put(key_, Encode(record), version);
  // After a lost answer the lease counts as not held. If the write was
  // applied, the next call reads the record and renews the lease.
  if (!put) return put.error();
  held_until_ = record.until_unix_ms;
  return record.fence;
}

}  // namespace turmeric::store
