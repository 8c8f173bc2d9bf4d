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

/** Objects remembered for a follower that comes from another relay: what a
 * fleet of hundreds of upstreams writes when it starts. */
constexpr size_t kHistory = 512;
/** A follower that has not asked again for so long has gone or follows
 * others; it asks every second or two. */
constexpr milliseconds kForgetAfter{5000};
/** Most bytes that one batch takes to all followers: a tenth of a second of a
 * small instance's link. More than that, in a series of large configurations,
 * would pile up before the link and reach followers seconds late. */
constexpr size_t kMostBytes = 256 * 1024;
/** Content from here on is compressed, bytes. */
constexpr qsizetype kPackFrom = 512;
/** Largest content that is unpacked, bytes: larger than the platform takes. */
constexpr uint32_t kMostUnpacked = 16 * 1024 * 1024;

size_t BytesOf(const std::vector<peer::StoreObject>& objects) {
  return std::transform_reduce(
      objects.begin(), objects.end(), size_t{0}, std::plus(),
      [](const peer::StoreObject& o) { return o.name.size() + o.spec.size(); });
}

/** @return the bytes unpacked; empty if they cannot be. */
QByteArray Unpack(const std::string& packed) {
  const QByteArray bytes = QByteArray::fromStdString(packed);
  // The length stands before the content and decides how much is allocated.
  constexpr qsizetype kLengthBytes = 4;
  if (bytes.size() < kLengthBytes) return {};
  if (qFromBigEndian<uint32_t>(bytes.constData()) > kMostUnpacked) return {};
  return qUncompress(bytes);
}

/** What a follower sees as a gap, and reads from the store: for changes that
 * are not remembered or too large to be passed on to all. */
peer::StoreChanges GapAt(StoreKind kind, int64_t revision) {
  return {
      .kind = kind, .follows = revision, .revision = revision, .objects = {}};
}

}  // namespace

StoreRelay::StoreRelay(FrameTo frame_to)
    : frame_to_(std::move(frame_to)),
      histories_{store::ChangeHistory(kHistory), store::ChangeHistory(kHistory),
                 store::ChangeHistory(kHistory)} {}

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
  it->second.asked = now;
  if (!is_new && !request.resync) return;
  peer::Frame* frame = frame_to_(follower);
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
  if (!changes || BytesOf(objects) > kMostBytes) {
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
  const bool says_nothing =
      batch.objects.empty() && !store::CrossesEraBoundary(batch);
  if (says_nothing || followers_.empty()) return;
  const std::vector<peer::StoreObject> objects = ToWire(batch.objects);
  const bool too_large = BytesOf(objects) * followers_.size() > kMostBytes;
  for (auto& [name, follower] : followers_) {
    peer::Frame* frame = frame_to_(name);
    if (frame == nullptr) continue;
    int64_t& sent = follower.sent.Of(kind);
    if (too_large) {
      frame->store_changes.push_back(GapAt(kind, batch.revision));
    } else {
      frame->store_changes.push_back({.kind = kind,
                                      .follows = sent,
                                      .revision = batch.revision,
                                      .objects = objects,
                                      .held_before = batch.held_before});
    }
    // Whether an outage has just ended decides about what is missing.
    frame->relay = status;
    sent = batch.revision;
  }
}

void StoreRelay::Beat(const peer::RelayStatus& status, Clock::time_point now) {
  std::erase_if(followers_, [now](const auto& entry) {
    return now - entry.second.asked > kForgetAfter;
  });
  for (auto& [name, follower] : followers_) {
    peer::Frame* frame = frame_to_(name);
    if (frame == nullptr) continue;
    for (const StoreKind kind : peer::kAllStoreKinds) {
      // The store's revision grows with changes of other kinds, too. Not told,
      // the next change would look like one after a gap.
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
        const bool packed = spec.size() >= kPackFrom;
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
          o.packed ? Unpack(o.spec) : QByteArray::fromStdString(o.spec);
      const QJsonDocument spec = QJsonDocument::fromJson(text);
      if (!spec.isObject()) return std::nullopt;
      object.spec = spec.object();
    }
    batch.objects.push_back(std::move(object));
  }
  return batch;
}

}  // namespace turmeric::entry
