#include "turmeric/utils/descriptor_limit.h"

#include <sys/resource.h>

#include <cstdint>

namespace turmeric::utils {

size_t DescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return SIZE_MAX;
  return limit.rlim_cur;
}

}  // namespace turmeric::utils
