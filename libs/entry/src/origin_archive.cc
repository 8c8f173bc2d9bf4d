#include "turmeric/entry/origin_archive.h"

#include <QPointer>
#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using std::chrono::milliseconds;
using std::chrono::system_clock;
using store::ObjectSource;
using store::SourceObject;
using streams::kSegmentPositions;
using streams::OriginSegment;
using streams::StreamId;
using streams::StreamOrigin;

namespace {

/** Most streams known from a read, some 50 bytes each. */
constexpr size_t kMaxKnown = 100000;
/** Longest wait for a read, which usually takes milliseconds. */
constexpr milliseconds kMaxReadWait{300};
constexpr milliseconds kMaxReadInterval{2000};
constexpr milliseconds kReadRetryDelay{500};
/** Time after the start in which the archive is read ahead of searches. */
constexpr milliseconds kReadAheadTime{10000};
/** Pause of a writer after which another instance may have written its slot. */
constexpr milliseconds kMaxWriterPause{10000};
/** Most by which the wall clocks of instances differ. */
constexpr std::chrono::minutes kMaxClockSkew{1};

/** Where a segment is kept. */
struct SegmentPlace {
  size_t slot = 0;
  size_t position = 0;
};

std::string ObjectName(const SegmentPlace& place) {
  return std::to_string(place.slot) + "-" + std::to_string(place.position);
}

/** @return the place of an object; nullopt: the name is not that of one. */
std::optional<SegmentPlace> PlaceOf(std::string_view name) {
  SegmentPlace place;
  const char* const end = name.data() + name.size();
  const auto slot = std::from_chars(name.data(), end, place.slot);
  if (slot.ec != std::errc() || slot.ptr == end) return std::nullopt;
  const auto position = std::from_chars(slot.ptr + 1, end, place.position);
  const bool is_place =
      position.ec == std::errc() && place.slot < OriginArchive::kSlots &&
      place.position < kSegmentPositions && ObjectName(place) == name;
  return is_place ? std::optional(place) : std::nullopt;
}

}  // namespace

OriginArchive::OriginArchive() : known_(kMaxKnown) {
  read_timeout_.setSingleShot(true);
  connect(&read_timeout_, &QTimer::timeout, this, [this] {
    read_overdue_ = true;
    EndWait(false);
  });
  write_timer_.setSingleShot(true);
  connect(&write_timer_, &QTimer::timeout, this, [this] { WriteDue(); });
}

void OriginArchive::Start(ObjectSource& source, std::string kind) {
  source_ = &source;
  kind_ = std::move(kind);
  started_at_ = Clock::now();
}

void OriginArchive::ReadAhead() {
  const bool has_just_started =
      source_ != nullptr && Clock::now() < started_at_ + kReadAheadTime;
  if (has_just_started && !was_read()) Read([](bool) {});
}

size_t OriginArchive::SlotOf(const StreamId& id) {
  return static_cast<size_t>(streams::Fingerprint(id) % kSlots);
}

std::string OriginArchive::WriterKey(size_t slot) {
  return "stream-origins-" + std::to_string(slot);
}

void OriginArchive::Add(const StreamId& id, const StreamOrigin& origin) {
  if (source_ == nullptr || id.attempt_id.empty()) return;
  slots_.at(SlotOf(id)).writer.Add(origin, streams::Fingerprint(id));
  WriteDue();
}

std::optional<StreamOrigin> OriginArchive::Find(const StreamId& id) const {
  if (id.attempt_id.empty()) return std::nullopt;
  return known_.Find(id);
}

void OriginArchive::Read(ReadCallback done) {
  if (source_ == nullptr) return done(false);
  if (read_overdue_) return done(false);
  if (!read_open_ && Clock::now() < next_read_at_) return done(was_read());
  waiting_.push_back(std::move(done));
  if (!read_open_) SendRead();
}

