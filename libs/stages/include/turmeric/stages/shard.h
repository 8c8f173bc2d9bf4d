#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/routing/upstream.h"

namespace turmeric::stages {

/**
 * A part of a stage service: some of its upstreams, with a queue and an owner
 * of their own. One owner can fill the calls of a handful of upstreams; with
 * many, its processor would be what the fleet waits for.
 */
struct Shard {
  std::string service;
  size_t index = 0;
  size_t count = 1;
};

/**
 * @param service a stage service. @param request_id names the request, whose
 * pieces of one stage all go to one shard.
 * @param upstreams how many the service has.
 * @return the shard's name; the service's own name if there is one shard.
 */
std::string ShardName(const std::string& service, std::string_view request_id,
                      size_t upstreams);

/**
 * @param service an engine service. @param key requests with one key go to one
 * cell. @param upstreams how many the service has.
 * @return the name of the cell: a shard so large that its engines' load evens
 *     out, small enough for one instance to place its requests.
 */
std::string CellName(const std::string& service, std::string_view key,
                     size_t upstreams);

/** @param name from ShardName or CellName. @return what it names. */
Shard ParseShard(std::string_view name);

/**
 * @param shard a shard. @param upstreams all of its service.
 * @return those that serve it: dealt in turn by id, so that every instance
 *     finds the same ones and shards differ by one at most.
 */
std::vector<routing::UpstreamPtr> UpstreamsOfShard(
    const Shard& shard, std::span<const routing::UpstreamPtr> upstreams);

}  // namespace turmeric::stages
