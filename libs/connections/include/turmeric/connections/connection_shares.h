#pragma once

namespace turmeric::connections {

/** The fleet that shares the connections of an upstream. */
struct Fleet {
  int instances = 0;  ///< 0: not known yet.
  int lenders = 0;    ///< Instances that lend connections; see
                      ///< ConnectionLender.
  /** Instances that may use EvenShare, as they are of a release that neither
   * borrows nor lends, or as their release is not known. */
  int older = 0;
};

/**
 * @param max_connections that an upstream accepts from all instances together;
 *     0: unlimited.
 * @param instances of the fleet; 0: not known yet.
 * @return connections that each instance may open without a loan, at least 1;
 *     0: unlimited.
 */
int OwnShare(int max_connections, int instances);

/**
 * @param max_connections see OwnShare.
 * @param fleet see Fleet.
 * @return connections that an instance of a release without loans may open, at
 *     least 1; 0: unlimited.
 */
int EvenShare(int max_connections, const Fleet& fleet);

/**
 * @param max_connections see OwnShare.
 * @param fleet see Fleet.
 * @param rank of a lender, from 0.
 * @return connections that this lender may lend. With the own shares of all
 *     instances, the parts of all lenders add up to at most `max_connections`,
 *     unless there are more instances than connections.
 */
int LenderPart(int max_connections, const Fleet& fleet, int rank);

}  // namespace turmeric::connections
