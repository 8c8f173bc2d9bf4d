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

/** What the entry service needs of the platform; filled by the adapter. */
struct PlatformLink {
  WireFormat wire;
  std::unique_ptr<store::ObjectSource> source;
  std::string config_kind;     ///< Kind of the operator's configuration.
  std::string config_name;     ///< Name of the one object that holds it.
  std::string upstreams_kind;  ///< Kind of the upstreams' entries.
  /** Kind of the operator's entries that each name a zone, whose upstreams get
   * nothing new while the entry is there. */
  std::string evacuations_kind;
  std::string instances_kind;  ///< Our own kind: the instances at work.
  /** Our own kind: requests that end the upstreams which run them. */
  std::string quarantine_kind;
  std::function<std::optional<routing::RouteTable>(const QJsonObject&)>
      decode_table;
  std::function<std::optional<routing::UpstreamEntry>(const std::string& id,
                                                      const QJsonObject&)>
      decode_upstream;
};

}  // namespace turmeric::entry