void OriginArchive::SendRead() {
  read_open_ = true;
  read_timeout_.start(kMaxReadWait);
  const QPointer<OriginArchive> self(this);
  source_->List(kind_, ObjectSource::Freshness::kLinearizable,
                [self](const auto& batch) {
                  if (self) self->OnRead(batch);
                });
}

void OriginArchive::EndWait(bool read) {
  for (const ReadCallback& done : std::exchange(waiting_, {})) done(read);
}

void OriginArchive::OnRead(const utils::Result<store::SourceBatch>& batch) {
  read_open_ = false;
  read_overdue_ = false;
  read_timeout_.stop();
  const auto now = Clock::now();
  if (batch) {
    last_read_at_ = now;
    next_read_at_ = now + read_interval_;
    read_interval_ = std::min(2 * read_interval_, kMaxReadInterval);
    Apply(batch.value().objects);
  } else {
    next_read_at_ = now + kReadRetryDelay;
    utils::DecisionLog("archive_not_read").Add("why", batch.error().detail);
  }
  EndWait(batch.has_value());
  WriteDue();
}

void OriginArchive::Apply(std::span<const SourceObject> objects) {
  const auto oldest = system_clock::now() - kLifetime - kMaxClockSkew;
  std::vector<OriginSegment> segments;
  std::array<streams::TakenPositions, kSlots> taken{};
  for (const SourceObject& object : objects) {
    auto segment = streams::DecodeSegment(object.spec);
    const auto place = PlaceOf(object.name);
    if (!segment || !place) {
      utils::DecisionLog("archive_entry_unreadable")
          .Add("name", object.name)
          .Add("revision", object.revision);
    } else if (segment->opened_at >= oldest) {
      taken.at(place->slot).at(place->position) = true;
      segments.push_back(std::move(*segment));
    }
  }
  std::ranges::sort(segments, std::ranges::greater(),
                    &OriginSegment::opened_at);
  known_ = streams::ArchivedOrigins(kMaxKnown);
  std::ranges::for_each(segments, [this](const auto& s) { known_.Add(s); });
  PlaceWriters(taken);
}

void OriginArchive::PlaceWriters(
    const std::array<streams::TakenPositions, kSlots>& taken) {
  for (size_t i = 0; i < kSlots; ++i) {
    Slot& slot = slots_.at(i);
    if (std::exchange(slot.is_placed, true)) continue;
    slot.writer.MoveTo(streams::StartPosition(taken.at(i)));
  }
}

void OriginArchive::WriteDue() {
  const auto now = Clock::now();
  auto next = Clock::time_point::max();
  for (size_t i = 0; i < kSlots; ++i) {
    Slot& slot = slots_.at(i);
    const auto due = slot.writer.next_write();
    if (!due) continue;
    const auto last = slot.writer.last_write();
    if (last && *last + kMaxWriterPause < now) slot.is_placed = false;
    if (!slot.is_placed) {
      if (!read_open_ && now >= next_read_at_) SendRead();
      if (!read_open_) next = std::min(next, next_read_at_);
    } else if (*due <= now) {
      Write(i);
    } else {
      next = std::min(next, *due);
    }
  }
  if (next == Clock::time_point::max()) return;
  write_timer_.start(
      std::max(milliseconds(1), std::chrono::ceil<milliseconds>(next - now)));
}

void OriginArchive::Write(size_t slot) {
  streams::SegmentWriter& writer = slots_.at(slot).writer;
  const QJsonObject spec = streams::EncodeSegment(
      writer.BeginWrite(Clock::now(), system_clock::now()));
  const QPointer<OriginArchive> self(this);
  source_->Put(kind_, ObjectName({.slot = slot, .position = writer.position()}),
               spec, [self, slot](const auto& written) {
                 if (!self) return;
                 if (!written) {
                   utils::DecisionLog("archive_not_written")
                       .Add("slot", slot)
                       .Add("why", written.error().detail);
                 }
                 self->slots_.at(slot).writer.OnWritten(written.has_value(),
                                                        Clock::now());
                 self->WriteDue();
               });
}

}  // namespace turmeric::entry
