#pragma once

#include <array>
#include <cstddef>
#include <set>
#include <utility>

#include "turmeric/memory/buffer_kind.h"

namespace turmeric::memory {

class Charge;

/**
 * The bytes that one instance holds in buffers, by kind, and who holds them.
 *
 * The load that it handles: upstreams that send without end and callers that
 * read slowly, on an instance with 160 MB. The limits of one exchange do not
 * bound their sum: with 100 requests per second, 8 MB for each exceed the
 * memory within a second. The bound is a fifth of the memory by default; the
 * rest is left to the program, to socket buffers that the kernel accounts to
 * the process, and to fragmentation.
 *
 * A change of a holder takes time logarithmic in the number of holders.
 */
class MemoryAccount {
 public:
  /** @param bound bytes that may be held; 0: no bound. */
  explicit MemoryAccount(size_t bound = 0) : bound_(bound) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /** @return bytes that may be held; 0: no bound. */
  size_t bound() const { return bound_; }
  /** @return bytes held. */
  size_t total() const { return total_; }
  /** @param kind a kind. @return bytes held of that kind. */
  size_t bytes(BufferKind kind) const {
    return bytes_[static_cast<size_t>(kind)];
  }
  /** @param kind a kind. @return mean of the bytes of its charges that hold
   * any; 0 if none does. */
  size_t Mean(BufferKind kind) const;
  /** A charge that holds bytes, and their number. */
  using Holder = std::pair<size_t, const Charge*>;
  /** @param kind a kind. @return its charges that hold any bytes, the smallest
   * first. */
  const std::set<Holder>& holders(BufferKind kind) const {
    return holders_[static_cast<size_t>(kind)];
  }

 private:
  friend class Charge;

  void Replace(const Charge& charge, size_t before, size_t after);

  size_t bound_;
  size_t total_ = 0;
  std::array<size_t, kBufferKinds> bytes_{};
  std::array<std::set<Holder>, kBufferKinds> holders_;
};

}  // namespace turmeric::memory
