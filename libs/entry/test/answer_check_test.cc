#include "turmeric/entry/answer_check.h"

#include <catch2/catch.hpp>

using turmeric::entry::AnswerFault;
using turmeric::entry::AnswerInfo;
using turmeric::entry::CompletedAnswer;
using turmeric::entry::StatesNothing;

namespace {

AnswerInfo InfoWithReceipt() {
  AnswerInfo info;
  info.attempt_id = "r1";
  info.has_receipt = true;
  return info;
}

}  // namespace

TEST_CASE("answers with receipt, id and plain body pass, errors too") {
  for (const int status : {200, 201, 404, 409, 429, 500, 503}) {
    REQUIRE(AnswerFault({.status = status, .info = InfoWithReceipt()}).empty());
  }
}

// Guards against a wrong result: a process that has taken over the address of
// an upstream answers 200 with unrelated text, which must not reach the caller.
TEST_CASE("a success without receipt, id or plain body is rejected") {
  AnswerInfo without_receipt = InfoWithReceipt();
  without_receipt.has_receipt = false;
  AnswerInfo without_id = InfoWithReceipt();
  without_id.attempt_id.clear();
  AnswerInfo encoded = InfoWithReceipt();
  encoded.encoded = true;
  for (const AnswerInfo& info : {without_receipt, without_id, encoded}) {
    REQUIRE(AnswerFault({.status = 200, .info = info}) ==
            "answer_without_receipt");
    // An error 500 does not claim "not run" and may be forwarded.
    REQUIRE(AnswerFault({.status = 500, .info = info}).empty());
  }
}

// Guards against a double run: an intermediary between this instance and the
// upstream answers 503 after the request has run. The caller would take it for
// "not run" and retry, and a notice would be printed twice.
TEST_CASE("an answer that means not run needs the upstream's receipt") {
  AnswerInfo bare;
  for (const int status : {408, 421, 429, 503}) {
    REQUIRE(AnswerFault({.status = status, .info = bare}) ==
            "answer_without_receipt");
  }
}

// Guards against an incomplete stream: an upstream stops in the middle of an
// event and still ends its body correctly. If the stream were forwarded as
// complete, the caller could not detect that its end is missing.
TEST_CASE("a stream that ends inside an event is not complete") {
  REQUIRE(AnswerFault({.status = 200,
                       .info = InfoWithReceipt(),
                       .is_event_stream = true,
                       .inside_event = true}) == "stream_cut_in_event");
  REQUIRE(AnswerFault({.status = 200,
                       .info = InfoWithReceipt(),
                       .is_event_stream = true,
                       .inside_event = false})
              .empty());
}

// Guards against a stream that a crash ended before its first event, and whose
// end looks like that of a whole answer.
TEST_CASE("a stream without length, chunks and events is rejected") {
  const AnswerInfo info = InfoWithReceipt();
  CompletedAnswer answer{.status = 200,
                         .info = info,
                         .is_event_stream = true,
                         .inside_event = false,
                         .ends_with_connection = true,
                         .has_event = false};
  REQUIRE(AnswerFault(answer) == "stream_without_event");
  answer.has_event = true;
  REQUIRE(AnswerFault(answer).empty());
  answer.has_event = false;
  answer.ends_with_connection = false;
  REQUIRE(AnswerFault(answer).empty());
}

// Guards against the state of an upstream that ends because of an answer which
// another process gave, or which a failing upstream gave without the statement.
TEST_CASE(
    "an answer of another process or of a failing upstream states nothing") {
  const AnswerInfo ran = InfoWithReceipt();
  AnswerInfo refused = InfoWithReceipt();
  refused.not_run = true;
  CHECK(StatesNothing(421, ran, true));
  CHECK(StatesNothing(503, refused, false));
  CHECK(StatesNothing(500, ran, false));
  CHECK_FALSE(StatesNothing(503, refused, true));
  CHECK_FALSE(StatesNothing(200, ran, false));
}
