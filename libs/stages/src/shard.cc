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

/** A service with at most this many upstreams is a single shard. If it were
 * divided by zone, each queue would fill the calls of only one or two
 * upstreams. */
constexpr size_t kMaxUnshardedUpstreams = 8;
/** Maximum number of upstreams per shard. Assigning work to that many upstreams
 * takes a few per cent of one processor core of the shard's owner. */
constexpr size_t kUpstreamsPerShard = 12;
/** Engines per cell, within a factor of the square root of two. The owner then
 * places a few hundred requests per second, which takes some per cent of the
 * smallest processor share in use. */
constexpr double kEnginesPerCell = 64;
/** Number of calls waiting per upstream by which the preferred zone's backlog
 * may exceed another zone's before any request moves there. Waiting for that
 * many calls costs about as much as transferring a result to another zone. */
constexpr double kMaxExtraCalls = 1.0;
/** Excess beyond kMaxExtraCalls at which half of the requests go to the zone
 * with the smaller backlog. Backlog reports are up to half a second old, and
 * all instances act on them: if all requests moved at once, load would
 * oscillate between zones. */
constexpr double kHalfMoveCalls = 1.0;
constexpr char kSeparator = '|';

/** Sort key of an upstream among those of its service. */
struct ShardPosition {
  uint64_t hash;  ///< Hash of the upstream's id.
  std::string_view id;
  size_t index;  ///< Index in the list of upstreams.
};

size_t ParseCount(std::string_view text) {
  size_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

size_t ShardCount(size_t upstreams, size_t upstreams_per_shard) {
  return std::max<size_t>(
      1, (upstreams + upstreams_per_shard - 1) / upstreams_per_shard);
}

/** Returns a power of two, so that the number of cells changes rarely: it is
 * part of a cell's name, a cell whose name changes gets a new owner, and that
 * owner's prompt memory is empty.
 * @param engines of a service. @return its number of cells. */
size_t CellCount(size_t engines) {
  const double wanted = static_cast<double>(engines) / kEnginesPerCell;
  if (wanted <= 1) return 1;
  return size_t{1} << std::lround(std::log2(wanted));
}

/** @return a number in [0, 1) determined by the key and the salt. */
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

/** @return the shard of the zone that the request's pieces go to. */
Shard ShardInZone(const std::string& service, const std::string& zone,
                  size_t upstreams, std::string_view request_id) {
  const size_t count = ShardCount(upstreams, kUpstreamsPerShard);
  const size_t index =
      count == 1 ? 0 : routing::RendezvousWeight(service, request_id) % count;
  return {service, zone, index, count};
}

/** @return a zone drawn by the request's id, weighted by its upstreams. */
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
  if (upstreams.size() <= kMaxUnshardedUpstreams) return {{service, {}, 0, 1}};
  std::vector<Shard> shards;
  for (const auto& [zone, size] : CountByZone(upstreams)) {
    const size_t count = ShardCount(size, kUpstreamsPerShard);
    for (size_t i = 0; i < count; ++i) {
      shards.push_back({service, zone, i, count});
    }
  }
  return shards;
}

std::string ChooseShard(const std::string& service,
                        const ShardPreference& preference,
                        std::span<const UpstreamPtr> upstreams,
                        const std::map<std::string, double>& backlogs) {
  if (upstreams.size() <= kMaxUnshardedUpstreams) return service;
  const auto zones = CountByZone(upstreams);
  if (zones.empty()) return service;
  const std::string preferred(preference.zone);
  const std::string& home = zones.contains(preferred)
                                ? preferred
                                : DrawZone(zones, preference.request_id);
  const auto waiting = [&](const std::string& name) {
    const auto it = backlogs.find(name);
    return it == backlogs.end() ? 0.0 : it->second;
  };
  std::string chosen = ShardName(
      ShardInZone(service, home, zones.at(home), preference.request_id));
  std::string least = chosen;
  for (const auto& [zone, size] : zones) {
    const std::string name =
        ShardName(ShardInZone(service, zone, size, preference.request_id));
    if (waiting(name) < waiting(least)) least = name;
  }
  const double more = waiting(chosen) - waiting(least) - kMaxExtraCalls;
  const double moving_fraction =
      std::clamp(more / (2 * kHalfMoveCalls), 0.0, 0.8);
  return Fraction(preference.request_id, "move") < moving_fraction ? least
                                                                   : chosen;
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
  const size_t count = CellCount(upstreams);
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
  // Each shard is a range in the order of the ids' hashes: adding or removing
  // an upstream moves the bounds between shards by at most one upstream.
  std::vector<ShardPosition> positions;
  positions.reserve(all.size());
  for (size_t i = 0; i < all.size(); ++i) {
    const routing::UpstreamEntry& entry = all[i]->entry;
    positions.push_back(
        {routing::RendezvousWeight(entry.service, entry.id), entry.id, i});
  }
  std::ranges::sort(positions, {}, [](const ShardPosition& p) {
    return std::pair(p.hash, p.id);
  });
  const size_t begin = positions.size() * shard.index / shard.count;
  const size_t end = positions.size() * (shard.index + 1) / shard.count;
  std::vector<UpstreamPtr> own;
  for (const ShardPosition& position :
       std::span(positions).subspan(begin, end - begin)) {
    own.push_back(all[position.index]);
  }
  return own;
}

}  // namespace turmeric::stages
