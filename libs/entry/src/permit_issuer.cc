#include "turmeric/entry/permit_issuer.h"

#include <algorithm>
#include <vector>

#include "turmeric/entry/upstream_probe.h"

namespace turmeric::entry {

using limits::PermitSchedule;
using routing::Upstream;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Wait that is answered by an instance that does not issue permits. */
constexpr milliseconds kNotIssuerWait{1000};
/** A process that has run for this long and has no schedule for an upstream has
 * issued no permit for it within the span of a limit, and neither has an
 * earlier process. */
constexpr milliseconds kSettledAfter{10000};

milliseconds CeilMs(routing::Clock::duration time) {
  return std::chrono::ceil<milliseconds>(time);
}

}  // namespace

UpstreamPtr FindIncarnation(const routing::UpstreamTable& upstreams,
                            std::string_view incarnation) {
  const UpstreamPtr upstream =
      upstreams.Find(incarnation.substr(0, incarnation.rfind('@')));
  if (!upstream || ProcessStartId(upstream->entry) != incarnation) {
    return nullptr;
  }
  return upstream;
}

PermitSchedule& PermitIssuer::ScheduleOf(const Upstream& upstream, int rank,
                                         Clock::time_point now) {
  const double issuers =
      static_cast<double>(issuers_.Of(upstream.entry.service).size());
  const double rate =
      std::max(upstream.rate_limit.per_s().value_or(0), kMinRate) / issuers;
  // The first permits of the issuers are spread over the interval of one
  // issuer, unless an earlier process may have issued some.
  const bool settled = now >= started_ + kSettledAfter;
  const double first_after = settled ? (rank + 1) / issuers : 1;
  const auto [it, is_new] = schedules_.try_emplace(
      ProcessStartId(upstream.entry), rate, first_after, now);
  if (!is_new) it->second.SetRate(rate, now);
  return it->second;
}

void PermitIssuer::OnLimit(const Upstream& upstream, Clock::time_point now) {
  if (!upstream.rate_limit.per_s()) return;
  const auto rank = issuers_.OwnRank(upstream.entry.service, now);
  if (rank) ScheduleOf(upstream, *rank, now);
}

std::vector<UpstreamPtr> PermitIssuer::Candidates(
    const peer::PermitOrder& order, Clock::time_point now) const {
  std::vector<UpstreamPtr> candidates;
  if (!order.upstream.empty()) {
    candidates.push_back(FindIncarnation(upstreams_, order.upstream));
    if (!candidates.front()) candidates.clear();
    return candidates;
  }
  std::ranges::copy_if(
      upstreams_.ForService(order.service), std::back_inserter(candidates),
      [&](const UpstreamPtr& u) {
        return u->rate_limit.per_s() && IsListed(*u, now) &&
               HasVersion(*u, order.version) && !IsAvoided(*u, now) &&
               std::ranges::count(order.excluded, u->entry.id) == 0;
      });
  return candidates;
}

peer::Permit PermitIssuer::Decide(const peer::PermitOrder& order,
                                  Clock::time_point now) {
  peer::Permit permit{.ticket = order.ticket, .upstream = {}};
  const auto rank = issuers_.OwnRank(order.service, now);
  permit.wait = kNotIssuerWait;
  if (!rank) return permit;
  const std::vector<UpstreamPtr> candidates = Candidates(order, now);
  UpstreamPtr best;
  Clock::time_point best_slot;
  for (const UpstreamPtr& u : candidates) {
    if (!u->rate_limit.per_s()) {
      // An upstream without a limit is the only candidate. Either the end of
      // its limit is known, or no answer has stated a limit to this instance.
      if (u->rate_limit.statement()) permit.upstream = order.upstream;
      permit.limit_unknown = permit.upstream.empty();
      permit.wait = milliseconds(0);
      return permit;
    }
    const auto slot = ScheduleOf(*u, *rank, now).NextSlot(now);
    if (best && slot >= best_slot) continue;
    best = u;
    best_slot = slot;
  }
  if (!best) return permit;
  permit.wait = CeilMs(best_slot - now);
  if (permit.wait > order.max_wait) return permit;
  ScheduleOf(*best, *rank, now).Take(now);
  permit.upstream = ProcessStartId(best->entry);
  return permit;
}

void PermitIssuer::DropUnlisted() {
  std::erase_if(schedules_, [this](const auto& entry) {
    return !FindIncarnation(upstreams_, entry.first);
  });
}

}  // namespace turmeric::entry
