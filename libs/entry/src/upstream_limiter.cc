#include "turmeric/entry/upstream_limiter.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "turmeric/entry/answer_check.h"
#include "turmeric/entry/entry_metrics.h"
#include "turmeric/entry/upstream_probe.h"
#include "turmeric/limits/limit_statement.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using limits::LimitStatement;
using peer::Frame;
using peer::LimitNotice;
using peer::Permit;
using routing::Upstream;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Value of a log field for an upstream without a limit. */
constexpr double kNoLimit = -1;
/** Issuers of a service that pass its limits on to all instances. */
constexpr size_t kAnnouncers = 2;
/** Longest wait for a permit that is kept, and time for which it is kept. */
constexpr milliseconds kKeptWait{100};
constexpr milliseconds kKeptFor{200};

LimitNotice NoticeOf(const Upstream& upstream) {
  return {ProcessStartId(upstream.entry), *upstream.rate_limit.statement()};
}

}  // namespace

UpstreamLimiter::UpstreamLimiter(LimiterSettings settings,
                                 const routing::UpstreamTable& upstreams,
                                 LimiterLinks links, Clock::time_point now)
    : settings_(std::move(settings)),
      upstreams_(upstreams),
      links_(std::move(links)),
      issuers_(settings_.name, settings_.first_start),
      issuer_(upstreams_, issuers_, now),
      requester_(
          upstreams_, issuers_,
          {.reaches =
               [this](const std::string& name) {
                 return name == settings_.name || links_.reaches(name);
               },
           .order = [this](const std::string& name,
                           const peer::PermitOrder& order,
                           Clock::time_point at) { Order(name, order, at); }}) {
}

void UpstreamLimiter::OnInstances(std::span<const std::string> names,
                                  bool self_listed, Clock::time_point now) {
  issuers_.OnList(names, self_listed, now);
  issuer_.DropUnlisted();
  std::erase_if(kept_, [now](const auto& entry) {
    return !entry.second.pending && entry.second.expires_at < now;
  });
  std::erase_if(stated_, [](const auto& entry) {
    const auto upstream = entry.second.lock();
    return !upstream || !upstream->listed;
  });
}

// Limits.

void UpstreamLimiter::OnAnswer(Upstream& upstream, int status,
                               const AnswerInfo& info,
                               Clock::time_point sent_at,
                               Clock::time_point now) {
  const bool stated = info.rate_limit || info.rate_limit_malformed;
  if (StatesNothing(status, info, stated)) return;
  if (info.rate_limit_malformed) {
    utils::DecisionLog("rate_limit_malformed")
        .Add("upstream", upstream.entry.id);
    return;
  }
  const LimitStatement statement{
      .per_s = info.rate_limit, .sent_at = sent_at, .received_at = now};
  if (!Apply(upstream, statement, now)) return;
  IsAnnouncer(upstream.entry.service) ? Announce(upstream) : Report(upstream);
}

bool UpstreamLimiter::Apply(Upstream& upstream, const LimitStatement& statement,
                            Clock::time_point now) {
  if (!upstream.rate_limit.Apply(statement)) return false;
  utils::DecisionLog("rate_limit_changed")
      .Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("per_s", statement.per_s.value_or(kNoLimit));
  const std::string incarnation = ProcessStartId(upstream.entry);
  if (!stated_.contains(incarnation)) {
    stated_[incarnation] = FindIncarnation(upstreams_, incarnation);
  }
  issuer_.OnLimit(upstream, now);
  return true;
}

bool UpstreamLimiter::IsAnnouncer(const std::string& service) const {
  const auto issuers = issuers_.Of(service);
  const auto announcers = issuers.first(std::min(issuers.size(), kAnnouncers));
  return std::ranges::count(announcers, settings_.name) > 0;
}

void UpstreamLimiter::Announce(const Upstream& upstream) {
  links_.broadcast([&upstream](Frame& frame) {
    frame.limit_notices.push_back(NoticeOf(upstream));
  });
}

void UpstreamLimiter::Report(const Upstream& upstream) {
  for (const std::string& issuer : issuers_.Of(upstream.entry.service)) {
    if (issuer == settings_.name) continue;
    links_.send(issuer, [&upstream](Frame& frame) {
      frame.limit_notices.push_back(NoticeOf(upstream));
    });
  }
}

void UpstreamLimiter::OnSend(const Upstream& upstream) const {
  const auto per_s = upstream.rate_limit.per_s();
  if (!per_s) return;
  if (metrics_ != nullptr) metrics_->OnLimitedSend(upstream.entry.service);
  utils::DecisionLog("limited_send")
      .Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("per_s", *per_s);
}

bool UpstreamLimiter::HasLimited(const std::string& service,
                                 std::string_view version,
                                 std::span<const std::string> tried,
                                 Clock::time_point now) const {
  if (stated_.empty()) return false;
  return std::ranges::any_of(
      upstreams_.ForService(service), [&](const UpstreamPtr& u) {
        return IsLimited(*u) && MaySend(*u, now) && HasVersion(*u, version) &&
               std::ranges::count(tried, u->entry.id) == 0;
      });
}

std::vector<std::string> UpstreamLimiter::IdsOf(
    const std::string& service,
    const std::function<bool(const Upstream&)>& selects) const {
  std::vector<std::string> ids;
  if (stated_.empty()) return ids;
  for (const UpstreamPtr& u : upstreams_.ForService(service)) {
    if (IsLimited(*u) && selects(*u)) ids.push_back(u->entry.id);
  }
  return ids;
}

std::vector<std::string> UpstreamLimiter::Limited(
    const std::string& service) const {
  return IdsOf(service, [](const Upstream&) { return true; });
}

