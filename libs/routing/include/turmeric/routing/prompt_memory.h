#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

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
   * @param capacity tokens that the engine's memory holds.
   */
  void Note(const std::string& engine, std::string_view part, int64_t tokens,
            int64_t capacity);
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
  };
  struct Engine {
    std::list<Held> by_use;  ///< The most recently used first.
    std::unordered_map<std::string, std::list<Held>::iterator> by_part;
    int64_t tokens = 0;
  };
  std::map<std::string, Engine, std::less<>> engines_;
};

}  // namespace turmeric::routing
