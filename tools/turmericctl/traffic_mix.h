#pragma once

#include <QString>
#include <span>
#include <string>

#include "load_runner.h"

namespace turmeric::ctl {

/** One pipeline of the traffic mix. */
struct Flow {
  const char* business;
  const char* pipeline;
  const char* organisation;
  bool idempotent;
};

/** @return the mix: each business repeatable and non-idempotent work. */
std::span<const Flow> TrafficMix();

/** @param index a logical request. @return its flow. */
const Flow& FlowOf(int index);

/**
 * @param base_url an instance. @param run which run of the tool's.
 * @param index the logical request. @return its HTTP request.
 */
LoadRequest MixRequest(const QString& base_url, int run, int index);

/**
 * @param run which run. @param index the logical request.
 * @return the key under which upstreams see its non-idempotent calls.
 */
std::string MixKey(int run, int index);

}  // namespace turmeric::ctl
