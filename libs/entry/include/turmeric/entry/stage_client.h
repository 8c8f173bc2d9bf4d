#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "turmeric/stages/piece_queue.h"

namespace turmeric::entry {

/**
 * Runs pieces of stages, by calls of this instance or of another one. A piece
 * is the unit of work of a stage.
 */
class StageClient {
 public:
  virtual ~StageClient() = default;
  /**
   * @param service the stage's service.
   * @param piece the piece.
   * @param events called with its progress, never from inside this call.
   * @return a ticket for Cancel.
   */
  virtual uint64_t Submit(const std::string& service, stages::Piece piece,
                          stages::PieceEvents events) = 0;
  /**
   * Cancels a piece whose result is no longer needed. A call with the piece
   * that is already in progress continues.
   * @param service as submitted.
   * @param ticket from Submit.
   * @return true if no further callback will be called for the piece; false if
   *     on_done will still be called: the caller must then release the result.
   */
  virtual bool Cancel(const std::string& service, uint64_t ticket) = 0;
  /**
   * Takes credit from the retry budget for pieces that may already have run.
   * @param service a stage's service.
   * @param request id of the request that the pieces belong to.
   * @param pieces number of pieces.
   * @return true if the retry budget sufficed and the pieces may be run again.
   */
  virtual bool TakeRetryCredit(const std::string& service,
                               const std::string& request, int pieces) = 0;
  /**
   * @param service the service that made the results.
   * @param handles results that are no longer needed.
   */
  virtual void Release(const std::string& service,
                       std::vector<std::string> handles) = 0;
};

}  // namespace turmeric::entry
