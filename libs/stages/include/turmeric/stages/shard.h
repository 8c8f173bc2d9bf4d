#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/routing/upstream.h"

namespace turmeric::stages {

/**
 * A part of a service: some of its upstreams, with an owner of their own. One
 * owner can fill the calls of a dozen upstreams; with many, its processor would
 * be what the fleet waits for. Parts of stage services lie in one availability
 * zone each, so that results need not cross zones.
 */
struct Shard {
  std::string service;
  std::string zone;  ///< Of its upstreams; empty: all zones.
  size_t index = 0;  ///< Among `count` parts that its upstreams are dealt to.
  size_t count = 1;
};

/** @param shard a shard. @return its name; the service's own name if it is all
 * of the service. */
std::string ShardName(const Shard& shard);

/** @param name from ShardName. @return what it names. */
Shard ParseShard(std::string_view name);

/** @param service a stage service. @param upstreams all of its upstreams.
 * @return its shards, the same for every instance that knows the same
 * upstreams; at least one. */
std::vector<Shard> ShardsOf(const std::string& service,
                            std::span<const routing::UpstreamPtr> upstreams);

/** What a shard is chosen by. */
struct ShardWish {
  std::string_view request_id;  ///< A request's pieces stay together.
  std::string_view zone;        ///< Where they are best made; empty: anywhere.
};

/**
 * Chooses the shard for a stage: of the wished zone, or by the request's id,
 * unless much more waits there than in another one.
 * @param service a stage service. @param wish see ShardWish.
 * @param upstreams all of its upstreams.
 * @param backlogs calls waiting for each upstream, by name of shard; those that
 *     are missing count as none.
 * @return the shard's name.
 */
std::string ChooseShard(const std::string& service, const ShardWish& wish,
                        std::span<const routing::UpstreamPtr> upstreams,
                        const std::map<std::string, double>& backlogs);

/**
 * @param upstream of a stage service. @param upstreams all of the service.
 * @return the name of the shard that it is in.
 */
std::string ShardOfUpstream(const routing::Upstream& upstream,
                            std::span<const routing::UpstreamPtr> upstreams);

/**
 * @param service an engine service. @param key requests with one key go to one
 * cell. @param upstreams how many the service has.
 * @return the name of the cell: a shard so large that its engines' load evens
 *     out, small enough for one instance to place its requests.
 */
std::string CellName(const std::string& service, std::string_view key,
                     size_t upstreams);

/**
 * @param shard a shard. @param upstreams all of its service.
 * @return those that serve it: the same for every instance; shards of a zone
 *     differ by one at most, and with one upstream more or less at most one
 *     changes from each shard to the next.
 */
std::vector<routing::UpstreamPtr> UpstreamsOfShard(
    const Shard& shard, std::span<const routing::UpstreamPtr> upstreams);

}  // namespace turmeric::stages
