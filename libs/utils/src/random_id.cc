#include "turmeric/utils/random_id.h"

#include <algorithm>
#include <random>

namespace turmeric::utils {

namespace {

std::mt19937_64 MakeSeededGenerator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device(),
                     device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

std::mt19937_64& Generator() {
  thread_local std::mt19937_64 rng = MakeSeededGenerator();
  return rng;
}

}  // namespace

std::string RandomHex(size_t digits) {
  std::mt19937_64& rng = Generator();
  static constexpr char kHex[] = "0123456789abcdef";
  std::string out(digits, '0');
  std::ranges::generate(out, [&rng] { return kHex[rng() & 0xf]; });
  return out;
}

double RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(Generator());
}

}  // namespace turmeric::utils
