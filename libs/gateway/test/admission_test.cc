#include "turmeric/gateway/admission.h"

#include <catch2/catch.hpp>

using turmeric::gateway::Admission;
using turmeric::utils::Errc;

TEST_CASE("admission sheds early and stops for drain") {
  // A burst from one organisation must not take every slot; a deadline too
  // short for the stages is refused as not run rather than answered late.
  turmeric::config::ResolvedSettings s;
  s.business = "nilelight";
  s.organisation = "nile-hotels";
  s.max_inflight = 2;
  s.min_stage_ms = 10;
  s.stages.resize(4);
  Admission a;
  CHECK(a.TryAdmit(s, 30) == Errc::kDeadlineTooShort);
  CHECK(a.TryAdmit(s, 1000) == Errc::kOk);
  CHECK(a.TryAdmit(s, 1000) == Errc::kOk);
  CHECK(a.TryAdmit(s, 1000) == Errc::kOverloaded);
  a.Release(s);
  a.StartDrain();
  CHECK(a.TryAdmit(s, 1000) == Errc::kDraining);
  CHECK(a.inflight() == 1);
}
