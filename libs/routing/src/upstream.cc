#include "turmeric/routing/upstream.h"

#include <algorithm>

namespace turmeric::routing {

namespace {

/** Weight of a new sample in the moving averages. */
constexpr double kSampleWeight = 0.2;
/** Consecutive failures that eject an upstream; two can occur by chance at an
 * error rate of 15 %. */
constexpr int kFailuresToEject = 3;
/** Duration of the first ejection; doubles with each further failure up to
 * kLongestEjection. A crashed process needs seconds to restart, and one that
 * fails partially rarely recovers sooner. */
constexpr std::chrono::milliseconds kFirstEjection{500};
constexpr std::chrono::milliseconds kLongestEjection{4000};
/** How long an upstream that refused a request as full is avoided: about the
 * time in which one of its slots becomes free. */
constexpr std::chrono::milliseconds kFullPause{60};
/** Failure rate above which an upstream is ejected. */
constexpr double kMaxFailureRate = 0.45;

void Eject(Upstream& upstream, Clock::time_point now) {
  const int doublings = std::clamp(upstream.failures - kFailuresToEject, 0, 3);
  const auto pause =
      std::min(kFirstEjection * (1 << doublings), kLongestEjection);
  upstream.ejected_until = now + pause;
}

}  // namespace

void NoteOutcome(Upstream& upstream, Outcome outcome, double ms,
                 Clock::time_point now) {
  if (outcome == Outcome::kRefused) {
    upstream.full_until = now + kFullPause;
    return;
  }
  const bool failed = outcome != Outcome::kAnswered;
  // An error answered by the upstream may be caused by the request: it counts
  // in the failure rate, but not as a consecutive failure.
  upstream.failure_rate +=
      kSampleWeight * ((failed ? 1.0 : 0.0) - upstream.failure_rate);
  if (!failed || outcome == Outcome::kError) {
    upstream.failures = 0;
    upstream.latency_ms =
        upstream.latency_ms == 0
            ? ms
            : upstream.latency_ms + kSampleWeight * (ms - upstream.latency_ms);
  } else {
    ++upstream.failures;
  }
  const bool no_connection = outcome == Outcome::kNotSent;
  if (no_connection || upstream.failures >= kFailuresToEject ||
      (failed && upstream.failure_rate > kMaxFailureRate)) {
    Eject(upstream, now);
  }
}

bool IsLeaving(const Upstream& upstream) {
  return upstream.entry.draining || upstream.availability->leaving();
}

bool AcceptsWork(const Upstream& upstream, Clock::time_point now) {
  return upstream.listed && !IsLeaving(upstream) && !upstream.evacuated &&
         now < upstream.expires_at;
}

bool IsListed(const Upstream& upstream, Clock::time_point now) {
  return !upstream.unregistered && AcceptsWork(upstream, now);
}

bool IsResting(const Upstream& upstream, Clock::time_point now) {
  return now < upstream.availability->rests_until();
}

bool IsRestingFromPeer(const Upstream& upstream, Clock::time_point now) {
  return now < upstream.availability->peer_rests_until();
}

std::optional<Clock::time_point> SendableFrom(const Upstream& upstream,
                                              Clock::time_point now) {
  if (!IsListed(upstream, now)) return std::nullopt;
  return std::max(now, upstream.availability->rests_until());
}

bool MaySend(const Upstream& upstream, Clock::time_point now) {
  return SendableFrom(upstream, now) == now;
}

std::optional<Clock::time_point> SendableFrom(
    std::span<const UpstreamPtr> upstreams, std::string_view version,
    Clock::time_point now) {
  std::optional<Clock::time_point> earliest;
  for (const UpstreamPtr& u : upstreams) {
    const auto from = SendableFrom(*u, now);
    if (!from || !HasVersion(*u, version)) continue;
    earliest = std::min(earliest.value_or(*from), *from);
  }
  return earliest;
}

bool HasVersion(const Upstream& upstream, std::string_view version) {
  return version.empty() || upstream.entry.version == version;
}

bool AnyListed(std::span<const UpstreamPtr> upstreams, std::string_view version,
               Clock::time_point now) {
  return std::ranges::any_of(upstreams, [&](const UpstreamPtr& u) {
    return IsListed(*u, now) && HasVersion(*u, version);
  });
}

bool IsAvoided(const Upstream& upstream, Clock::time_point now) {
  return now < upstream.ejected_until || now < upstream.full_until;
}

}  // namespace turmeric::routing
