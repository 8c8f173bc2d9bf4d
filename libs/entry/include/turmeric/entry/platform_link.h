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
  std::string config_name;     ///< Name of the configuration object.
  std::string upstreams_kind;  ///< Kind of the entries of upstreams.
  /**
   * Kind of the operator's entries for evacuation: each names a zone whose
   * upstreams receive no new requests while the entry exists.
   */
  std::string evacuations_kind;
  /** Kind of the entries that instances write to form the fleet's list. */
  std::string instances_kind;
  /**
   * Kind of the entries that instances write for requests that crash the
   * upstreams that run them.
   */
  std::string quarantine_kind;
  /** Kind of the entries that instances write for software versions of
   * upstreams, see VersionRegistry. */
  std::string versions_kind;
  /** Kind of the entries that instances write for streams, see OriginArchive.
   */
  std::string origins_kind;
  std::function<std::optional<routing::RouteTable>(const QJsonObject&)>
      decode_table;
  std::function<std::optional<routing::UpstreamEntry>(const std::string& id,
                                                      const QJsonObject&)>
      decode_upstream;
};

}  // namespace turmeric::entry
