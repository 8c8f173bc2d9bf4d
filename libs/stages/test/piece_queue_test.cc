#include "turmeric/stages/piece_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using turmeric::stages::CallCapacity;
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

CallCapacity Capacity(int pieces, int64_t result_memory = 1000000) {
  return {.pieces = pieces,
          .result_memory_bytes = result_memory,
          .zone = "zone-a",
          .call_time = 300ms};
}

std::vector<std::string> Ids(const std::vector<QueuedPiece>& call) {
  std::vector<std::string> ids;
  for (const QueuedPiece& q : call) ids.push_back(q.piece.request_id);
  return ids;
}

}  // namespace

TEST_CASE("a call takes the pieces due first, as many as fit") {
  PieceQueue queue;
  queue.Push(MakePiece("later", 900ms), {});
  queue.Push(MakePiece("sooner", 500ms), {});
  queue.Push(MakePiece("last", 1200ms), {});
  REQUIRE(Ids(queue.TakeCall(Capacity(2), kNow)) ==
          std::vector<std::string>{"sooner", "later"});
  REQUIRE(queue.size() == 1);
}

TEST_CASE("a lower rank waits behind a higher one that is due a little later") {
  PieceQueue queue;
  queue.Push(MakePiece("chat", 600ms, 2), {});
  queue.Push(MakePiece("notice", 800ms, 0), {});
  REQUIRE(Ids(queue.TakeCall(Capacity(1), kNow)) ==
          std::vector<std::string>{"notice"});
}

// Guards against a burst in which every piece is late: if the queue is longer
// than can be served in time and is ordered by due time alone, each piece is
// served just too late. Pieces that have missed their target must come last.
TEST_CASE("a piece that has missed its target comes after one that has not") {
  PieceQueue queue;
  queue.Push(MakePiece("missed", 100ms), {});
  queue.Push(MakePiece("in time", 900ms), {});
  REQUIRE(Ids(queue.TakeCall(Capacity(1), kNow)) ==
          std::vector<std::string>{"in time"});
}

TEST_CASE("a piece with too large a result is skipped for a smaller one") {
  PieceQueue queue;
  queue.Push(MakePiece("large", 500ms, 0, 5000), {});
  queue.Push(MakePiece("small", 900ms, 0, 100), {});
  REQUIRE(Ids(queue.TakeCall(Capacity(8, 1000), kNow)) ==
          std::vector<std::string>{"small"});
  REQUIRE(queue.size() == 1);
}

// Guards against needless transfers between zones: if a piece with inputs in
// another zone is taken by the first free upstream, its inputs cross zones,
// although an upstream of their zone would have been free in time. A piece
// without time to spare may go to any zone.
TEST_CASE("a piece with time to spare waits for an upstream of its zone") {
  const std::vector<std::string> zones = {"zone-a", "zone-b"};
  CallCapacity capacity = Capacity(8);
  capacity.other_zones = zones;
  for (const auto due : {2000ms, 400ms}) {
    PieceQueue queue;
    Piece piece = MakePiece("p", due);
    piece.zone = "zone-b";
    queue.Push(piece, {});
    REQUIRE(queue.TakeCall(capacity, kNow).empty() == (due == 2000ms));
  }
  PieceQueue queue;
  Piece piece = MakePiece("p", 2000ms);
  piece.zone = "zone-without-upstreams";
  queue.Push(piece, {});
  REQUIRE(queue.TakeCall(capacity, kNow).size() == 1);
}

TEST_CASE("an upstream takes a piece of its zone before one due a bit sooner") {
  PieceQueue queue;
  Piece wanted_elsewhere = MakePiece("elsewhere", 600ms, 0, 200000);
  wanted_elsewhere.zone = "zone-b";
  Piece wanted_here = MakePiece("here", 650ms, 0, 200000);
  wanted_here.zone = "zone-a";
  queue.Push(wanted_elsewhere, {});
  queue.Push(wanted_here, {});
  REQUIRE(Ids(queue.TakeCall(Capacity(1), kNow)) ==
          std::vector<std::string>{"here"});
}

TEST_CASE("pieces that cannot end before their deadline are dequeued") {
  PieceQueue queue;
  Piece infeasible = MakePiece("hopeless", -4800ms);
  infeasible.deadline = kNow + 200ms;
  queue.Push(infeasible, {});
  queue.Push(MakePiece("fine", 500ms), {});
  REQUIRE(Ids(queue.TakeInfeasible(300ms, kNow)) ==
          std::vector<std::string>{"hopeless"});
  REQUIRE(queue.size() == 1);
}

TEST_CASE("a cancelled piece is in no call") {
  PieceQueue queue;
  const auto ticket = queue.Push(MakePiece("gone", 500ms), {});
  queue.Cancel(ticket);
  REQUIRE(queue.TakeCall(Capacity(8), kNow).empty());
}

// Guards against idle upstreams while a queue grows: after a crash of one of
// four upstreams in a burst, pieces would wait for upstreams of their zone
// while others are idle, and callers would get late answers.
TEST_CASE("no upstream idles for zones while more than one call waits") {
  const std::vector<std::string> zones = {"zone-a", "zone-b"};
  CallCapacity capacity = Capacity(4);
  capacity.other_zones = zones;
  PieceQueue queue;
  for (int i = 0; i < 6; ++i) {
    Piece piece = MakePiece("p" + std::to_string(i), 2000ms);
    piece.zone = "zone-b";
    queue.Push(piece, {});
  }
  REQUIRE(queue.TakeCall(capacity, kNow).size() == 4);
}

namespace {

/** @return a queue with the given number of crashes by fingerprint. */
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
  piece.fingerprint = work;
  queue.Push(std::move(piece), {});
}

}  // namespace

// Guards against a harmless request that shares every call with a request that
// crashes upstreams, and is suspected with it each time.
TEST_CASE("requests of a call whose upstream crashed get separate calls") {
  PieceQueue queue = QueueWithCrashes({{"a", 1}, {"b", 1}});
  PushWork(queue, "a", 500ms);
  PushWork(queue, "b", 600ms);
  PushWork(queue, "a", 700ms);
  PushWork(queue, "new", 800ms);
  REQUIRE(Ids(queue.TakeCall(Capacity(8), kNow)) ==
          std::vector<std::string>{"a", "a", "new"});
  REQUIRE(Ids(queue.TakeCall(Capacity(8), kNow)) ==
          std::vector<std::string>{"b"});
}

TEST_CASE("a request with two upstream crashes gets calls of its own") {
  PieceQueue queue = QueueWithCrashes({{"a", 2}, {"b", 2}});
  PushWork(queue, "new", 500ms);
  PushWork(queue, "a", 600ms);
  PushWork(queue, "a", 700ms);
  PushWork(queue, "b", 800ms);
  REQUIRE(Ids(queue.TakeCall(Capacity(8), kNow)) ==
          std::vector<std::string>{"new"});
  REQUIRE(Ids(queue.TakeCall(Capacity(8), kNow)) ==
          std::vector<std::string>{"a", "a"});
  PushWork(queue, "new", 900ms);
  REQUIRE(Ids(queue.TakeCall(Capacity(8), kNow)) ==
          std::vector<std::string>{"b"});
  REQUIRE(Ids(queue.TakeCall(Capacity(8), kNow)) ==
          std::vector<std::string>{"new"});
}
