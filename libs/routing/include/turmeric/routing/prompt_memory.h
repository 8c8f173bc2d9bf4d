#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmeric::routing {

/**
 * Which parts of prompts each engine holds, as far as whoever places requests
 * can know: what it has sent there, the least recently used given up first.
 */
class PromptMemory {
 public:
  /**
   * A request with the part was sent to the engine.
   * @param engine its id. @param part the part's id. @param tokens its size.
   * @param capacity tokens that the engine's memory holds.
   */
  void Note(const std::string& engine, std::string_view part, int64_t tokens,
            int64_t capacity);
  /** @param engine its id. @param part a part's id.
   * @return true if the engine should still hold it. */
  bool Holds(std::string_view engine, std::string_view part) const;
  /** @param engine has left, or has started again with nothing. */
  void Forget(std::string_view engine);
  /** @return parts remembered, of all engines. */
  size_t size() const;

 private:
  struct Held {
    std::string part;
    int64_t tokens = 0;
  };
  struct Engine {
    std::list<Held> by_use;  ///< The last used first.
    std::unordered_map<std::string, std::list<Held>::iterator> by_part;
    int64_t tokens = 0;
  };
  std::map<std::string, Engine, std::less<>> engines_;
};

}  // namespace turmeric::routing
