#include "turmeric/entry/memory_guard.h"

#include <algorithm>

#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/held_answer.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using memory::BufferKind;
using memory::Pressure;

namespace {

/** Interval at which paused answers are checked. An answer that is paused for
 * as long still reaches its caller in time. */
constexpr std::chrono::milliseconds kCheckInterval{20};
/** Least time between two log lines, as pressure can change many times a
 * second. */
constexpr std::chrono::seconds kLogInterval{1};

}  // namespace

MemoryGuard::MemoryGuard(memory::MemoryAccount& account, EntryMetrics& metrics)
    : account_(account), metrics_(metrics) {
  timer_.setInterval(kCheckInterval);
  connect(&timer_, &QTimer::timeout, this, [this] { OnTick(); });
}

MemoryGuard::~MemoryGuard() = default;

bool MemoryGuard::RefusesRequest() {
  if (pressure() != Pressure::kFull) return false;
  metrics_.OnMemoryRefusal();
  return true;
}

void MemoryGuard::Add(HeldAnswer& answer) { open_[&answer.charge()] = &answer; }

void MemoryGuard::Remove(const HeldAnswer& answer) {
  open_.erase(&answer.charge());
}

void MemoryGuard::OnHeld(HeldAnswer& answer) {
  if (pressure() == Pressure::kNone) return;
  if (answer.bytes() > account_.Mean(BufferKind::kUpstreamAnswer)) {
    answer.Pause(true);
  }
  OnGrowth();
}

void MemoryGuard::OnGrowth() {
  if (pressure() == Pressure::kNone) return;
  LogChange();
  if (!timer_.isActive()) timer_.start();
  GiveUpUntilBelowBound();
}

void MemoryGuard::GiveUpUntilBelowBound() {
  // Guard: giving an answer up answers its caller, which changes the account
  // and would call this function again.
  if (giving_up_) return;
  giving_up_ = true;
  while (pressure() == Pressure::kFull) {
    HeldAnswer* answer = LargestOpen();
    if (answer == nullptr) break;
    utils::DecisionLog("answer_given_up")
        .Add("upstream", answer->upstream())
        .Add("bytes", answer->bytes())
        .Add("total", account_.total())
        .Add("bound", account_.bound());
    open_.erase(&answer->charge());
    answer->GiveUp();
  }
  giving_up_ = false;
}

HeldAnswer* MemoryGuard::LargestOpen() const {
  const auto& holders = account_.holders(BufferKind::kUpstreamAnswer);
  const auto largest = std::find_if(
      holders.rbegin(), holders.rend(),
      [this](const auto& holder) { return open_.contains(holder.second); });
  return largest == holders.rend() ? nullptr : open_.at(largest->second);
}

void MemoryGuard::OnTick() {
  LogChange();
  GiveUpUntilBelowBound();
  ResumeReading();
  const bool any_paused = std::ranges::any_of(
      open_, [](const auto& entry) { return entry.second->paused(); });
  if (pressure() == Pressure::kNone && !any_paused) timer_.stop();
}

void MemoryGuard::ResumeReading() {
  const bool all = pressure() == Pressure::kNone;
  const size_t mean = account_.Mean(BufferKind::kUpstreamAnswer);
  for (const auto& [charge, answer] : open_) {
    if (all || answer->bytes() <= mean) answer->Pause(false);
  }
}

void MemoryGuard::LogChange() {
  const Pressure now = pressure();
  const auto time = std::chrono::steady_clock::now();
  if (now == logged_ || time - logged_at_ < kLogInterval) return;
  logged_ = now;
  logged_at_ = time;
  const auto& answers = account_.holders(BufferKind::kUpstreamAnswer);
  utils::DecisionLog line("memory_pressure");
  line.Add("level", memory::PressureName(now))
      .Add("held", account_.total())
      .Add("bound", account_.bound());
  for (size_t i = 0; i < memory::kBufferKinds; ++i) {
    line.Add(memory::kBufferKindNames[i],
             account_.bytes(static_cast<BufferKind>(i)));
  }
  line.Add("largest_answer", answers.empty() ? 0 : answers.rbegin()->first);
}

}  // namespace turmeric::entry
