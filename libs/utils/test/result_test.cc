#include "turmeric/utils/result.h"

#include <catch2/catch.hpp>

using turmeric::utils::Errc;

TEST_CASE("every result code has a name and an HTTP status") {
  for (Errc code : {Errc::kBadRequest, Errc::kOverloaded, Errc::kNoMemory,
                    Errc::kUpstreamFailed, Errc::kOutcomeUnknown,
                    Errc::kStoreAnswerLost, Errc::kIniInvalid}) {
    CHECK(turmeric::utils::ErrcName(code) != "unnamed");
    CHECK(turmeric::utils::HttpStatus(code) >= 400);
  }
}
