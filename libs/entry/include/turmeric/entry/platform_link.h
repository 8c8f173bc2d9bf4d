#pragma once

#include <QJsonObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "turmeric/entry/wire_format.h"
#include "turmeric/routing/route_table.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/store/object_source.h"

namespace turmeric::entry {

/**
 * The parts of the platform that the entry service needs; provided by the
 * platform's adapter.
 */
struct PlatformLink {
  WireFormat wire;
  std::unique_ptr<store::ObjectSource> source;
  std::string config_kind;     ///< Kind of the operator's configuration.
  std::string config_name;     ///< Name of the only object that holds it.
  std::string upstreams_kind;  ///< Kind of the entries of upstreams.
  /**
   * Kind of the operator's entries for evacuation: each names a zone whose
   * upstreams receive nothing new while the entry exists.
   */
  std::string evacuations_kind;
  std::string instances_kind;  ///< Written by instances: list of the fleet.
  /** Written by instances: requests that crash the upstreams that run them. */
  std::string quarantine_kind;
  std::function<std::optional<routing::RouteTable>(const QJsonObject&)>
      decode_table;
  std::function<std::optional<routing::UpstreamEntry>(const std::string& id,
                                                      const QJsonObject&)>
      decode_upstream;
};

}  // namespace turmeric::entry
