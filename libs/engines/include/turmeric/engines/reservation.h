#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace turmeric::engines {

struct TokenDemand;

/** The tokens that open requests occupy at one start of an engine. */
struct Room {
  /** A prompt part, held once for all open requests that use it. */
  struct Part {
    int64_t tokens = 0;
    int open = 0;  ///< Open requests that use it.
  };
  std::map<std::string, Part, std::less<>> parts;
  int64_t part_tokens = 0;  ///< Sum over `parts`.
  int64_t own_tokens = 0;   ///< Of open requests, beyond the parts.
};

/** Memory of an engine that is reserved for one open request; freed on
 * destruction. An empty one reserves nothing. */
class Reservation {
 public:
  Reservation() = default;
  /** @param room of the engine. @param demand of the request. */
  Reservation(std::shared_ptr<Room> room, const TokenDemand& demand);
  ~Reservation() { Free(); }
  Reservation(Reservation&& other) noexcept;
  Reservation& operator=(Reservation&& other) noexcept;
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

 private:
  void Use(std::string_view part, int64_t tokens);
  void Leave(std::string_view part);
  void Free();

  std::shared_ptr<Room> room_;
  std::string shared_part_;
  std::string session_part_;
  int64_t own_tokens_ = 0;
};

}  // namespace turmeric::engines
