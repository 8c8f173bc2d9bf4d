#include "turmeric/entry/result_releaser.h"

#include <utility>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/release_call.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/stages/shard.h"

namespace turmeric::entry {

using routing::UpstreamPtr;

namespace {

/** Delay from the first pending release to the call that sends all of them. */
constexpr std::chrono::milliseconds kReleaseDelay{10};

}  // namespace

ResultReleaser::ResultReleaser(EntryContext& context,
                               ReleasedCallback on_released)
    : context_(context), on_released_(std::move(on_released)) {
  flush_timer_.setSingleShot(true);
  connect(&flush_timer_, &QTimer::timeout, this, [this] { Flush(); });
}

void ResultReleaser::Add(const std::string& shard,
                         std::vector<std::string> handles) {
  for (std::string& handle : handles) {
    pending_[{shard, context_.wire.handle_address(handle)}].push_back(
        std::move(handle));
  }
  if (!flush_timer_.isActive()) flush_timer_.start(kReleaseDelay);
}

void ResultReleaser::Flush() {
  for (auto& [place, handles] : std::exchange(pending_, {})) {
    Send(place.first, place.second, handles);
  }
}

void ResultReleaser::Send(const std::string& shard, const std::string& address,
                          const std::vector<std::string>& handles) {
  const UpstreamPtr holder =
      context_.upstreams.FindAt(stages::ParseShard(shard).service, address);
  // A result does not outlive the process that made it, so there is nothing to
  // release if the upstream is no longer known. An upstream that leaves, rests
  // or is in an evacuated zone receives no calls, and one with a rate limit
  // needs its few for work; they drop their results when the retention time
  // ends.
  if (!holder || !MaySend(*holder, routing::Clock::now()) ||
      context_.limiter->IsLimited(*holder)) {
    return;
  }
  // The memory of the results counts as used until the upstream has responded.
  auto* call = new ReleaseCall(
      context_, holder,
      [this, shard, handles] { on_released_(shard, handles); }, this);
  call->Start(address, handles);
}

}  // namespace turmeric::entry
