#include "turmeric/stages/shard.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <numeric>
#include <utility>

#include "turmeric/routing/choice.h"

namespace turmeric::stages {

using routing::UpstreamPtr;

namespace {

/** Upstreams up to which a service stays whole: cut by zone, its calls would be
 * filled from a queue for one or two upstreams. */
constexpr size_t kWholeService = 8;
/** Upstreams that one owner serves: a few per cent of a core. */
constexpr size_t kUpstreamsPerShard = 12;
/** Engines whose requests one instance places, within a factor of the square
 * root of two: a few hundred requests a second, some per cent of the smallest
 * processor share in use. */
constexpr double kEnginesPerCell = 64;
/** Calls more that may wait for each upstream of the wished zone than
 * elsewhere: about the time that a result's way to another zone is worth. */
constexpr double kStayWithin = 1.0;
/** Difference of calls beyond that, by which half of the requests go where less
 * waits. News of queues are up to half a second old, and all instances act on
 * them: sent by all at once, they would swing from zone to zone. */
constexpr double kHalfMoveAt = 1.0;
constexpr char kSeparator = '|';

/** Where an upstream is among those of its service. */
struct Place {
  uint64_t hash;  ///< Of its id.
  std::string_view id;
  size_t index;  ///< As it was listed.
};

size_t ParseCount(std::string_view text) {
  size_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

size_t PartsOf(size_t upstreams, size_t upstreams_a_part) {
  return std::max<size_t>(
      1, (upstreams + upstreams_a_part - 1) / upstreams_a_part);
}

/** Doubles with the engines: a cell that changes its name changes its owner
 * too, and the new one knows nothing of what its engines hold.
 * @return cells of a service with so many engines. */
size_t CellsOf(size_t engines) {
  const double wanted = static_cast<double>(engines) / kEnginesPerCell;
  if (wanted <= 1) return 1;
  return size_t{1} << std::lround(std::log2(wanted));
}

/** @return a number in [0, 1) that depends on the texts only. */
double Fraction(std::string_view key, std::string_view salt) {
  constexpr uint64_t kSteps = 1 << 20;
  return static_cast<double>(routing::RendezvousWeight(salt, key) % kSteps) /
         static_cast<double>(kSteps);
}

std::map<std::string, size_t> CountByZone(
    std::span<const UpstreamPtr> upstreams) {
  std::map<std::string, size_t> count;
  for (const UpstreamPtr& u : upstreams) {
    if (!u->evacuated) ++count[u->entry.zone];
  }
  return count;
}

/** @return the part of the zone that the request's pieces go to. */
Shard PartOfZone(const std::string& service, const std::string& zone,
                 size_t upstreams, std::string_view request_id) {
  const size_t count = PartsOf(upstreams, kUpstreamsPerShard);
  const size_t index =
      count == 1 ? 0 : routing::RendezvousWeight(service, request_id) % count;
  return {service, zone, index, count};
}

/** @return one of the zones, drawn by the request's id and their sizes. */
const std::string& DrawZone(const std::map<std::string, size_t>& zones,
                            std::string_view request_id) {
  double left = 0;
  for (const auto& [zone, count] : zones) left += static_cast<double>(count);
  left *= Fraction(request_id, "zone");
  for (const auto& [zone, count] : zones) {
    left -= static_cast<double>(count);
    if (left < 0) return zone;
  }
  return zones.rbegin()->first;
}

}  // namespace

std::string ShardName(const Shard& shard) {
  if (shard.zone.empty() && shard.count == 1) return shard.service;
  return shard.service + kSeparator + shard.zone + kSeparator +
         std::to_string(shard.index) + kSeparator + std::to_string(shard.count);
}

Shard ParseShard(std::string_view name) {
  constexpr size_t kFields = 4;
  std::array<std::string_view, kFields> fields;
  size_t found = 0;
  while (found < kFields) {
    const size_t end = name.find(kSeparator);
    fields[found++] = name.substr(0, end);
    if (end == std::string_view::npos) break;
    name.remove_prefix(end + 1);
  }
  Shard shard;
  shard.service = fields[0];
  if (found < kFields) return shard;
  shard.zone = fields[1];
  shard.index = ParseCount(fields[2]);
  shard.count = ParseCount(fields[3]);
  if (shard.count == 0 || shard.index >= shard.count) {
    return {shard.service, {}, 0, 1};
  }
  return shard;
}

std::vector<Shard> ShardsOf(const std::string& service,
                            std::span<const UpstreamPtr> upstreams) {
  if (upstreams.size() <= kWholeService) return {{service, {}, 0, 1}};
  std::vector<Shard> shards;
  for (const auto& [zone, size] : CountByZone(upstreams)) {
    const size_t count = PartsOf(size, kUpstreamsPerShard);
    for (size_t i = 0; i < count; ++i) {
      shards.push_back({service, zone, i, count});
    }
  }
  return shards;
}

std::string ChooseShard(const std::string& service, const ShardWish& wish,
                        std::span<const UpstreamPtr> upstreams,
                        const std::map<std::string, double>& backlogs) {
  if (upstreams.size() <= kWholeService) return service;
  const auto zones = CountByZone(upstreams);
  if (zones.empty()) return service;
  const std::string wished(wish.zone);
  const std::string& home =
      zones.contains(wished) ? wished : DrawZone(zones, wish.request_id);
  const auto waiting = [&](const std::string& name) {
    const auto it = backlogs.find(name);
    return it == backlogs.end() ? 0.0 : it->second;
  };
  std::string chosen =
      ShardName(PartOfZone(service, home, zones.at(home), wish.request_id));
  std::string least = chosen;
  for (const auto& [zone, size] : zones) {
    const std::string name =
        ShardName(PartOfZone(service, zone, size, wish.request_id));
    if (waiting(name) < waiting(least)) least = name;
  }
  const double more = waiting(chosen) - waiting(least) - kStayWithin;
  const double part_that_moves = std::clamp(more / (2 * kHalfMoveAt), 0.0, 0.8);
  return Fraction(wish.request_id, "move") < part_that_moves ? least : chosen;
}

std::string ShardOfUpstream(const routing::Upstream& upstream,
                            std::span<const UpstreamPtr> upstreams) {
  for (const Shard& shard : ShardsOf(upstream.entry.service, upstreams)) {
    const auto own = UpstreamsOfShard(shard, upstreams);
    const bool there = std::ranges::any_of(
        own, [&](const UpstreamPtr& u) { return u.get() == &upstream; });
    if (there) return ShardName(shard);
  }
  return upstream.entry.service;
}

std::string CellName(const std::string& service, std::string_view key,
                     size_t upstreams) {
  const size_t count = CellsOf(upstreams);
  if (count == 1) return service;
  return ShardName(
      {service, {}, routing::RendezvousWeight(service, key) % count, count});
}

std::vector<UpstreamPtr> UpstreamsOfShard(
    const Shard& shard, std::span<const UpstreamPtr> upstreams) {
  std::vector<UpstreamPtr> all;
  std::ranges::copy_if(
      upstreams, std::back_inserter(all), [&](const UpstreamPtr& u) {
        return shard.zone.empty() || u->entry.zone == shard.zone;
      });
  if (shard.count == 1) return all;
  // Neighbours by a hash of the id: one that comes or goes moves the bounds
  // between the parts by one upstream at most.
  std::vector<Place> places;
  places.reserve(all.size());
  for (size_t i = 0; i < all.size(); ++i) {
    const routing::UpstreamEntry& entry = all[i]->entry;
    places.push_back(
        {routing::RendezvousWeight(entry.service, entry.id), entry.id, i});
  }
  std::ranges::sort(places, {},
                    [](const Place& p) { return std::pair(p.hash, p.id); });
  const size_t begin = places.size() * shard.index / shard.count;
  const size_t end = places.size() * (shard.index + 1) / shard.count;
  std::vector<UpstreamPtr> own;
  for (const Place& place : std::span(places).subspan(begin, end - begin)) {
    own.push_back(all[place.index]);
  }
  return own;
}

}  // namespace turmeric::stages