std::vector<std::string> UpstreamLimiter::WithoutPermit(
    const std::string& service, Clock::time_point now) const {
  return IdsOf(service, [&](const Upstream& u) {
    return !requester_.MayBeGranted(u, milliseconds(0), now);
  });
}

double UpstreamLimiter::RateOf(std::span<const UpstreamPtr> upstreams) const {
  double rate = 0;
  for (const UpstreamPtr& u : upstreams) {
    if (!IsLimited(*u)) return std::numeric_limits<double>::infinity();
    rate += std::max(*u->rate_limit.per_s(), PermitIssuer::kMinRate);
  }
  return rate;
}

// Permits.

void UpstreamLimiter::Acquire(PermitRequest request, PermitCallback done,
                              Clock::time_point now) {
  const std::string service = request.service;
  requester_.Acquire(
      std::move(request),
      [this, service, done = std::move(done)](const UpstreamPtr& granted,
                                              Clock::time_point at) {
        if (metrics_ != nullptr) {
          metrics_->OnPermit(service, granted != nullptr);
        }
        done(granted, at);
      },
      now);
  if (has_open() && links_.on_open) links_.on_open();
}

bool UpstreamLimiter::KeepPermit(const UpstreamPtr& upstream,
                                 std::function<void()> on_permit,
                                 Clock::time_point now) {
  if (!IsLimited(*upstream)) return true;
  const std::string incarnation = ProcessStartId(upstream->entry);
  KeptPermit& kept = kept_[incarnation];
  if (kept.pending) return false;
  if (now < kept.expires_at) return true;
  if (!requester_.MayBeGranted(*upstream, kKeptWait, now)) return false;
  kept.pending = true;
  Acquire(
      {.service = upstream->entry.service,
       .upstream = upstream,
       .excluded = {},
       .max_wait = kKeptWait},
      [this, incarnation, on_permit = std::move(on_permit)](
          const UpstreamPtr& granted, Clock::time_point at) {
        KeptPermit& obtained = kept_[incarnation];
        obtained.pending = false;
        if (!granted) return;
        obtained.expires_at = at + kKeptFor;
        on_permit();
      },
      now);
  return false;
}

void UpstreamLimiter::UseKeptPermit(const Upstream& upstream) {
  if (kept_.empty()) return;
  const auto kept = kept_.find(ProcessStartId(upstream.entry));
  if (kept != kept_.end() && !kept->second.pending) kept_.erase(kept);
}

milliseconds UpstreamLimiter::RefusalDelay(const std::string& service,
                                           double draw, Clock::time_point now) {
  double rate = 0;
  for (const UpstreamPtr& u : upstreams_.ForService(service)) {
    if (!IsLimited(*u) || !IsListed(*u, now)) continue;
    rate += std::max(*u->rate_limit.per_s(), PermitIssuer::kMinRate);
  }
  const double share =
      std::max(rate, PermitIssuer::kMinRate) / issuers_.fleet_size();
  return returns_[service].Next(share, requester_.ExpectedWait(service, now),
                                draw, now);
}

void UpstreamLimiter::Order(const std::string& issuer,
                            const peer::PermitOrder& order,
                            Clock::time_point now) {
  if (issuer != settings_.name) {
    return links_.send(issuer, [&order](Frame& frame) {
      frame.permit_orders.push_back(order);
    });
  }
  requester_.OnPermit(issuer, issuer_.Decide(order, now), now);
}

// Frames.

void UpstreamLimiter::OnPermits(const std::string& name, const Frame& frame,
                                Clock::time_point now) {
  ApplyNotices(frame, nullptr, now);
  for (const Permit& permit : frame.permits) {
    const UpstreamPtr unknown = requester_.OnPermit(name, permit, now);
    if (!unknown || !unknown->rate_limit.statement()) continue;
    links_.send(name, [&unknown](Frame& next) {
      next.limit_notices.push_back(NoticeOf(*unknown));
    });
  }
}

void UpstreamLimiter::ApplyNotices(const Frame& frame, Frame* reply,
                                   Clock::time_point now) {
  for (const LimitNotice& notice : frame.limit_notices) {
    const UpstreamPtr upstream = FindIncarnation(upstreams_, notice.upstream);
    if (!upstream) continue;
    if (Apply(*upstream, notice.statement, now)) {
      if (IsAnnouncer(upstream->entry.service)) Announce(*upstream);
      continue;
    }
    const auto& known = upstream->rate_limit.statement();
    const bool differs = known && known->per_s != notice.statement.per_s;
    if (differs && reply != nullptr) {
      reply->limit_notices.push_back(NoticeOf(*upstream));
    }
  }
}

void UpstreamLimiter::OnOrders(const Frame& frame, Frame* reply,
                               Clock::time_point now) {
  ApplyNotices(frame, reply, now);
  if (reply == nullptr) return;
  for (const peer::PermitOrder& order : frame.permit_orders) {
    const Permit permit = issuer_.Decide(order, now);
    reply->permits.push_back(permit);
    // The limit that the order assumes has ended.
    const UpstreamPtr upstream = FindIncarnation(upstreams_, permit.upstream);
    if (upstream && !upstream->rate_limit.per_s() &&
        upstream->rate_limit.statement()) {
      reply->limit_notices.push_back(NoticeOf(*upstream));
    }
  }
}

void UpstreamLimiter::AddKnownLimits(Frame& frame) const {
  for (const auto& [incarnation, weak] : stated_) {
    const auto upstream = weak.lock();
    if (!upstream || !upstream->rate_limit.statement()) continue;
    if (!IsAnnouncer(upstream->entry.service)) continue;
    frame.limit_notices.push_back(NoticeOf(*upstream));
  }
}

}  // namespace turmeric::entry
