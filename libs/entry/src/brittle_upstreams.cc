#include "turmeric/entry/brittle_upstreams.h"

#include <algorithm>
#include <utility>

#include "turmeric/entry/answer_check.h"
#include "turmeric/entry/permit_issuer.h"
#include "turmeric/entry/upstream_probe.h"
#include "turmeric/utils/decision_log.h"

namespace turmeric::entry {

using limits::BrittleStatement;
using peer::Frame;
using routing::Upstream;
using routing::UpstreamPtr;

namespace {

/** Value of a log field for an upstream that is not brittle. */
constexpr int kNotBrittle = -1;

}  // namespace

BrittleUpstreams::BrittleUpstreams(const routing::UpstreamTable& upstreams,
                                   Broadcast broadcast)
    : upstreams_(upstreams), broadcast_(std::move(broadcast)) {}

void BrittleUpstreams::OnAnswer(Upstream& upstream, int status,
                                const AnswerInfo& info,
                                Clock::time_point sent_at,
                                Clock::time_point now) {
  if (StatesNothing(status, info, info.brittle.has_value())) return;
  const BrittleStatement statement{
      .tolerated = info.brittle, .sent_at = sent_at, .received_at = now};
  if (!Apply(upstream, statement)) return;
  const std::string incarnation = ProcessStartId(upstream.entry);
  broadcast_([&](Frame& frame) {
    frame.brittle_notices.push_back({incarnation, statement});
  });
}

bool BrittleUpstreams::Apply(Upstream& upstream,
                             const BrittleStatement& statement) {
  if (!upstream.brittle.Apply(statement)) return false;
  utils::DecisionLog("brittle_changed")
      .Add("service", upstream.entry.service)
      .Add("upstream", upstream.entry.id)
      .Add("tolerated", statement.tolerated.value_or(kNotBrittle));
  const std::string incarnation = ProcessStartId(upstream.entry);
  std::erase_if(stated_, [](const auto& entry) {
    const auto known = entry.second.lock();
    return !known || !known->listed;
  });
  stated_[incarnation] = FindIncarnation(upstreams_, incarnation);
  return true;
}

void BrittleUpstreams::OnFrame(const Frame& frame) {
  for (const peer::BrittleNotice& notice : frame.brittle_notices) {
    const UpstreamPtr upstream = FindIncarnation(upstreams_, notice.upstream);
    if (upstream) Apply(*upstream, notice.statement);
  }
}

void BrittleUpstreams::AddKnown(Frame& frame) const {
  for (const auto& [incarnation, weak] : stated_) {
    const auto upstream = weak.lock();
    if (!upstream || !upstream->brittle.is_brittle()) continue;
    frame.brittle_notices.push_back(
        {incarnation, *upstream->brittle.statement()});
  }
}

bool BrittleUpstreams::Any(const std::string& service) const {
  return std::ranges::any_of(stated_, [&](const auto& entry) {
    const auto upstream = entry.second.lock();
    return upstream && upstream->listed && !IsLeaving(*upstream) &&
           upstream->brittle.is_brittle() && upstream->entry.service == service;
  });
}

}  // namespace turmeric::entry
