#include "turmeric/entry/caller_buffers.h"

#include <algorithm>
#include <optional>

#include "turmeric/entry/memory_guard.h"
#include "turmeric/http/server_connection.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using memory::BufferKind;

namespace {

/** Interval of the samples of the callers' read rates. */
constexpr std::chrono::milliseconds kSampleInterval{500};
/** Least read rate of a caller under pressure, bytes per second. The slowest
 * link of a caller in use carries more than ten times as much. */
constexpr double kLeastReadRate = 1024;

}  // namespace

CallerBuffers::Buffers::Buffers(MemoryGuard& guard)
    : unsent(guard.account(), BufferKind::kCallerAnswer) {}

CallerBuffers::CallerBuffers(MemoryGuard& guard) : guard_(guard) {
  timer_.setInterval(kSampleInterval);
  connect(&timer_, &QTimer::timeout, this,
          [this] { Check(memory::ReadRate::Clock::now()); });
}

CallerBuffers::~CallerBuffers() = default;

void CallerBuffers::Add(http::ServerConnection& connection) {
  buffers_[&connection] = std::make_unique<Buffers>(guard_);
  connection.set_on_buffered([this, &connection] { Update(connection); });
  connect(&connection, &QObject::destroyed, this,
          [this, &connection] { buffers_.erase(&connection); });
}

void CallerBuffers::Update(http::ServerConnection& connection) {
  const auto it = buffers_.find(&connection);
  if (it == buffers_.end()) return;
  Buffers& buffers = *it->second;
  const size_t before = buffers.unsent.bytes();
  buffers.unsent.Set(connection.unsent());
  if (buffers.unsent.bytes() > 0 && !timer_.isActive()) timer_.start();
  if (buffers.unsent.bytes() > before) guard_.OnGrowth();
}

void CallerBuffers::Check(memory::ReadRate::Clock::time_point now) {
  bool any_waiting = false;
  for (auto& [connection, buffers] : buffers_) {
    const size_t unsent = connection->unsent();
    buffers->unsent.Set(unsent);
    buffers->read_rate.Sample(connection->sent(), unsent > 0, now);
    any_waiting = any_waiting || unsent > 0;
  }
  while (guard_.pressure() != memory::Pressure::kNone && CutSlowest()) {
  }
  if (!any_waiting) timer_.stop();
}

bool CallerBuffers::CutSlowest() {
  const auto rate = [](const auto& entry) {
    return entry.second->read_rate.rate().value_or(kLeastReadRate);
  };
  const auto slowest = std::ranges::min_element(buffers_, {}, rate);
  if (slowest == buffers_.end() || rate(*slowest) >= kLeastReadRate) {
    return false;
  }
  utils::DecisionLog("slow_caller_cut")
      .Add("unsent", slowest->second->unsent.bytes())
      .Add("bytes_per_s", rate(*slowest))
      .Add("total", guard_.account().total())
      .Add("bound", guard_.account().bound());
  http::ServerConnection* connection = slowest->first;
  buffers_.erase(slowest);
  connection->CutOff();
  return true;
}

}  // namespace turmeric::entry
