#include "turmeric/entry/caller_intake.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "turmeric/entry/entry_metrics.h"
#include "turmeric/http/connection_limit.h"
#include "turmeric/peer/frame.h"
#include "turmeric/utils/decision_log.h"
#include "turmeric/utils/descriptor_limit.h"

namespace turmeric::entry {

using std::chrono::milliseconds;

namespace {

/** Instances that one tells its state, and interval at which it does. */
constexpr size_t kSuccessors = 8;
constexpr milliseconds kAnnounceInterval{1000};
/** Time for which a statement holds: two may be lost. */
constexpr milliseconds kStatementValidity{3000};
/** Descriptors that are not used for callers and their requests: listeners,
 * connections to other instances and the store, files. */
constexpr size_t kReservedDescriptors = 600;
/** A caller's connection and the one to the upstream of its request. */
constexpr size_t kDescriptorsPerCaller = 2;

}  // namespace

size_t MaxCallers(size_t descriptors, size_t bytes) {
  if (descriptors == 0) descriptors = utils::DescriptorLimit();
  const size_t reserved = std::min(kReservedDescriptors, descriptors / 2);
  const size_t callers = (descriptors - reserved) / kDescriptorsPerCaller;
  if (bytes == 0) return callers;
  return std::min(callers, std::max<size_t>(1, bytes / http::kConnectionBytes));
}

CallerIntake::CallerIntake(EntryMetrics& metrics, size_t max_callers,
                           IntakeLinks links)
    : metrics_(metrics), links_(std::move(links)), max_callers_(max_callers) {
  announce_timer_.setInterval(kAnnounceInterval);
  connect(&announce_timer_, &QTimer::timeout, this, [this] { Announce(); });
}

bool CallerIntake::Takes(size_t open_callers) {
  const auto now = Clock::now();
  MeasureLoopDelay(now);
  if (open_callers >= max_callers_ && !links_.close_for_new()) {
    LeaveUnread("descriptors", open_callers);
    return false;
  }
  if (!limit_.Admits(now) && OthersHaveRoom(now)) {
    LeaveUnread("delay", open_callers);
    return false;
  }
  limit_.OnTaken();
  return true;
}

// A timer without delay expires in the next iteration of the event loop, after
// all events that are pending now.
void CallerIntake::MeasureLoopDelay(Clock::time_point now) {
  if (std::exchange(loop_measured_, true)) return;
  QTimer::singleShot(0, this, [this, now] {
    loop_measured_ = false;
    const auto end = Clock::now();
    limit_.OnLoopDelay(std::chrono::duration_cast<milliseconds>(end - now),
                       end);
    if (limit_.bounded() && !announce_timer_.isActive()) {
      Announce();
      announce_timer_.start();
    }
  });
}

void CallerIntake::OnRequest(milliseconds receive_time) {
  limit_.OnReceiveTime(receive_time, Clock::now());
}

bool CallerIntake::OthersHaveRoom(Clock::time_point now) {
  std::erase_if(overloaded_, [now](const auto& entry) {
    return now - entry.second > kStatementValidity;
  });
  return told_by_ > 0 && 2 * overloaded_.size() < told_by_;
}

void CallerIntake::OnFrame(const std::string& name, const peer::Frame& frame) {
  if (frame.load == peer::LoadStatement::kNone) return;
  if (frame.load == peer::LoadStatement::kOverloaded) {
    overloaded_[name] = Clock::now();
  } else {
    overloaded_.erase(name);
  }
}

void CallerIntake::Announce() {
  const bool overloaded = limit_.bounded();
  const auto statement = overloaded ? peer::LoadStatement::kOverloaded
                                    : peer::LoadStatement::kWithinMeans;
  const auto successors = links_.successors(kSuccessors);
  told_by_ = successors.size();
  for (const std::string& name : successors) {
    links_.send(name,
                [statement](peer::Frame& frame) { frame.load = statement; });
  }
  if (std::exchange(announced_, overloaded) != overloaded) {
    utils::DecisionLog(overloaded ? "intake_bounded" : "intake_unbounded")
        .Add("delay_ms", limit_.delay_ms())
        .Add("per_s", overloaded ? limit_.per_s() : 0)
        .Add("told", told_by_)
        .Add("overloaded_peers", overloaded_.size());
  }
  if (!overloaded) announce_timer_.stop();
}

void CallerIntake::LeaveUnread(std::string_view reason, size_t open_callers) {
  metrics_.OnLeftUnread(reason);
  const auto connections = log_interval_.Count(Clock::now());
  if (!connections) return;
  utils::DecisionLog("connections_left_unread")
      .Add("connections", *connections)
      .Add("reason", reason)
      .Add("open_callers", open_callers)
      .Add("max_callers", max_callers_)
      .Add("delay_ms", limit_.delay_ms())
      .Add("per_s", limit_.bounded() ? limit_.per_s() : 0);
}

}  // namespace turmeric::entry
