#include "turmeric/gateway/admission.h"

#include <catch2/catch.hpp>

using turmeric::gateway::Admission;
using turmeric::utils::Errc;

TEST_CASE("admission refuses on short deadline, full quota and drain") {
  // Guards against one organisation's burst taking every slot, and against late
  // answers: a deadline too short for all stages must be refused before
  // anything runs.
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

TEST_CASE("a fleet-wide limit is shared by the live instances") {
  // An organisation may have 8 requests in flight in the whole fleet. A limit
  // applied per instance alone would grow with every added instance.
  turmeric::gateway::Admission admission;
  turmeric::config::ResolvedSettings s;
  s.organisation = "o";
  s.max_inflight = 100;
  s.max_inflight_fleet = 8;
  constexpr int kDeadlineMs = 1000;
  constexpr int kInstances = 4;
  int admitted = 0;
  while (admission.TryAdmit(s, kDeadlineMs, kInstances) ==
         turmeric::utils::Errc::kOk) {
    ++admitted;
  }
  CHECK(admitted == 2);
  // With two live instances left, the share of this instance doubles.
  CHECK(admission.TryAdmit(s, kDeadlineMs, 2) == turmeric::utils::Errc::kOk);
}
