#include "turmeric/routing/upstream.h"

#include <algorithm>

namespace turmeric::routing {

namespace {

/** Weight of the newest sample in the moving averages. */
constexpr double kNewest = 0.2;
/** Failures in a row that eject; two may be chance at error rates of 15 %. */
constexpr int kFailuresToEject = 3;
/** First ejection; doubles per further failure up to the longest. A crashed
 * process takes seconds to return, a grey one rarely recovers sooner. */
constexpr std::chrono::milliseconds kFirstEjection{500};
constexpr std::chrono::milliseconds kLongestEjection{4000};
/** After "full", the upstream is left alone this long: about the time in
 * which one of its slots frees. */
constexpr std::chrono::milliseconds kFullPause{60};
/** Share of broken or refused exchanges above which it is ejected. */
constexpr double kBadShare = 0.45;

void Eject(Upstream& upstream, Clock::time_point now) {
  const int doublings = std::clamp(upstream.failures - kFailuresToEject, 0, 3);
  const auto pause =
      std::min(kFirstEjection * (1 << doublings), kLongestEjection);
  upstream.ejected_till = now + pause;
}

}  // namespace

void NoteOutcome(Upstream& upstream, Outcome outcome, double ms,
                 Clock::time_point now) {
  if (outcome == Outcome::kRefused) {
    upstream.full_till = now + kFullPause;
    return;
  }
  const bool failed = outcome != Outcome::kAnswered;
  // An error of the upstream's own may be the request's fault: it counts in
  // the share, but not as a failure in a row.
  upstream.failure_rate +=
      kNewest * ((failed ? 1.0 : 0.0) - upstream.failure_rate);
  if (!failed || outcome == Outcome::kError) {
    upstream.failures = 0;
    upstream.latency_ms =
        upstream.latency_ms == 0
            ? ms
            : upstream.latency_ms + kNewest * (ms - upstream.latency_ms);
  } else {
    ++upstream.failures;
  }
  const bool no_connection = outcome == Outcome::kNotSent;
  if (no_connection || upstream.failures >= kFailuresToEject ||
      (failed && upstream.failure_rate > kBadShare)) {
    Eject(upstream, now);
  }
}

bool IsListed(const Upstream& upstream, Clock::time_point now) {
  return upstream.listed && !upstream.entry.draining && !upstream.evacuated &&
         now < upstream.lapses_at;
}

bool AnyListed(std::span<const UpstreamPtr> upstreams, Clock::time_point now) {
  return std::ranges::any_of(
      upstreams, [now](const UpstreamPtr& u) { return IsListed(*u, now); });
}

bool IsAvoided(const Upstream& upstream, Clock::time_point now) {
  return now < upstream.ejected_till || now < upstream.full_till;
}

}  // namespace turmeric::routing
