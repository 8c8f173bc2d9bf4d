#include "turmeric/stages/stage_progress.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using turmeric::routing::StageSpec;
using turmeric::stages::PieceResult;
using turmeric::stages::StageProgress;

namespace {

PieceResult Made(std::string handle, std::string zone = "zone-a") {
  return {.failure = turmeric::stages::PieceFailure::kNone,
          .handle = std::move(handle),
          .zone = std::move(zone)};
}

void CompleteAll(StageProgress& progress, int stage) {
  for (int i = 0; i < progress.pieces(stage); ++i) {
    progress.Complete(stage, i,
                      Made(std::to_string(stage) + "/" + std::to_string(i)));
  }
}

const std::vector<StageSpec> kChain = {
    {.service = "a", .after = {}, .result_bytes = 8000},
    {.service = "b", .after = {0}, .result_bytes = 60000},
    {.service = "c", .after = {1}, .result_bytes = 6000}};

const std::vector<StageSpec> kChainBesideLarge = {
    {.service = "a", .after = {}, .result_bytes = 1500000},
    {.service = "a", .after = {}, .result_bytes = 8000},
    {.service = "b", .after = {1}, .result_bytes = 60000},
    {.service = "c", .after = {2}, .result_bytes = 6000}};

}  // namespace

TEST_CASE("a chain runs stage by stage, and only its end goes to the request") {
  const std::vector<int> pieces = {1, 2, 3};
  StageProgress progress(kChain, pieces);
  REQUIRE(progress.TakeReady() == std::vector<int>{0});
  REQUIRE(progress.TakeReady().empty());
  CompleteAll(progress, 0);
  REQUIRE(progress.TakeReady() == std::vector<int>{1});
  REQUIRE(progress.Inputs(1) == std::vector<std::string>{"0/0"});
  CompleteAll(progress, 1);
  REQUIRE(progress.TakeReady() == std::vector<int>{2});
  REQUIRE(progress.Inputs(2) == std::vector<std::string>{"1/0", "1/1"});
  REQUIRE_FALSE(progress.done());
  CompleteAll(progress, 2);
  REQUIRE(progress.done());
  REQUIRE(progress.FinalInputs() ==
          std::vector<std::string>{"2/0", "2/1", "2/2"});
}

TEST_CASE("an omitted stage is passed over") {
  const std::vector<int> pieces = {0, 1, 1, 1};
  StageProgress progress(kChainBesideLarge, pieces);
  REQUIRE(progress.TakeReady() == std::vector<int>{1});
  REQUIRE(StageProgress(kChain, std::vector<int>{}).done());
}

TEST_CASE("results are released once their followers are complete") {
  const std::vector<int> pieces = {1, 1, 1};
  StageProgress progress(kChain, pieces);
  progress.TakeReady();
  CompleteAll(progress, 0);
  REQUIRE(progress.TakeUnneeded().empty());
  CompleteAll(progress, 1);
  const auto unneeded = progress.TakeUnneeded();
  REQUIRE(unneeded.size() == 1);
  REQUIRE(unneeded[0].service == "a");
  REQUIRE(unneeded[0].handles == std::vector<std::string>{"0/0"});
  REQUIRE(progress.TakeUnneeded().empty());
  CompleteAll(progress, 2);
  const auto rest = progress.TakeAll();
  REQUIRE(rest.size() == 2);
  REQUIRE(progress.TakeAll().empty());
}

// Story: callers of a chat route get 503 in a burst though its upstreams are
// not busy. The route's large stage ran first, and its results lay in the
// upstream's memory while the chain of three stages beside it went on; no
// other piece found room. The large stage must start with the chain's end.
TEST_CASE("a large result is made when the chain beside it ends") {
  const std::vector<int> pieces = {2, 1, 1, 1};
  StageProgress progress(kChainBesideLarge, pieces);
  REQUIRE(progress.TakeReady() == std::vector<int>{1});
  CompleteAll(progress, 1);
  REQUIRE(progress.TakeReady() == std::vector<int>{2});
  CompleteAll(progress, 2);
  REQUIRE(progress.TakeReady() == std::vector<int>{0, 3});
}

// Story: each piece of the last stage fetches all results of the stage before,
// a few hundred kilobytes. Made in another zone, they cross it once a piece,
// and the bill for bytes between zones exceeds that for everything else.
TEST_CASE("the zone of a stage's inputs is known if they are many bytes") {
  const std::vector<int> pieces = {1, 6, 3};
  StageProgress progress(kChain, pieces);
  progress.Complete(0, 0, Made("p", "zone-a"));
  for (int i = 0; i < 6; ++i) progress.Complete(1, i, Made("b", "zone-b"));
  REQUIRE(progress.InputsZone(1).empty());
  REQUIRE(progress.InputsZone(2) == "zone-b");
}

TEST_CASE("the zone of the largest results is known") {
  const std::vector<int> pieces = {2, 1, 1, 1};
  StageProgress progress(kChainBesideLarge, pieces);
  progress.Complete(0, 0, Made("h", "zone-b"));
  progress.Complete(3, 0, Made("i", "zone-c"));
  REQUIRE(progress.FinalInputsZone() == "zone-b");
}

// Story: in a burst, calls carry half of what they could, though hundreds of
// pieces wait: the upstreams' memory is full of results that were fetched
// long ago. Results must be given up as soon as every call that needs them
// has fetched them, not when those calls end.
TEST_CASE("results are released once their followers have fetched them") {
  const std::vector<int> pieces = {1, 2, 1};
  StageProgress progress(kChain, pieces);
  progress.TakeReady();
  CompleteAll(progress, 0);
  progress.TakeReady();
  progress.InputsTaken(1);
  REQUIRE(progress.TakeUnneeded().empty());
  progress.InputsTaken(1);
  REQUIRE(progress.TakeUnneeded().size() == 1);
}

TEST_CASE("a restart begins with the first stage and no results") {
  const std::vector<int> pieces = {1, 1, 1};
  StageProgress progress(kChain, pieces);
  progress.TakeReady();
  CompleteAll(progress, 0);
  progress.Restart();
  REQUIRE(progress.TakeReady() == std::vector<int>{0});
  REQUIRE(progress.TakeAll().empty());
  REQUIRE_FALSE(progress.done());
}
