#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "turmeric/engines/reservation.h"

namespace turmeric::engines {

/** The memory that a request needs at an engine, in tokens. Negative counts
 * count as 0. */
struct TokenDemand {
  std::string_view shared_part;   ///< Id of a prompt part; empty: none.
  std::string_view session_part;  ///< Id of a prompt part; empty: none.
  int64_t shared_tokens = 0;
  int64_t session_tokens = 0;
  /** Prompt beyond the two parts, and expected output. */
  int64_t own_tokens = 0;
};

/**
 * The memory of engines that open requests occupy, as far as this process has
 * placed them. Load: long prompts and outputs of which an engine holds a few
 * only. Without this record, requests are placed by prompt reading alone; an
 * engine that runs out of memory preempts a request, which is then read again.
 *
 * A prompt part that several open requests share is held once, and cannot be
 * evicted until they have ended. Parts without open requests can be evicted and
 * do not count. An engine of which nothing is recorded counts as free: a new
 * owner knows no placements, and an engine that is full refuses.
 */
class EngineRoom {
 public:
  /**
   * @param engine id of an engine. @param demand of a request.
   * @return tokens that the request adds: parts of open requests are there.
   */
  int64_t Added(std::string_view engine, const TokenDemand& demand) const;
  /**
   * @param engine id of an engine. @param demand of a request.
   * @param capacity memory of the engine, tokens.
   * @return true if the engine has room for the request.
   */
  bool Fits(std::string_view engine, const TokenDemand& demand,
            int64_t capacity) const;
  /** @param engine id of an engine. @return tokens that open requests occupy,
   *     parts included. */
  int64_t Promised(std::string_view engine) const;
  /** @param engine id of an engine. @return tokens that open requests occupy
   *     beyond the prompt parts. */
  int64_t Own(std::string_view engine) const;
  /** @return tokens promised at all engines. */
  int64_t Promised() const;
  /**
   * Reserves memory for a request.
   * @param engine id of an engine. @param demand of the request.
   * @return frees the memory when destroyed; independent of this object.
   */
  Reservation Reserve(const std::string& engine, const TokenDemand& demand);
  /** Drops the reservations of an engine that has left, or has restarted with
   * empty memory. @param engine its id. */
  void Reset(std::string_view engine);
  /** @return number of engines with a record. */
  size_t size() const { return rooms_.size(); }

 private:
  const Room* Find(std::string_view engine) const;

  /** By engine; kept until Reset. */
  std::map<std::string, std::shared_ptr<Room>, std::less<>> rooms_;
};

}  // namespace turmeric::engines
