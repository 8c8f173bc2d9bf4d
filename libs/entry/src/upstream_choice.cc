#include "turmeric/entry/upstream_choice.h"

#include <algorithm>
#include <iterator>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/upstream_connections.h"
#include "turmeric/entry/upstream_criteria.h"
#include "turmeric/entry/upstream_limiter.h"
#include "turmeric/routing/choice.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

using routing::Clock;
using routing::UpstreamPtr;
using std::chrono::milliseconds;

namespace {

/** Bounds the size of a placement order. */
constexpr size_t kMaxRestingIds = 64;

}  // namespace

bool HasUpstreams(const EntryContext& context, const UpstreamGroup& group,
                  const routing::Route& route,
                  std::span<const int> stage_pieces) {
  const auto now = Clock::now();
  const auto has = [&](const UpstreamGroup& wanted) {
    return AnyListed(context.upstreams.ForService(wanted.service),
                     wanted.version, now);
  };
  if (!has(group)) return false;
  for (size_t i = 0; i < route.stages.size(); ++i) {
    const bool needed = i < stage_pieces.size() && stage_pieces[i] > 0;
    if (needed && !has({route.stages[i].service, {}})) return false;
  }
  return true;
}

bool UsesEngineRoom(const EntryContext& context, const std::string& service) {
  const routing::ServiceSpec* spec = context.FindService(service);
  return spec != nullptr && spec->engine_tokens > 0 &&
         context.Uses(config::Mechanism::kEngineRoom);
}

std::string AffinityZone(const EntryContext& context,
                         const std::string& service,
                         const UpstreamCriteria& criteria) {
  const peer::PlacementOrder order = ToPlacementOrder(criteria);
  routing::ChoiceRequest choice = ToChoiceRequest(order);
  choice.small_groups = UsesEngineRoom(context, service);
  const UpstreamPtr preferred =
      HomeUpstream(context.upstreams.ForService(service), choice, Clock::now());
  return preferred ? preferred->entry.zone : context.settings.zone;
}

UpstreamPtr ChooseLocally(EntryContext& context, const LocalChoice& choice,
                          routing::ChoiceRequest request) {
  const auto now = Clock::now();
  const auto upstreams = context.upstreams.ForService(choice.service);
  const routing::ServiceSpec* spec = context.FindService(choice.service);
  const routing::UpstreamFilter cold =
      choice.has_owner ? context.cold_limiter.AdmitsAsNonOwner(spec, now)
                       : context.cold_limiter.AdmitsForUnowned(spec, now);
  request.small_groups = UsesEngineRoom(context, choice.service);
  // Only the owner knows whether a brittle upstream has room.
  request.admits = [&cold](const routing::Upstream& u) {
    return !u.brittle.is_brittle() && (!cold || cold(u));
  };
  if (context.Uses(config::Mechanism::kExpectedTime)) {
    request.draw = static_cast<uint64_t>(utils::RandomFraction() * 0x1p53);
  }
  const UpstreamPtr chosen =
      choice.suspect
          ? ChooseByFingerprint(upstreams, choice.fingerprint, request, now)
          : ChooseUpstream(upstreams, request, now);
  if (chosen) context.cold_limiter.RecordSend(spec, *chosen, now);
  return chosen;
}

std::optional<milliseconds> RestLeft(const EntryContext& context,
                                     const UpstreamGroup& group) {
  const auto now = Clock::now();
  const auto from = SendableFrom(context.upstreams.ForService(group.service),
                                 group.version, now);
  if (!from || *from <= now) return std::nullopt;
  return std::chrono::ceil<milliseconds>(*from - now);
}

std::optional<milliseconds> RestBeforeRetry(
    const EntryContext& context, const UpstreamGroup& group,
    std::span<const std::string> tried) {
  const auto now = Clock::now();
  std::optional<Clock::time_point> first;
  bool any_rests = false;
  for (const UpstreamPtr& u : context.upstreams.ForService(group.service)) {
    const auto from = SendableFrom(*u, now);
    if (!from || !HasVersion(*u, group.version)) continue;
    const auto rested = std::max(*from, u->availability->peer_rests_until());
    const bool free = rested <= now;
    if (free && std::ranges::count(tried, u->entry.id) == 0) {
      return std::nullopt;
    }
    any_rests = any_rests || !free;
    first = std::min(first.value_or(rested), rested);
  }
  if (!any_rests) return std::nullopt;
  return std::chrono::ceil<milliseconds>(*first - now);
}

std::vector<std::string> RestingIds(const EntryContext& context,
                                    const std::string& service) {
  const auto now = Clock::now();
  std::vector<std::string> ids;
  for (const UpstreamPtr& u : context.upstreams.ForService(service)) {
    if (ids.size() >= kMaxRestingIds) break;
    if (IsResting(*u, now)) ids.push_back(u->entry.id);
  }
  return ids;
}

std::string DescribeRests(const EntryContext& context,
                          const std::string& service) {
  const auto now = Clock::now();
  std::string text;
  for (const UpstreamPtr& u : context.upstreams.ForService(service)) {
    const limits::StatedAvailability& stated = *u->availability;
    const auto until =
        std::max(stated.rests_until(), stated.peer_rests_until());
    if (until <= now) continue;
    const auto left = std::chrono::ceil<milliseconds>(until - now);
    if (!text.empty()) text.push_back(',');
    text += u->entry.id + ":" + std::to_string(left.count());
  }
  return text;
}

std::vector<UpstreamPtr> UpstreamsWithoutConnection(
    const EntryContext& context, const UpstreamGroup& group,
    std::span<const std::string> tried) {
  const auto now = Clock::now();
  std::vector<UpstreamPtr> found;
  std::ranges::copy_if(context.upstreams.ForService(group.service),
                       std::back_inserter(found), [&](const UpstreamPtr& u) {
                         return MaySend(*u, now) &&
                                HasVersion(*u, group.version) &&
                                !context.connections->HasFree(*u) &&
                                std::ranges::count(tried, u->entry.id) == 0;
                       });
  return found;
}

bool MayHaveCapacitySoon(const EntryContext& context,
                         const UpstreamGroup& group,
                         std::span<const std::string> tried) {
  if (!context.cold_limiter.Limits(context.FindService(group.service))) {
    return false;
  }
  const auto now = Clock::now();
  return std::ranges::any_of(
      context.upstreams.ForService(group.service), [&](const UpstreamPtr& u) {
        return MaySend(*u, now) && HasVersion(*u, group.version) &&
               !context.limiter->IsLimited(*u) &&
               std::ranges::count(tried, u->entry.id) == 0;
      });
}

}  // namespace turmeric::entry
