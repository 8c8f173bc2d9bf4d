#include "turmeric/entry/quarantine_archive.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "turmeric/quarantine/stored_crashes.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using quarantine::Crash;
using std::chrono::milliseconds;
using store::ObjectSource;
using store::SourceObject;

namespace {

/** Least time between two reads, as crashes occur in groups. */
constexpr milliseconds kMinReadInterval{1000};
/** Time from the start to the second read; answers may be seconds old. */
constexpr milliseconds kSecondRead{3000};
/** Backoff after a failed call, doubled after each further one up to the
 * largest. */
constexpr milliseconds kFirstBackoff{500};
constexpr milliseconds kMaxBackoff{30000};
/** Age up to which writes are repeated after the store was restored from a
 * copy; the copy contains all older writes. */
constexpr milliseconds kRewriteWindow = std::chrono::minutes(2);

}  // namespace

QuarantineArchive::QuarantineArchive(ObjectSource& source, std::string kind,
                                     ReadCallback on_read)
    : source_(source),
      kind_(std::move(kind)),
      on_read_(std::move(on_read)),
      read_backoff_(kFirstBackoff),
      backoff_(kFirstBackoff) {
  read_timer_.setSingleShot(true);
  connect(&read_timer_, &QTimer::timeout, this, [this] { ReadRateLimited(); });
  retry_.setSingleShot(true);
  connect(&retry_, &QTimer::timeout, this, [this] {
    if (!unwritten_.empty()) Send(unwritten_.begin()->first);
  });
}

void QuarantineArchive::Start() {
  Read();
  QTimer::singleShot(kSecondRead, this, [this] { Read(); });
}

void QuarantineArchive::ReadRateLimited() {
  if (read_timer_.isActive()) return;
  const auto next = last_read_at_ + kMinReadInterval;
  const auto now = Clock::now();
  if (last_read_at_ != Clock::time_point() && now < next) {
    return read_timer_.start(std::chrono::ceil<milliseconds>(next - now));
  }
  last_read_at_ = now;
  Read();
}

void QuarantineArchive::Read() {
  source_.List(kind_, ObjectSource::Freshness::kMayBeStale,
               [this](const auto& batch) {
                 if (batch) return OnRead(batch.value().objects);
                 utils::DecisionLog("quarantine_not_read")
                     .Add("why", batch.error().detail);
                 if (!read_timer_.isActive()) read_timer_.start(read_backoff_);
                 read_backoff_ = std::min(2 * read_backoff_, kMaxBackoff);
               });
}

void QuarantineArchive::OnRead(std::span<const SourceObject> objects) {
  read_backoff_ = kFirstBackoff;
  const auto now = quarantine::ClockReading::Now();
  std::vector<Crash> all;
  for (const SourceObject& object : objects) {
    auto crashes = quarantine::DecodeCrashes(object.name, object.spec, now);
    if (!crashes) {
      if (!store::NoteUnreadable(unreadable_, object.name, object.revision)) {
        continue;
      }
      utils::DecisionLog("quarantine_entry_unreadable")
          .Add("object", object.name)
          .Add("revision", object.revision);
      continue;
    }
    std::ranges::move(*crashes, std::back_inserter(all));
  }
  on_read_(all);
}

void QuarantineArchive::Write(const std::string& name,
                              std::vector<Crash> crashes) {
  unwritten_[name] = std::move(crashes);
  Send(name);
}

void QuarantineArchive::MarkWritten(const std::string& name) {
  auto node = unwritten_.extract(name);
  if (node.empty()) return;
  const auto now = Clock::now();
  std::erase_if(written_, [now](const auto& entry) {
    return entry.second.at + kRewriteWindow < now;
  });
  written_.insert_or_assign(name, Written{std::move(node.mapped()), now});
}

void QuarantineArchive::RewriteRecent() {
  if (written_.empty()) return;
  for (auto& [name, written] : std::exchange(written_, {})) {
    unwritten_.emplace(name, std::move(written.crashes));
  }
  if (!retry_.isActive()) retry_.start(kFirstBackoff);
}

void QuarantineArchive::Send(const std::string& name) {
  const auto spec = quarantine::EncodeCrashes(unwritten_.at(name),
                                              quarantine::ClockReading::Now());
  source_.Put(kind_, name, spec, [this, name](const auto& batch) {
    if (batch) {
      backoff_ = kFirstBackoff;
      MarkWritten(name);
    } else {
      utils::DecisionLog("quarantine_not_written")
          .Add("object", name)
          .Add("why", batch.error().detail);
      backoff_ = std::min(2 * backoff_, kMaxBackoff);
    }
    if (!unwritten_.empty() && !retry_.isActive()) retry_.start(backoff_);
  });
}

}  // namespace turmeric::entry
