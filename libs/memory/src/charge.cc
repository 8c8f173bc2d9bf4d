#include "turmeric/memory/charge.h"

#include "turmeric/memory/memory_account.h"

namespace turmeric::memory {

Charge::Charge(MemoryAccount& account, BufferKind kind, size_t bytes)
    : account_(account), kind_(kind) {
  Set(bytes);
}

Charge::~Charge() { Set(0); }

void Charge::Set(size_t bytes) {
  if (bytes == bytes_) return;
  account_.Replace(*this, bytes_, bytes);
  bytes_ = bytes;
}

}  // namespace turmeric::memory
