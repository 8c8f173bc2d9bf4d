#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "turmeric/utils/result.h"

namespace turmeric::config {

/** Settings of one entry instance, read from its INI file at start. */
struct InstanceSettings {
  std::string name = "entry-1";  ///< Unique among instances.
  std::string zone = "zone-a";   ///< Availability zone.
  std::string listen_address = "127.0.0.1";
  uint16_t listen_port = 8080;     ///< For callers, operators and /metrics.
  std::string store = "embedded";  ///< "ip:port"; "embedded": in-process.
  std::string log_level = "info";
  std::string trace_path;        ///< File of JSON-lines spans; empty: off.
  int drain_grace_ms = 2000;     ///< Serving, but unhealthy, after SIGTERM.
  int drain_timeout_ms = 10000;  ///< Longest wait for requests in flight.
  uint16_t membership_port = 0;  ///< UDP port for peer instances; 0: off.
  int claim_retention_s = 3600;  ///< How long answers can be replayed, s.
  uint16_t standin_base_port = 9100;  ///< First stand-in upstream port.
  int memory_mb = 160;                ///< Memory that the instance may use, MB.
  int max_body_mb = 16;               ///< Largest body of a request, MB.

  /** @return bytes that large requests may hold: a quarter of the memory. */
  size_t request_bytes() const;
  /** @return bytes that incomplete requests may hold which are not large. */
  size_t partial_bytes() const;
  /** @return bytes that connections may hold without their requests. */
  size_t connection_bytes() const;
  /** @return bytes of the largest body of a request. */
  size_t max_body_bytes() const;
};

/**
 * Loads and validates an INI file with an [instance] section.
 * @param path file path.
 * @return settings, or kIniMissing (no file), kIniInvalid (unknown key or
 *     invalid value; the detail names the key).
 */
utils::Result<InstanceSettings> LoadInstanceSettings(std::string_view path);

}  // namespace turmeric::config
