#include "turmeric/entry/result_releaser.h"

#include <memory>

#include "turmeric/entry/entry_context.h"
#include "turmeric/stages/shard.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using routing::UpstreamPtr;

namespace {

/** Results are released together, this long after the first. */
constexpr std::chrono::milliseconds kReleaseDelay{10};

}  // namespace

ResultReleases::ResultReleases(EntryContext& context, Released released)
    : context_(context), released_(std::move(released)) {
  flush_.setSingleShot(true);
  connect(&flush_, &QTimer::timeout, this, [this] { Flush(); });
}

void ResultReleases::Add(const std::string& shard,
                         std::vector<std::string> handles) {
  for (std::string& handle : handles) {
    waiting_[{shard, context_.wire.handle_address(handle)}].push_back(
        std::move(handle));
  }
  if (!flush_.isActive()) flush_.start(kReleaseDelay);
}

void ResultReleases::Flush() {
  for (auto& [place, handles] : std::exchange(waiting_, {})) {
    Send(place.first, place.second, std::move(handles));
  }
}

void ResultReleases::Send(const std::string& shard, const std::string& address,
                          std::vector<std::string> handles) {
  const UpstreamPtr holder =
      context_.upstreams.FindAt(stages::ParseShard(shard).service, address);
  // A result does not outlive its maker: nothing to release then. In a zone
  // that gets nothing new it is dropped when its time is over.
  if (!holder || holder->evacuated) return;
  const std::string request = context_.wire.encode_release(address, handles);
  auto exchange = std::make_shared<std::shared_ptr<UpstreamExchange>>();
  // Their room counts as taken until the holder has answered.
  const auto end = [this, exchange, shard, handles = std::move(handles)] {
    exchange->reset();
    released_(shard, handles);
  };
  http::ExchangeEvents events;
  events.on_end = end;
  events.on_failure = [end, address](http::ExchangeFailure failure) {
    // The holder drops them by itself once their time is over.
    utils::DecisionLog("release_failed")
        .Add("address", address)
        .Add("failure", static_cast<int>(failure));
    end();
  };
  *exchange = context_.client.Send(holder, request, std::move(events));
}

}  // namespace turmeric::entry
