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
 * A shard: a part of a service's upstreams with its own owner, the instance
 * that assigns work to them. One owner can fill the calls of a dozen upstreams;
 * with many more, its processor would be the bottleneck of the fleet. Each
 * shard of a stage service is in one availability zone, so that results need
 * not cross zones.
 */
struct Shard {
  std::string service;
  std::string zone;  ///< Zone of the shard's upstreams; empty: all zones.
  size_t index = 0;  ///< Index among the `count` shards of that zone.
  size_t count = 1;
};

/** @param shard a shard. @return its name; the name of the service if the shard
 * is the whole service. */
std::string ShardName(const Shard& shard);

/** @param name from ShardName. @return the shard; for a malformed name, the
 * whole service. */
Shard ParseShard(std::string_view name);

/** @param service a stage service. @param upstreams all of its upstreams.
 * @return its shards, at least one unless all upstreams are evacuated; equal on
 * all instances that have the same upstreams. */
std::vector<Shard> ShardsOf(const std::string& service,
                            std::span<const routing::UpstreamPtr> upstreams);

/** The criteria by which a shard is chosen. */
struct ShardPreference {
  std::string_view request_id;  ///< Pieces of one request use one shard.
  std::string_view zone;        ///< Preferred zone; empty: no preference.
};

/**
 * Chooses the shard for a stage: in the preferred zone, or else in a zone drawn
 * by the request's id. If much more waits there than in another zone, part of
 * the requests go to that other zone.
 * @param service a stage service. @param preference see ShardPreference.
 * @param upstreams all of its upstreams.
 * @param backlogs calls waiting per upstream, by name of shard; missing shards
 *     count as 0.
 * @return the shard's name.
 */
std::string ChooseShard(const std::string& service,
                        const ShardPreference& preference,
                        std::span<const routing::UpstreamPtr> upstreams,
                        const std::map<std::string, double>& backlogs);

/**
 * @param upstream of a stage service. @param upstreams all of the service.
 * @return the name of the shard with this upstream; the service's name if no
 *     shard has it.
 */
std::string ShardOfUpstream(const routing::Upstream& upstream,
                            std::span<const routing::UpstreamPtr> upstreams);

/**
 * @param service an engine service. @param key selects the cell: requests with
 *     the same key use the same cell. @param upstreams number of upstreams of
 *     the service.
 * @return the name of the cell, a shard of an engine service: large enough to
 *     balance load among its engines, small enough for one instance to place
 *     all of its requests.
 */
std::string CellName(const std::string& service, std::string_view key,
                     size_t upstreams);

/**
 * @param shard a shard. @param upstreams all of its service.
 * @return the upstreams of the shard; equal on all instances that have the same
 *     upstreams. The sizes of a zone's shards differ by at most one. If one
 *     upstream is added or removed, at most one moves from each shard to a
 *     neighbour.
 */
std::vector<routing::UpstreamPtr> UpstreamsOfShard(
    const Shard& shard, std::span<const routing::UpstreamPtr> upstreams);

}  // namespace turmeric::stages
