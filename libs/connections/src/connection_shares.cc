#include "turmeric/connections/connection_shares.h"

#include <algorithm>

namespace turmeric::connections {

namespace {

/** The own shares of all instances take this part of an upstream's connections;
 * the rest is lent. */
constexpr int kOwnDivisor = 2;
/** One in kReserveDivisor connections is not lent, as an upstream counts a
 * connection for a moment after an instance has closed it. */
constexpr int kReserveDivisor = 16;

}  // namespace

int OwnShare(int max_connections, int instances) {
  if (max_connections <= 0) return 0;
  // A larger share could be too large while the fleet size is not known.
  if (instances <= 0) return 1;
  // A single instance shares with none.
  if (instances == 1) return max_connections;
  return std::max(1, max_connections / (kOwnDivisor * instances));
}

int EvenShare(int max_connections, const Fleet& fleet) {
  if (max_connections <= 0) return 0;
  if (fleet.instances <= 0) return 1;
  return std::max(1, max_connections / fleet.instances);
}

int LenderPart(int max_connections, const Fleet& fleet, int rank) {
  if (fleet.instances <= 1 || rank < 0 || rank >= fleet.lenders) return 0;
  const int own = OwnShare(max_connections, fleet.instances);
  const int usable = max_connections - max_connections / kReserveDivisor;
  const int taken = own * (fleet.instances - fleet.older) +
                    EvenShare(max_connections, fleet) * fleet.older;
  const int pool = std::max(0, usable - taken);
  const bool has_rest = rank < pool % fleet.lenders;
  return pool / fleet.lenders + (has_rest ? 1 : 0);
}

}  // namespace turmeric::connections
