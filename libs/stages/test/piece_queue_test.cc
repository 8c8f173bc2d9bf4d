#include "turmeric/stages/piece_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::stages::CallSpace;
using turmeric::stages::Clock;
using turmeric::stages::Piece;
using turmeric::stages::PieceQueue;
using turmeric::stages::QueuedPiece;

namespace {

const Clock::time_point kNow = Clock::time_point(100s);

Piece MakePiece(std::string id, std::chrono::milliseconds due_in, int rank = 0,
                int64_t bytes = 1000) {
  Piece piece;
  piece.request_id = std::move(id);
  piece.due = kNow + due_in;
  piece.deadline = kNow + 5s;
  piece.rank = rank;
  piece.result_bytes = bytes;
  return piece;
}

CallSpace Space(int pieces, int64_t room = 1000000) {
  return {.pieces = pieces,
          .result_memory_bytes = room,
          .zone = "zone-a",
          .call_time = 300ms};
}

std::vector<std::string> Ids(const std::vector<QueuedPiece>& call) {
  std::vector<std::string> ids;
  for (const QueuedPiece& q : call) ids.push_back(q.piece.request_id);
  return ids;
}

}  // namespace

TEST_CASE("a call takes what is due first, as many as fit") {
  PieceQueue queue;
  queue.Push(MakePiece("later", 900ms), {});
  queue.Push(MakePiece("sooner", 500ms), {});
  queue.Push(MakePiece("last", 1200ms), {});
  REQUIRE(Ids(queue.TakeCall(Space(2), kNow)) ==
          std::vector<std::string>{"sooner", "later"});
  REQUIRE(queue.size() == 1);
}

TEST_CASE("a lower rank waits behind a higher one that is due a little later") {
  PieceQueue queue;
  queue.Push(MakePiece("chat", 600ms, 2), {});
  queue.Push(MakePiece("notice", 800ms, 0), {});
  REQUIRE(Ids(queue.TakeCall(Space(1), kNow)) ==
          std::vector<std::string>{"notice"});
}

// Story: in a burst the queue is longer than can be served in time. Ordered
// by due time alone, each piece is served just too late, and no caller gets
// its answer in time. Those that have missed their target yield.
TEST_CASE("a piece that has missed its target yields to one that has not") {
  PieceQueue queue;
  queue.Push(MakePiece("missed", 100ms), {});
  queue.Push(MakePiece("in time", 900ms), {});
  REQUIRE(Ids(queue.TakeCall(Space(1), kNow)) ==
          std::vector<std::string>{"in time"});
}

TEST_CASE("a result that does not fit is passed over, a smaller one goes") {
  PieceQueue queue;
  queue.Push(MakePiece("large", 500ms, 0, 5000), {});
  queue.Push(MakePiece("small", 900ms, 0, 100), {});
  REQUIRE(Ids(queue.TakeCall(Space(8, 1000), kNow)) ==
          std::vector<std::string>{"small"});
  REQUIRE(queue.size() == 1);
}

// Story: a piece whose inputs lie in another zone is taken by the first
// upstream that is free, and its inputs cross zones, though an upstream of
// their zone would have been free in time. In a hurry it goes anywhere.
TEST_CASE("a piece with time to spare waits for an upstream of its zone") {
  const std::vector<std::string> zones = {"zone-a", "zone-b"};
  CallSpace space = Space(8);
  space.other_zones = zones;
  for (const auto due : {2000ms, 400ms}) {
    PieceQueue queue;
    Piece piece = MakePiece("p", due);
    piece.zone = "zone-b";
    queue.Push(piece, {});
    REQUIRE(queue.TakeCall(space, kNow).empty() == (due == 2000ms));
  }
  PieceQueue queue;
  Piece piece = MakePiece("p", 2000ms);
  piece.zone = "zone-without-upstreams";
  queue.Push(piece, {});
  REQUIRE(queue.TakeCall(space, kNow).size() == 1);
}

