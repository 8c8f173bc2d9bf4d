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

/** @return the mix, with idempotent and non-idempotent requests of each
 * business. */
std::span<const Flow> TrafficMix();

/** @param index of a logical request. @return its flow. */
const Flow& FlowOf(int index);

/**
 * @param base_url of an instance.
 * @param run index of the run; keeps idempotency keys of runs apart.
 * @param index of the logical request.
 * @return HTTP request for the logical request.
 */
LoadRequest MixRequest(const QString& base_url, int run, int index);

/**
 * @param run index of the run.
 * @param index of the logical request.
 * @return key that upstreams receive with non-idempotent calls of the request.
 */
std::string MixKey(int run, int index);

}  // namespace turmeric::ctl
