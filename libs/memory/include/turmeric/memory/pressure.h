#pragma once

#include <string_view>

namespace turmeric::memory {

class MemoryAccount;

/** How close the bytes of an account are to its bound. */
enum class Pressure {
  kNone,  ///< Below 3/4 of the bound, or there is no bound.
  kHigh,  ///< From 3/4 of the bound on: sources of bytes are slowed down.
  kFull,  ///< At the bound: bytes are given up, new requests are refused.
};

/** @param account an account. @return its pressure. */
Pressure PressureOf(const MemoryAccount& account);

/** @param pressure a pressure. @return its name for the log. */
std::string_view PressureName(Pressure pressure);

}  // namespace turmeric::memory
