#include "turmeric/entry/upstream_choice.h"

#include <algorithm>

#include "turmeric/entry/entry_context.h"
#include "turmeric/entry/wanted_upstream.h"
#include "turmeric/routing/choice.h"

namespace turmeric::entry {

using routing::Clock;
using routing::UpstreamPtr;

bool HasUpstreams(const EntryContext& context, const std::string& service,
                  const routing::Route& route,
                  std::span<const int> stage_pieces) {
  const auto now = Clock::now();
  const auto has = [&](const std::string& name) {
    return AnyListed(context.upstreams.ForService(name), now);
  };
  if (!has(service)) return false;
  for (size_t i = 0; i < route.stages.size(); ++i) {
    const bool needed = i < stage_pieces.size() && stage_pieces[i] > 0;
    if (needed && !has(route.stages[i].service)) return false;
  }
  return true;
}

std::string HomeZone(const EntryContext& context, const std::string& service,
                     const WantedUpstream& wanted) {
  const peer::PlacementOrder order = ToPlacement(wanted);
  const UpstreamPtr home = HomeUpstream(context.upstreams.ForService(service),
                                        ToChoice(order), Clock::now());
  return home ? home->entry.zone : context.settings.zone;
}

UpstreamPtr ChooseAlone(EntryContext& context, const AloneChoice& choice,
                        const WantedUpstream& wanted) {
  const auto now = Clock::now();
  const auto upstreams = context.upstreams.ForService(choice.service);
  const routing::ServiceSpec* spec = context.FindService(choice.service);
  const routing::UpstreamFilter admits =
      choice.has_owner ? context.cold.Alone(spec, now)
                       : context.cold.WithoutOwner(spec, now);
  UpstreamPtr chosen;
  if (choice.suspect) {
    chosen =
        ChooseByFingerprint(upstreams, choice.work, wanted.tried, now, admits);
  } else {
    routing::ChoiceRequest request = ToChoice(wanted);
    request.admits = admits;
    chosen = ChooseUpstream(upstreams, request, now);
  }
  if (chosen) context.cold.NoteSend(spec, *chosen, now);
  return chosen;
}

bool MayHaveRoomSoon(const EntryContext& context, const std::string& service,
                     std::span<const std::string> tried) {
  if (!context.cold.Bounds(context.FindService(service))) return false;
  const auto now = Clock::now();
  return std::ranges::any_of(
      context.upstreams.ForService(service), [&](const UpstreamPtr& u) {
        return IsListed(*u, now) && std::ranges::count(tried, u->entry.id) == 0;
      });
}

}  // namespace turmeric::entry
