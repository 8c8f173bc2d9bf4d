#include "turmeric/entry/permit_requester.h"

#include <algorithm>

#include "turmeric/entry/permit_issuer.h"
#include "turmeric/entry/upstream_probe.h"

namespace turmeric::entry {

using routing::Upstream;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Time limit for the answer of an issuer: with a small CPU quota, an event
 * loop may pause for a tenth of a second. */
constexpr milliseconds kOrderTimeout{120};
/** An issuer that did not answer is asked again after this time. */
constexpr milliseconds kNoAnswerPause{500};
/** A permit that is used later than this after its slot is dropped. */
constexpr milliseconds kMaxLateness{250};
/** Issuers asked for a permit for any upstream. */
constexpr size_t kMaxAsked = 2;
/** Consecutive refusals up to which the pause grows. */
constexpr int kMaxRefusals = 4;

}  // namespace

PermitRequester::PermitRequester(const routing::UpstreamTable& upstreams,
                                 const routing::IssuerList& issuers,
                                 Links links)
    : upstreams_(upstreams), issuers_(issuers), links_(std::move(links)) {}

double PermitRequester::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

std::string PermitRequester::SubjectOf(const PermitRequest& request) {
  if (request.upstream) return ProcessStartId(request.upstream->entry);
  // Issuers refuse a version independently of the others.
  return request.version.empty() ? request.service
                                 : request.service + "/" + request.version;
}

bool PermitRequester::MayAsk(const std::string& issuer,
                             const std::string& subject, milliseconds max_wait,
                             Clock::time_point now) const {
  if (!links_.reaches(issuer)) return false;
  const auto unanswered = unanswered_until_.find(issuer);
  if (unanswered != unanswered_until_.end() && now < unanswered->second) {
    return false;
  }
  const auto refusal = refusals_.find({issuer, subject});
  return refusal == refusals_.end() ||
         refusal->second.free_at <= now + max_wait;
}

bool PermitRequester::IsUsable(const Open& open, Clock::time_point now) {
  return open.granted && now - open.slot <= kMaxLateness &&
         MaySend(*open.granted, now) &&
         HasVersion(*open.granted, open.request.version);
}

bool PermitRequester::MayBeGranted(const Upstream& upstream,
                                   milliseconds max_wait,
                                   Clock::time_point now) const {
  const std::string subject = ProcessStartId(upstream.entry);
  return std::ranges::any_of(issuers_.Of(upstream.entry.service),
                             [&](const std::string& issuer) {
                               return MayAsk(issuer, subject, max_wait, now);
                             });
}

milliseconds PermitRequester::ExpectedWait(const std::string& service,
                                           Clock::time_point now) const {
  auto soonest = now + kNoAnswerPause;
  for (const std::string& issuer : issuers_.Of(service)) {
    const auto refusal = refusals_.find({issuer, service});
    if (refusal == refusals_.end()) continue;
    soonest = std::min(soonest, std::max(now, refusal->second.free_at));
  }
  return std::chrono::ceil<milliseconds>(soonest - now);
}

void PermitRequester::Acquire(PermitRequest request, PermitCallback done,
                              Clock::time_point now) {
  const uint64_t ticket = next_ticket_++;
  open_[ticket] = {.request = std::move(request),
                   .done = std::move(done),
                   .issuer = {},
                   .asked = {},
                   .ordered_at = {},
                   .granted = {},
                   .slot = {}};
  AskNext(ticket, now);
}

void PermitRequester::AskNext(uint64_t ticket, Clock::time_point now) {
  Open& open = open_.at(ticket);
  const PermitRequest& request = open.request;
  const std::string subject = SubjectOf(request);
  const size_t max_asked = request.upstream ? 1 : kMaxAsked;
  std::vector<std::string> candidates;
  std::ranges::copy_if(issuers_.Of(request.service),
                       std::back_inserter(candidates),
                       [&](const std::string& issuer) {
                         return std::ranges::count(open.asked, issuer) == 0 &&
                                MayAsk(issuer, subject, request.max_wait, now);
                       });
  if (candidates.empty() || open.asked.size() >= max_asked) {
    return Complete(ticket, nullptr, now);
  }
  const size_t choice = random_() % candidates.size();
  open.issuer = candidates[choice];
  open.asked.push_back(open.issuer);
  open.ordered_at = now;
  const peer::PermitOrder order{
      .ticket = ticket,
      .service = request.service,
      .upstream = request.upstream ? subject : std::string(),
      .excluded = request.excluded,
      .max_wait = request.max_wait,
      .version = request.version};
  const std::string issuer = open.issuer;
  links_.order(issuer, order, now);
}

void PermitRequester::Complete(uint64_t ticket, const UpstreamPtr& upstream,
                               Clock::time_point now) {
  const PermitCallback done = std::move(open_.at(ticket).done);
  open_.erase(ticket);
  done(upstream, now);
}

void PermitRequester::NoteRefusal(const RefusalKey& key, milliseconds wait,
                                  Clock::time_point now) {
  Refusal& refusal = refusals_[key];
  // Instances that are refused at the same time do not ask again at the same
  // time; the more of them compete, the longer they pause.
  const double factor = 1 + Uniform() * ((1 << refusal.consecutive) - 1);
  refusal.consecutive = std::min(refusal.consecutive + 1, kMaxRefusals);
  const auto pause = std::max(wait, milliseconds(1));
  refusal.free_at =
      now + std::chrono::duration_cast<Clock::duration>(pause * factor);
}

UpstreamPtr PermitRequester::OnPermit(const std::string& issuer,
                                      const peer::Permit& permit,
                                      Clock::time_point now) {
  const auto it = open_.find(permit.ticket);
  if (it == open_.end() || it->second.issuer != issuer || it->second.granted) {
    return nullptr;
  }
  Open& open = it->second;
  unanswered_until_.erase(issuer);
  const RefusalKey key{issuer, SubjectOf(open.request)};
  if (permit.upstream.empty()) {
    const UpstreamPtr unknown =
        permit.limit_unknown ? open.request.upstream : nullptr;
    NoteRefusal(key, permit.wait, now);
    AskNext(permit.ticket, now);
    return unknown;
  }
  refusals_.erase(key);
  open.granted = FindIncarnation(upstreams_, permit.upstream);
  open.slot = now + permit.wait;
  // This process may have been suspended since the issuer chose the slot.
  const bool late = now - open.ordered_at > kMaxLateness;
  if (late || !IsUsable(open, now)) {
    Complete(permit.ticket, nullptr, now);
  } else if (open.slot <= now) {
    const UpstreamPtr granted = open.granted;
    Complete(permit.ticket, granted, now);
  }
  return nullptr;
}

void PermitRequester::Tick(Clock::time_point now) {
  std::vector<uint64_t> due;
  for (const auto& [ticket, open] : open_) {
    const auto due_at =
        open.granted ? open.slot : open.ordered_at + kOrderTimeout;
    if (due_at <= now) due.push_back(ticket);
  }
  for (const uint64_t ticket : due) {
    const auto it = open_.find(ticket);
    if (it == open_.end()) continue;
    const Open& open = it->second;
    if (open.granted) {
      const UpstreamPtr granted = IsUsable(open, now) ? open.granted : nullptr;
      Complete(ticket, granted, now);
      continue;
    }
    unanswered_until_[open.issuer] = now + kNoAnswerPause;
    AskNext(ticket, now);
  }
  std::erase_if(refusals_, [now](const auto& entry) {
    return entry.second.free_at + 2 * kNoAnswerPause < now;
  });
}

}  // namespace turmeric::entry
