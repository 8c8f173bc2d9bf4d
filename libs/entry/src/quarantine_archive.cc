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

/** Least time between two reads: crashes come in groups. */
constexpr milliseconds kReadAgain{1000};
/** Pause after the store has not taken a write, doubled up to the longest. */
constexpr milliseconds kFirstPause{500};
constexpr milliseconds kLongestPause{30000};
/** A copy from which the store comes back has all that was written before. */
constexpr milliseconds kCopyIsYounger = std::chrono::minutes(2);

}  // namespace

QuarantineArchive::QuarantineArchive(ObjectSource& source, std::string kind,
                                     ReadCallback on_read)
    : source_(source),
      kind_(std::move(kind)),
      on_read_(std::move(on_read)),
      pause_(kFirstPause) {
  read_later_.setSingleShot(true);
  connect(&read_later_, &QTimer::timeout, this, [this] { ReadSoon(); });
  retry_.setSingleShot(true);
  connect(&retry_, &QTimer::timeout, this, [this] {
    if (!unwritten_.empty()) Send(unwritten_.begin()->first);
  });
}

void QuarantineArchive::ReadSoon() {
  if (read_later_.isActive()) return;
  const auto next = asked_at_ + kReadAgain;
  const auto now = Clock::now();
  if (asked_at_ != Clock::time_point() && now < next) {
    return read_later_.start(std::chrono::ceil<milliseconds>(next - now));
  }
  asked_at_ = now;
  Read();
}

void QuarantineArchive::Read() {
  source_.List(kind_, ObjectSource::Freshness::kMayBeStale,
               [this](const auto& batch) {
                 if (batch) return OnRead(batch.value().objects);
                 utils::DecisionLog("quarantine_not_read")
                     .Add("why", batch.error().detail);
               });
}

void QuarantineArchive::OnRead(std::span<const SourceObject> objects) {
  const auto now = quarantine::Moment::Now();
  std::vector<Crash> all;
  for (const SourceObject& object : objects) {
    auto crashes = quarantine::DecodeCrashes(object.name, object.spec, now);
    if (!crashes) {
      utils::DecisionLog("quarantine_entry_unreadable")
          .Add("work", object.name)
          .Add("revision", object.revision);
      continue;
    }
    std::ranges::move(*crashes, std::back_inserter(all));
  }
  on_read_(all);
}

void QuarantineArchive::Write(const std::string& work,
                              std::vector<Crash> crashes) {
  unwritten_[work] = std::move(crashes);
  Send(work);
}

void QuarantineArchive::NoteWritten(const std::string& work) {
  auto node = unwritten_.extract(work);
  if (node.empty()) return;
  const auto now = Clock::now();
  std::erase_if(written_, [now](const auto& entry) {
    return entry.second.at + kCopyIsYounger < now;
  });
  written_.insert_or_assign(work, Written{std::move(node.mapped()), now});
}

void QuarantineArchive::WriteAgain() {
  if (written_.empty()) return;
  for (auto& [work, written] : std::exchange(written_, {})) {
    unwritten_.emplace(work, std::move(written.crashes));
  }
  if (!retry_.isActive()) retry_.start(kFirstPause);
}

void QuarantineArchive::Send(const std::string& work) {
  const auto spec =
      quarantine::EncodeCrashes(unwritten_.at(work), quarantine::Moment::Now());
  source_.Put(kind_, work, spec, [this, work](const auto& written) {
    if (written) {
      pause_ = kFirstPause;
      NoteWritten(work);
    } else {
      utils::DecisionLog("quarantine_not_written")
          .Add("work", work)
          .Add("why", written.error().detail);
      pause_ = std::min(2 * pause_, kLongestPause);
    }
    if (!unwritten_.empty() && !retry_.isActive()) retry_.start(pause_);
  });
}

}  // namespace turmeric::entry
