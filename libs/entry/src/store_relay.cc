#include "turmeric/entry/store_relay.h"

#include <QJsonDocument>
#include <QtEndian>
#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace turmeric::entry {

using peer::StoreKind;
using std::chrono::milliseconds;

namespace {

/**
 * Objects kept for a follower that switches from another relay: the number that
 * a fleet of hundreds of upstreams writes when it starts.
 */
constexpr size_t kHistoryObjects = 512;
/**
 * A follower that has not renewed its request for this long has exited or
 * follows other relays; requests are renewed every second or two.
 */
constexpr milliseconds kFollowerTimeout{5000};
/**
 * Upper bound for one batch to all followers: a tenth of a second on a small
 * instance's link. With more than that, a series of large configurations would
 * queue up at the link and reach followers seconds late.
 */
constexpr size_t kMaxBatchBytes = 256 * 1024;
/** Content of at least this size is compressed, bytes. */
constexpr qsizetype kMinCompressedBytes = 512;
/**
 * Largest content that is decompressed, bytes; above the platform's size limit
 * for objects.
 */
constexpr uint32_t kMaxSpecBytes = 16 * 1024 * 1024;

size_t BytesOf(const std::vector<peer::StoreObject>& objects) {
  return std::transform_reduce(
      objects.begin(), objects.end(), size_t{0}, std::plus(),
      [](const peer::StoreObject& o) { return o.name.size() + o.spec.size(); });
}

/**
 * @return the decompressed bytes; empty if the input is invalid or too large.
 */
QByteArray Decompress(const std::string& packed) {
  const QByteArray bytes = QByteArray::fromStdString(packed);
  // The uncompressed length is stored before the content and determines the
  // size of the allocation.
  constexpr qsizetype kLengthBytes = 4;
  if (bytes.size() < kLengthBytes) return {};
  if (qFromBigEndian<uint32_t>(bytes.constData()) > kMaxSpecBytes) return {};
  return qUncompress(bytes);
}

/**
 * @return changes without objects that start at their own revision. A follower
 *     detects a gap and reads the store; used for changes that are no longer
 *     kept or too large to be sent to all followers.
 */
peer::StoreChanges GapAt(StoreKind kind, int64_t revision) {
  return {
      .kind = kind, .follows = revision, .revision = revision, .objects = {}};
}

}  // namespace

StoreRelay::StoreRelay(OutgoingFrameCallback outgoing_frame)
    : outgoing_frame_(std::move(outgoing_frame)),
      histories_{store::ChangeHistory(kHistoryObjects),
                 store::ChangeHistory(kHistoryObjects),
                 store::ChangeHistory(kHistoryObjects)} {}

store::ChangeHistory& StoreRelay::HistoryOf(StoreKind kind) {
  return histories_.at(static_cast<size_t>(kind));
}

void StoreRelay::OnFollow(const std::string& follower,
                          const peer::FollowRequest& request,
                          const peer::RelayStatus& status,
                          Clock::time_point now) {
  if (!request.wanted) {
    followers_.erase(follower);
    return;
  }
  const auto [it, is_new] = followers_.try_emplace(follower);
  it->second.requested_at = now;
  if (!is_new && !request.resync) return;
  peer::Frame* frame = outgoing_frame_(follower);
  if (frame == nullptr) return;
  for (const StoreKind kind : peer::kAllStoreKinds) {
    Resync(*frame, it->second, kind, request.known.Of(kind));
  }
  frame->relay = status;
}

void StoreRelay::Resync(peer::Frame& frame, Follower& follower, StoreKind kind,
                        int64_t known) {
  const store::ChangeHistory& history = HistoryOf(kind);
  const int64_t revision = history.revision();
  follower.sent.Of(kind) = revision;
  if (known >= revision) return;
  const auto changes = history.Since(known);
  const auto objects =
      changes ? ToWire(changes->objects) : std::vector<peer::StoreObject>();
  if (!changes || BytesOf(objects) > kMaxBatchBytes) {
    frame.store_changes.push_back(GapAt(kind, revision));
    return;
  }
  frame.store_changes.push_back({.kind = kind,
                                 .follows = changes->follows,
                                 .revision = revision,
                                 .objects = objects});
}

