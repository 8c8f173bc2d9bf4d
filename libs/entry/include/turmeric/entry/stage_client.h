#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "turmeric/stages/piece_queue.h"

namespace turmeric::entry {

/** Gets pieces of stages made, here or at another instance. */
class StageClient {
 public:
  virtual ~StageClient() = default;
  /**
   * @param service the stage's service. @param piece the piece.
   * @param events told of its progress, never from inside this call.
   * @return a ticket for Cancel.
   */
  virtual uint64_t Submit(const std::string& service, stages::Piece piece,
                          stages::PieceEvents events) = 0;
  /**
   * The piece is no longer wanted. A call with it that is in progress goes on.
   * @param service as submitted. @param ticket from Submit.
   * @return true if it ends here without another event; false if its end is
   *     still told, and its result must then be released.
   */
  virtual bool Cancel(const std::string& service, uint64_t ticket) = 0;
  /** @param service a stage's service. @param request whose pieces they are.
   * @param pieces that may have been made before. @return true if the retry
   * budget has room to make them again; it is taken then. */
  virtual bool TakeRepeats(const std::string& service,
                           const std::string& request, int pieces) = 0;
  /** @param service the results' service.
   * @param handles results that nothing needs any more. */
  virtual void Release(const std::string& service,
                       std::vector<std::string> handles) = 0;
};

}  // namespace turmeric::entry
