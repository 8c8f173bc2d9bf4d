#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "turmeric/routing/upstream_clock.h"

namespace turmeric::routing {

/**
 * Estimates which prompt parts each engine holds in its prefix cache, from the
 * requests that were placed on it. The least recently used parts count as
 * evicted first.
 */
class PromptMemory {
 public:
  /**
   * Records that a request with the part was sent to the engine.
   * @param engine id of the engine. @param part id of the part.
   * @param tokens size of the part.
   * @param max_tokens memory of the engine that parts may fill, tokens.
   * @param now current time.
   */
  void Note(const std::string& engine, std::string_view part, int64_t tokens,
            int64_t max_tokens, Clock::time_point now = {});
  /**
   * Counts what a request would evict.
   * @param engine id of the engine. @param kept ids of the request's parts,
   *     which are not evicted.
   * @param added tokens of those that the engine does not hold.
   * @param max_tokens as for Note, with the request running.
   * @param since parts last used before then do not count.
   * @return tokens of the other parts that would be evicted.
   */
  int64_t EvictedTokens(std::string_view engine,
                        std::span<const std::string_view> kept, int64_t added,
                        int64_t max_tokens, Clock::time_point since) const;
  /** @param engine id of the engine. @param part id of the part.
   * @return true if the engine is expected to hold the part. */
  bool Holds(std::string_view engine, std::string_view part) const;
  /** Removes all parts of an engine that has left, or has restarted with an
   * empty cache. @param engine id of the engine. */
  void RemoveEngine(std::string_view engine);
  /** @return parts recorded for all engines. */
  size_t size() const;

 private:
  struct Held {
    std::string part;
    int64_t tokens = 0;
    Clock::time_point used_at;
  };
  struct Engine {
    std::list<Held> by_use;  ///< The most recently used first.
    std::unordered_map<std::string, std::list<Held>::iterator> by_part;
    int64_t tokens = 0;
  };
  std::map<std::string, Engine, std::less<>> engines_;
};

}  // namespace turmeric::routing
