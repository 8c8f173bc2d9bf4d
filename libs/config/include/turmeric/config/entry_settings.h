#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "turmeric/config/mechanisms.h"
#include "turmeric/utils/result.h"

namespace turmeric::config {

/**
 * Settings of an entry instance on the platform, read from the [entry] section
 * of its INI file. Durations are in milliseconds in the file.
 */
struct EntrySettings {
  std::string name;
  std::string zone;               ///< Availability zone.
  std::string front_address;      ///< "ip:port" for callers.
  std::string readiness_address;  ///< "ip:port" for the load balancer's probes.
  std::string metrics_address;    ///< "ip:port"; empty: not served.
  std::string peer_address;       ///< "ip:port" for peer instances; empty:
                                  ///< the instance has no peers.
  std::string tunnel_address;     ///< "ip:port" at which peer instances open
                                  ///< tunnels to upstreams; empty: none.
  std::string store_address;      ///< "ip:port" of the platform's object API.
  std::string log_level = "info";
  /** Time from the start of a planned stop until the process is killed. */
  std::chrono::milliseconds stop_grace{8000};
  /** Time after a store outage for which upstreams are kept although their
   * entries expired during the outage. */
  std::chrono::milliseconds lapsed_grace{2000};
  /** Longest time from the start of an upstream's planned stop until the
   * upstream receives no new requests. The value is validated when the file is
   * loaded, but not used by the instance. */
  std::chrono::milliseconds drain_bound{2000};
  /** Longest time from the evacuation of an availability zone until its
   * upstreams receive no new requests. */
  std::chrono::milliseconds evacuation_bound{5000};
  /** Longest time until a configuration accepted by the store is in force. */
  std::chrono::milliseconds config_bound{2000};
  /** Factor on the arrivals per second that an upstream can serve while it is
   * cold, as stated for its service. */
  double cold_over = 1.5;
  /** Arrivals per second added to the scaled cold rate, fleet-wide. */
  double cold_slack = 5;
  /** CPU cores that this instance may use; 0: not stated. Instances with a
   * larger share are preferred as relays of the store's changes. */
  double cpu_share = 0;
  /** File descriptors that this instance may open; 0: the limit of the process
   * that the system states. */
  double max_descriptors = 0;
  double retry_ratio = 0.2;  ///< Retries per request, fleet-wide.
  double retry_slack = 50;   ///< Retries allowed in addition, fleet-wide.
  /** Window of the retry budget. */
  std::chrono::milliseconds retry_window{10000};
  /** True if the whole fleet, including this instance, starts for the first
   * time. */
  bool first_start = false;
  /** Memory that this instance may use, MB; 0: not stated, and the bytes that
   * it holds in buffers have no bound. */
  double memory_mb = 0;
  /** Part of the memory that buffers may hold. */
  double buffer_share = 0.2;
  /** Part of the memory that large requests may hold, beside the buffers. */
  double request_share = 0.35;
  /** Part of the memory that incomplete requests may hold which are not large.
   */
  double partial_share = 0.1;
  /** Part of the memory that connections of callers may hold without their
   * requests. */
  double connection_share = 0.1;
  /** Mechanisms in use; some may be switched off to measure their effect. */
  Mechanisms mechanisms;
};

/**
 * Loads and validates an INI file with an [entry] section.
 * @param path file path.
 * @return settings, or kIniMissing (no file), kIniInvalid (unknown key or
 *     invalid value; the detail names the key and the value).
 */
utils::Result<EntrySettings> LoadEntrySettings(std::string_view path);

/**
 * @param path an INI file.
 * @return true if it has an [entry] section.
 */
bool HasEntrySettings(std::string_view path);

}  // namespace turmeric::config
