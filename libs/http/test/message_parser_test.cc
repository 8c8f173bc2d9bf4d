#include "turmeric/http/message_parser.h"

#include <catch2/catch.hpp>
#include <string>

using turmeric::http::ParseStatus;
using turmeric::http::RequestParser;
using turmeric::http::ResponseHead;
using turmeric::http::ResponseParser;

namespace {

constexpr size_t kHeaderLimit = 1024;
constexpr size_t kBodyLimit = 4096;

struct Answer {
  int status = 0;
  std::string body;
};

ResponseParser ParserInto(Answer& answer) {
  return ResponseParser(
      {.on_head = [&](ResponseHead&& head) { answer.status = head.status; },
       .on_body = [&](std::string_view b) { answer.body.append(b); }});
}

ParseStatus FeedRequest(std::string_view bytes) {
  RequestParser parser(kHeaderLimit, kBodyLimit);
  return parser.Feed(bytes).status;
}

}  // namespace

TEST_CASE("an answer with a length is read whole") {
  Answer answer;
  ResponseParser parser = ParserInto(answer);
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhellorest";
  const auto outcome = parser.Feed(bytes);
  REQUIRE(outcome.status == ParseStatus::kDone);
  REQUIRE(outcome.consumed == bytes.size() - 4);
  REQUIRE(answer.status == 200);
  REQUIRE(answer.body == "hello");
  REQUIRE(parser.keep_alive());
}

TEST_CASE("an answer is read the same however it is cut into pieces") {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (size_t step = 1; step < bytes.size(); ++step) {
    Answer answer;
    ResponseParser parser = ParserInto(answer);
    std::string pending;
    ParseStatus last = ParseStatus::kNeedMore;
    for (size_t at = 0; at < bytes.size(); at += step) {
      pending.append(bytes.substr(at, step));
      const auto outcome = parser.Feed(pending);
      pending.erase(0, outcome.consumed);
      last = outcome.status;
    }
    REQUIRE(last == ParseStatus::kDone);
    REQUIRE(answer.body == "hello world");
  }
}

// Story: an upstream answers without a length and ends the body with its
// connection. Only an orderly close completes it; the caller of FeedEnd must
// not call it after a reset.
TEST_CASE("an answer without a length is complete only at the end") {
  Answer answer;
  ResponseParser parser = ParserInto(answer);
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\n\r\npart").status ==
          ParseStatus::kNeedMore);
  REQUIRE(parser.FeedEnd());
  REQUIRE(answer.body == "part");
}

TEST_CASE("an answer cut inside its length never counts as complete") {
  Answer answer;
  ResponseParser parser = ParserInto(answer);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  REQUIRE_FALSE(parser.FeedEnd());
}

TEST_CASE("bytes that are no answer are malformed") {
  Answer answer;
  ResponseParser parser = ParserInto(answer);
  REQUIRE(parser.Feed("\x01\x02garbage\r\n\r\n").status ==
          ParseStatus::kMalformed);
}

// Story: a client sends a request whose framing can be read in two ways, so
// that a second request hides in its body. The proxy reads one, the upstream
// two, and the hidden one runs with nobody's key. The parser refuses it.
TEST_CASE("contradicting framing is refused") {
  REQUIRE(FeedRequest("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          ParseStatus::kMalformed);
  REQUIRE(FeedRequest("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                      "Content-Length: 5\r\n\r\nabcde") ==
          ParseStatus::kMalformed);
  REQUIRE(FeedRequest("POST /a/ HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n") ==
          ParseStatus::kMalformed);
  REQUIRE(FeedRequest("GET /a/ HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n") ==
          ParseStatus::kMalformed);
}

TEST_CASE("limits of head and body are kept") {
  const std::string head = "GET /a/ HTTP/1.1\r\nHost: h\r\nX: ";
  REQUIRE(FeedRequest(head + std::string(2 * kHeaderLimit, 'x') + "\r\n\r\n") ==
          ParseStatus::kHeaderTooLarge);
  REQUIRE(FeedRequest("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: "
                      "5000\r\n\r\n") == ParseStatus::kBodyTooLarge);
}

TEST_CASE("a request is read whole, the next one left") {
  RequestParser parser(kHeaderLimit, kBodyLimit);
  const std::string first =
      "POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
  const auto outcome = parser.Feed(first + "GET /b/ HTTP/1.1\r\n\r\n");
  REQUIRE(outcome.status == ParseStatus::kDone);
  REQUIRE(outcome.consumed == first.size());
  REQUIRE(parser.message().method == "POST");
  REQUIRE(parser.message().target == "/a/b?q=1");
  REQUIRE(parser.message().body == "abc");
}

// Story: a caller sends HEAD. The answer states a length and has no body; an
// instance that waits for one answers only at the route's timeout.
TEST_CASE("the answer to HEAD ends with its head") {
  Answer answer;
  ResponseParser parser = ParserInto(answer);
  parser.ExpectNoBody();
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").status ==
          ParseStatus::kDone);
}