void StoreRelay::OnMerged(StoreKind kind, const store::ChangeBatch& batch,
                          const peer::RelayStatus& status) {
  if (expects_followers_ || !followers_.empty()) {
    HistoryOf(kind).Add(batch);
  } else {
    HistoryOf(kind).ResetTo(batch.revision);
  }
  const bool is_list = store::IsListDifference(batch);
  const bool is_empty =
      batch.objects.empty() && !is_list && !store::CrossesEraBoundary(batch);
  if (is_empty || followers_.empty()) return;
  const std::vector<peer::StoreObject> objects = ToWire(batch.objects);
  const bool too_large = BytesOf(objects) * followers_.size() > kMaxBatchBytes;
  for (auto& [name, follower] : followers_) {
    peer::Frame* frame = outgoing_frame_(name);
    if (frame == nullptr) continue;
    int64_t& sent = follower.sent.Of(kind);
    if (too_large) {
      frame->store_changes.push_back(GapAt(kind, batch.revision));
    } else {
      frame->store_changes.push_back(
          {.kind = kind,
           .follows = is_list ? std::min(sent, batch.follows) : sent,
           .revision = batch.revision,
           .objects = objects,
           .held_before = batch.held_before});
    }
    // The follower needs the end of the store's last outage to decide whether
    // to keep objects that are missing from the changes.
    frame->relay = status;
    sent = batch.revision;
  }
}

void StoreRelay::SendHeartbeats(const peer::RelayStatus& status,
                                Clock::time_point now) {
  std::erase_if(followers_, [now](const auto& entry) {
    return now - entry.second.requested_at > kFollowerTimeout;
  });
  for (auto& [name, follower] : followers_) {
    peer::Frame* frame = outgoing_frame_(name);
    if (frame == nullptr) continue;
    for (const StoreKind kind : peer::kAllStoreKinds) {
      // The store's revision also grows with changes of other kinds. If it were
      // not sent, the next change would look as if it followed a gap.
      const int64_t revision = HistoryOf(kind).revision();
      int64_t& sent = follower.sent.Of(kind);
      if (revision <= sent) continue;
      frame->store_changes.push_back(
          {.kind = kind, .follows = sent, .revision = revision, .objects = {}});
      sent = revision;
    }
    frame->relay = status;
  }
}

std::vector<peer::StoreObject> ToWire(
    const std::vector<store::SourceObject>& objects) {
  std::vector<peer::StoreObject> out;
  std::ranges::transform(
      objects, std::back_inserter(out), [](const store::SourceObject& o) {
        QByteArray spec;
        if (!o.deleted) {
          spec = QJsonDocument(o.spec).toJson(QJsonDocument::Compact);
        }
        const bool packed = spec.size() >= kMinCompressedBytes;
        if (packed) spec = qCompress(spec);
        return peer::StoreObject{.name = o.name,
                                 .spec = spec.toStdString(),
                                 .packed = packed,
                                 .revision = o.revision,
                                 .deleted = o.deleted};
      });
  return out;
}

std::optional<store::ChangeBatch> FromWire(const peer::StoreChanges& changes) {
  store::ChangeBatch batch{.follows = changes.follows,
                           .revision = changes.revision,
                           .objects = {},
                           .held_before = changes.held_before};
  for (const peer::StoreObject& o : changes.objects) {
    store::SourceObject object{.name = o.name,
                               .spec = {},
                               .revision = o.revision,
                               .deleted = o.deleted};
    if (!o.deleted) {
      const QByteArray text =
          o.packed ? Decompress(o.spec) : QByteArray::fromStdString(o.spec);
      const QJsonDocument spec = QJsonDocument::fromJson(text);
      if (!spec.isObject()) return std::nullopt;
      object.spec = spec.object();
    }
    batch.objects.push_back(std::move(object));
  }
  return batch;
}

}  // namespace turmeric::entry
