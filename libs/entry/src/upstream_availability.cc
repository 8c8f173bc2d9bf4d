#include "turmeric/entry/upstream_availability.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

#include "turmeric/entry/answer_check.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/permit_issuer.h"
#include "turmeric/entry/upstream_probe.h"
#include "turmeric/entry/wire_format.h"
#include "turmeric/peer/frame.h"
#include "turmeric/routing/upstream_table.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using peer::Frame;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Source of a statement in log lines, besides names of instances. */
constexpr std::string_view kSourceAnswer = "answer";
/** Difference between two ends of a rest that peers need not be told. */
constexpr milliseconds kKnownMargin{300};
/** Fraction of a rest over which the instances return that it was not meant
 * for. */
constexpr double kReturnSpread = 0.25;

milliseconds WithSpread(milliseconds rest) {
  static std::minstd_rand engine{std::random_device{}()};
  std::uniform_real_distribution<double> factor(1, 1 + kReturnSpread);
  return milliseconds(
      static_cast<int64_t>(static_cast<double>(rest.count()) * factor(engine)));
}

}  // namespace

UpstreamAvailability::UpstreamAvailability(routing::UpstreamTable& upstreams,
                                           EntryMetrics& metrics,
                                           AvailabilityLinks links)
    : upstreams_(upstreams), metrics_(metrics), links_(std::move(links)) {}

bool UpstreamAvailability::SetLeaving(const UpstreamPtr& upstream,
                                      std::string_view source) {
  if (!upstream->availability->SetLeaving()) return false;
  metrics_.OnLeavingStated(upstream->entry.service);
  utils::DecisionLog("upstream_states_leaving")
      .Add("service", upstream->entry.service)
      .Add("upstream", upstream->entry.id)
      .Add("source", source);
  upstreams_.OnStatedLeaving(*upstream);
  links_.on_leaving();
  links_.on_unavailable(upstream);
  return true;
}

bool UpstreamAvailability::Rest(const UpstreamPtr& upstream, milliseconds time,
                                std::string_view source,
                                Clock::time_point now) {
  limits::StatedAvailability& stated = *upstream->availability;
  if (now + time <= std::max(now, stated.rests_until())) return false;
  if (stated.Rest(now + time, now)) {
    metrics_.OnRestStated(upstream->entry.service);
    utils::DecisionLog("upstream_rests")
        .Add("service", upstream->entry.service)
        .Add("upstream", upstream->entry.id)
        .Add("for_ms", time.count())
        .Add("source", source);
    links_.on_unavailable(upstream);
  }
  return true;
}

void UpstreamAvailability::Broadcast(
    const peer::AvailabilityNotice& notice) const {
  links_.broadcast([&notice](Frame& frame) {
    frame.availability_notices.push_back(notice);
  });
}

void UpstreamAvailability::OnFrame(std::string_view peer, const Frame& frame,
                                   Clock::time_point now) {
  for (const peer::AvailabilityNotice& notice : frame.availability_notices) {
    const UpstreamPtr upstream = FindIncarnation(upstreams_, notice.upstream);
    if (!upstream) continue;
    if (notice.leaving) SetLeaving(upstream, peer);
    if (notice.rest <= milliseconds(0)) continue;
    if (links_.uses_tunnels(*upstream)) {
      Rest(upstream, notice.rest, peer, now);
    } else {
      upstream->availability->PeerRest(now + WithSpread(notice.rest));
    }
  }
}

void UpstreamAvailability::AddKnown(Frame& frame) const {
  for (const UpstreamPtr& upstream : upstreams_.All()) {
    if (!upstream->availability->leaving()) continue;
    frame.availability_notices.push_back(
        {.upstream = ProcessStartId(upstream->entry), .leaving = true});
  }
}

void UpstreamAvailability::OnAnswer(const UpstreamPtr& upstream, int status,
                                    const AnswerInfo& info,
                                    Clock::time_point now) {
  if (StatesNothing(status, info, info.leaving || info.rest)) return;
  const std::string process = ProcessStartId(upstream->entry);
  if (info.leaving && SetLeaving(upstream, kSourceAnswer)) {
    Broadcast({.upstream = process, .leaving = true});
  }
  if (!info.rest || !Rest(upstream, *info.rest, kSourceAnswer, now)) return;
  // What the peers know already is not repeated, unless they act for this
  // instance and need the exact end.
  const bool is_known =
      upstream->availability->peer_rests_until() + kKnownMargin >=
      now + *info.rest;
  if (is_known && !links_.uses_tunnels(*upstream)) return;
  upstream->availability->PeerRest(now + *info.rest);
  Broadcast({.upstream = process, .rest = *info.rest});
}

void UpstreamAvailability::OnSend(const routing::Upstream& upstream,
                                  std::string_view request,
                                  Clock::time_point now) {
  limits::StatedAvailability& stated = *upstream.availability;
  if (stated.EndRest(now)) {
    utils::DecisionLog("upstream_used_after_rest")
        .Add("service", upstream.entry.service)
        .Add("upstream", upstream.entry.id)
        .Add("request", request);
  }
  if (!stated.leaving() && now >= stated.rests_until()) return;
  utils::DecisionLog("sent_to_unavailable")
      .Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("request", request)
      .Add("leaving", stated.leaving())
      .Add("rest_left_ms",
           std::chrono::duration_cast<milliseconds>(stated.rests_until() - now)
               .count());
}

}  // namespace turmeric::entry
