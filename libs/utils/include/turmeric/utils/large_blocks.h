#pragma once

namespace turmeric::utils {

/**
 * From now on, blocks of 128 KB and more are returned to the system as soon as
 * they are freed. By default, glibc reuses blocks of up to 32 MB once it has
 * freed one of that size; a process then keeps a multiple of what it holds.
 * Allocating such a block takes longer, since the system clears its pages.
 */
void ReturnLargeBlocks();

}  // namespace turmeric::utils
