#include "turmeric/memory/memory_account.h"

#include "turmeric/memory/charge.h"
#include "turmeric/memory/pressure.h"

namespace turmeric::memory {

size_t MemoryAccount::Mean(BufferKind kind) const {
  const size_t holders = holders_[static_cast<size_t>(kind)].size();
  return holders == 0 ? 0 : bytes(kind) / holders;
}

void MemoryAccount::Replace(const Charge& charge, size_t before, size_t after) {
  const auto kind = static_cast<size_t>(charge.kind());
  if (before > 0) holders_[kind].erase({before, &charge});
  if (after > 0) holders_[kind].insert({after, &charge});
  bytes_[kind] += after - before;
  total_ += after - before;
}

Pressure PressureOf(const MemoryAccount& account) {
  const size_t bound = account.bound();
  if (bound == 0) return Pressure::kNone;
  if (account.total() >= bound) return Pressure::kFull;
  return account.total() >= bound - bound / 4 ? Pressure::kHigh
                                              : Pressure::kNone;
}

std::string_view PressureName(Pressure pressure) {
  if (pressure == Pressure::kNone) return "none";
  return pressure == Pressure::kHigh ? "high" : "full";
}

}  // namespace turmeric::memory
