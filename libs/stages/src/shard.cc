#include "turmeric/stages/shard.h"

#include <algorithm>
#include <charconv>

#include "turmeric/routing/choice.h"

namespace turmeric::stages {

namespace {

/** Upstreams that one owner serves. A choice: services of four and five have
 * run well as one shard; what an owner can carry was not measured. */
constexpr size_t kUpstreamsPerShard = 6;
/** Engines whose requests one instance places. A choice: a few hundred requests
 * a second, some per cent of the smallest processor share in use. */
constexpr size_t kEnginesPerCell = 64;
constexpr char kSeparator = '|';

size_t ParseCount(std::string_view text) {
  size_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

namespace {

std::string NameOfPart(const std::string& service, std::string_view key,
                       size_t upstreams, size_t upstreams_a_part) {
  const size_t count = std::max<size_t>(
      1, (upstreams + upstreams_a_part - 1) / upstreams_a_part);
  if (count == 1) return service;
  const size_t index = routing::RendezvousWeight(service, key) % count;
  return service + kSeparator + std::to_string(index) + kSeparator +
         std::to_string(count);
}

}  // namespace

std::string ShardName(const std::string& service, std::string_view request_id,
                      size_t upstreams) {
  return NameOfPart(service, request_id, upstreams, kUpstreamsPerShard);
}

std::string CellName(const std::string& service, std::string_view key,
                     size_t upstreams) {
  return NameOfPart(service, key, upstreams, kEnginesPerCell);
}

Shard ParseShard(std::string_view name) {
  const size_t first = name.find(kSeparator);
  if (first == std::string_view::npos) return {std::string(name), 0, 1};
  const size_t second = name.find(kSeparator, first + 1);
  Shard shard;
  shard.service = name.substr(0, first);
  shard.index = ParseCount(name.substr(first + 1, second - first - 1));
  shard.count = second == std::string_view::npos
                    ? 1
                    : ParseCount(name.substr(second + 1));
  if (shard.count == 0 || shard.index >= shard.count) {
    return {shard.service, 0, 1};
  }
  return shard;
}

std::vector<routing::UpstreamPtr> UpstreamsOfShard(
    const Shard& shard, std::span<const routing::UpstreamPtr> upstreams) {
  std::vector<routing::UpstreamPtr> sorted(upstreams.begin(), upstreams.end());
  if (shard.count == 1) return sorted;
  std::ranges::sort(sorted, {},
                    [](const routing::UpstreamPtr& u) -> const std::string& {
                      return u->entry.id;
                    });
  std::vector<routing::UpstreamPtr> own;
  for (size_t i = shard.index; i < sorted.size(); i += shard.count) {
    own.push_back(sorted[i]);
  }
  return own;
}

}  // namespace turmeric::stages
