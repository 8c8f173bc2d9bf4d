#pragma once

#include <map>
#include <string>

namespace turmeric::entry {

/** Entry of one instance in the fleet's list. */
struct InstanceInfo {
  std::string address;  ///< "ip:port" that other instances connect to.
  /** "ip:port" at which it opens tunnels to upstreams; empty: it opens none. */
  std::string tunnel_address;
  std::string zone;      ///< Availability zone; empty: not stated.
  double cpu_share = 0;  ///< CPU cores it may use; 0: not stated.
  /** Its release borrows and lends connections to upstreams. */
  bool lends_connections = false;

  bool operator==(const InstanceInfo&) const = default;
};

/** The instances of the fleet by name. */
using Instances = std::map<std::string, InstanceInfo>;

}  // namespace turmeric::entry
