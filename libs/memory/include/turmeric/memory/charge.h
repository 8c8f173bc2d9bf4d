#pragma once

#include <cstddef>

#include "turmeric/memory/buffer_kind.h"

namespace turmeric::memory {

class MemoryAccount;

/** The bytes that one holder has charged to an account. They are removed when
 * this object is destroyed. */
class Charge {
 public:
  /** @param account the account; must outlive this. @param kind what the bytes
   * are held for. @param bytes bytes held now. */
  Charge(MemoryAccount& account, BufferKind kind, size_t bytes = 0);
  ~Charge();
  Charge(const Charge&) = delete;
  Charge& operator=(const Charge&) = delete;

  /** @param bytes bytes held from now on. */
  void Set(size_t bytes);
  /** @return bytes held. */
  size_t bytes() const { return bytes_; }
  /** @return what the bytes are held for. */
  BufferKind kind() const { return kind_; }

 private:
  MemoryAccount& account_;
  BufferKind kind_;
  size_t bytes_ = 0;
};

}  // namespace turmeric::memory
