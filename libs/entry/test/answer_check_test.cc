#include "turmeric/entry/answer_check.h"

#include <catch2/catch.hpp>

using turmeric::entry::AnswerFault;
using turmeric::entry::AnswerInfo;

namespace {

AnswerInfo Own() {
  AnswerInfo info;
  info.attempt_id = "r1";
  info.sealed = true;
  return info;
}

}  // namespace

TEST_CASE("an upstream's own answers pass, its errors too") {
  for (const int status : {200, 201, 404, 409, 429, 500, 503}) {
    REQUIRE(AnswerFault({.status = status, .info = Own()}).empty());
  }
}

// Story: a process that took over an upstream's address answers 200 with some
// text of its own. Passed on, the caller would take it for its result.
TEST_CASE("a success without receipt, id or plain body is no success") {
  AnswerInfo unsealed = Own();
  unsealed.sealed = false;
  AnswerInfo nameless = Own();
  nameless.attempt_id.clear();
  AnswerInfo encoded = Own();
  encoded.encoded = true;
  for (const AnswerInfo& info : {unsealed, nameless, encoded}) {
    REQUIRE(AnswerFault({.status = 200, .info = info}) ==
            "answer_without_receipt");
    // A bare error promises nothing and may pass.
    REQUIRE(AnswerFault({.status = 500, .info = info}).empty());
  }
}

// Story: something between us and the upstream answers 503 for it after the
// request ran. Passed on, the caller would be told that it did not run, send
// it again, and a notice would be printed twice.
TEST_CASE("a promise that nothing ran needs the upstream's receipt") {
  AnswerInfo bare;
  for (const int status : {408, 421, 429, 503}) {
    REQUIRE(AnswerFault({.status = status, .info = bare}) ==
            "answer_without_receipt");
  }
}

// Story: an upstream stops in the middle of an event and still ends its body
// in order. Passed on as complete, the caller would miss the rest.
TEST_CASE("a stream that ends inside an event is not complete") {
  REQUIRE(AnswerFault({.status = 200,
                       .info = Own(),
                       .is_event_stream = true,
                       .inside_event = true}) == "stream_cut_in_event");
  REQUIRE(AnswerFault({.status = 200,
                       .info = Own(),
                       .is_event_stream = true,
                       .inside_event = false})
              .empty());
}