TEST_CASE("a large result waits a little for an upstream of its zone") {
  PieceQueue queue;
  Piece wanted_elsewhere = MakePiece("elsewhere", 600ms, 0, 200000);
  wanted_elsewhere.zone = "zone-b";
  Piece wanted_here = MakePiece("here", 650ms, 0, 200000);
  wanted_here.zone = "zone-a";
  queue.Push(wanted_elsewhere, {});
  queue.Push(wanted_here, {});
  REQUIRE(Ids(queue.TakeCall(Space(1), kNow)) ==
          std::vector<std::string>{"here"});
}

TEST_CASE("what cannot end before its deadline is taken out") {
  PieceQueue queue;
  Piece hopeless = MakePiece("hopeless", -4800ms);
  hopeless.deadline = kNow + 200ms;
  queue.Push(hopeless, {});
  queue.Push(MakePiece("fine", 500ms), {});
  REQUIRE(Ids(queue.TakeHopeless(300ms, kNow)) ==
          std::vector<std::string>{"hopeless"});
  REQUIRE(queue.size() == 1);
}

TEST_CASE("a cancelled piece is in no call") {
  PieceQueue queue;
  const auto ticket = queue.Push(MakePiece("gone", 500ms), {});
  queue.Cancel(ticket);
  REQUIRE(queue.TakeCall(Space(8), kNow).empty());
}

// Story: one of four upstreams of a service has crashed in a burst. Pieces
// wait for upstreams of their zone while others idle, the queue grows, and
// the callers get late answers. With a queue, nobody idles.
TEST_CASE("no upstream idles for zones while a queue waits") {
  const std::vector<std::string> zones = {"zone-a", "zone-b"};
  CallSpace space = Space(4);
  space.other_zones = zones;
  PieceQueue queue;
  for (int i = 0; i < 6; ++i) {
    Piece piece = MakePiece("p" + std::to_string(i), 2000ms);
    piece.zone = "zone-b";
    queue.Push(piece, {});
  }
  REQUIRE(queue.TakeCall(space, kNow).size() == 4);
}

namespace {

/** A queue whose pieces' ids are their works, with crashes by work. */
PieceQueue QueueWithCrashes(std::map<std::string, int> crashes) {
  return PieceQueue({.late_last = true,
                     .by_zone = true,
                     .crashes = [crashes](const std::string& work) {
                       const auto it = crashes.find(work);
                       return it == crashes.end() ? 0 : it->second;
                     }});
}

void PushWork(PieceQueue& queue, const std::string& work,
              std::chrono::milliseconds due_in) {
  Piece piece = MakePiece(work, due_in);
  piece.work = work;
  queue.Push(std::move(piece), {});
}

}  // namespace

// Guards against pieces that share each call with the one that ends upstreams.
TEST_CASE("requests that were in a call whose upstream ended part") {
  PieceQueue queue = QueueWithCrashes({{"a", 1}, {"b", 1}});
  PushWork(queue, "a", 500ms);
  PushWork(queue, "b", 600ms);
  PushWork(queue, "a", 700ms);
  PushWork(queue, "new", 800ms);
  REQUIRE(Ids(queue.TakeCall(Space(8), kNow)) ==
          std::vector<std::string>{"a", "a", "new"});
  REQUIRE(Ids(queue.TakeCall(Space(8), kNow)) == std::vector<std::string>{"b"});
}

TEST_CASE(
    "a request under which two upstreams have ended is called for alone") {
  PieceQueue queue = QueueWithCrashes({{"a", 2}, {"b", 2}});
  PushWork(queue, "new", 500ms);
  PushWork(queue, "a", 600ms);
  PushWork(queue, "a", 700ms);
  PushWork(queue, "b", 800ms);
  REQUIRE(Ids(queue.TakeCall(Space(8), kNow)) ==
          std::vector<std::string>{"new"});
  REQUIRE(Ids(queue.TakeCall(Space(8), kNow)) ==
          std::vector<std::string>{"a", "a"});
  PushWork(queue, "new", 900ms);
  REQUIRE(Ids(queue.TakeCall(Space(8), kNow)) == std::vector<std::string>{"b"});
  REQUIRE(Ids(queue.TakeCall(Space(8), kNow)) ==
          std::vector<std::string>{"new"});
}
