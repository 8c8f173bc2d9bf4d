#include "turmeric/utils/large_blocks.h"

#include <malloc.h>

namespace turmeric::utils {

void ReturnLargeBlocks() {
  constexpr int kLargeBlockBytes = 128 * 1024;
  // Turns off the adaptation to the size of freed blocks, too.
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace turmeric::utils
