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

struct ReceivedResponse {
  int status = 0;
  std::string body;
};

ResponseParser MakeParser(ReceivedResponse& response) {
  return ResponseParser(
      {.on_head = [&](ResponseHead&& head) { response.status = head.status; },
       .on_body = [&](std::string_view b) { response.body.append(b); }});
}

ParseStatus FeedRequest(std::string_view bytes) {
  RequestParser parser(kHeaderLimit, kBodyLimit);
  return parser.Feed(bytes).status;
}

}  // namespace

TEST_CASE("a response with a length is parsed to its end") {
  ReceivedResponse response;
  ResponseParser parser = MakeParser(response);
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhellorest";
  const auto outcome = parser.Feed(bytes);
  REQUIRE(outcome.status == ParseStatus::kDone);
  REQUIRE(outcome.consumed == bytes.size() - 4);
  REQUIRE(response.status == 200);
  REQUIRE(response.body == "hello");
  REQUIRE(parser.keep_alive());
}

TEST_CASE("a response is parsed alike in segments of any size") {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (size_t step = 1; step < bytes.size(); ++step) {
    ReceivedResponse response;
    ResponseParser parser = MakeParser(response);
    std::string pending;
    ParseStatus last = ParseStatus::kNeedMore;
    for (size_t at = 0; at < bytes.size(); at += step) {
      pending.append(bytes.substr(at, step));
      const auto outcome = parser.Feed(pending);
      pending.erase(0, outcome.consumed);
      last = outcome.status;
    }
    REQUIRE(last == ParseStatus::kDone);
    REQUIRE(response.body == "hello world");
  }
}

// An upstream sends a response without a length and ends the body by closing
// the connection. Only an orderly close completes the response; FeedEnd must
// not be called after a reset, or a truncated body would count as complete.
TEST_CASE("a response without a length is completed by an orderly close") {
  ReceivedResponse response;
  ResponseParser parser = MakeParser(response);
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\n\r\npart").status ==
          ParseStatus::kNeedMore);
  REQUIRE(parser.FeedEnd());
  REQUIRE(response.body == "part");
}

// Guards against a head that stops in the middle being completed by the end of
// the connection as an answer without a body.
TEST_CASE("a head that is cut anywhere is never a complete response") {
  const std::string framing =
      GENERATE("", "Content-Length: 0\r\n", "Content-Length: 120\r\n",
               "Transfer-Encoding: chunked\r\n", "Connection: close\r\n");
  const std::string head =
      "HTTP/1.1 200 OK\r\nServer: s\r\n" + framing + "\r\n";
  for (size_t cut = 0; cut < head.size(); ++cut) {
    ReceivedResponse response;
    ResponseParser parser = MakeParser(response);
    CAPTURE(framing, cut);
    if (cut > 0) {
      CHECK(parser.Feed(head.substr(0, cut)).status == ParseStatus::kNeedMore);
    }
    CHECK_FALSE(parser.FeedEnd());
    CHECK(response.status == 0);
  }
}

TEST_CASE("a response shorter than its length is never complete") {
  ReceivedResponse response;
  ResponseParser parser = MakeParser(response);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  REQUIRE_FALSE(parser.FeedEnd());
}

TEST_CASE("bytes that are not an HTTP response are malformed") {
  ReceivedResponse response;
  ResponseParser parser = MakeParser(response);
  REQUIRE(parser.Feed("\x01\x02garbage\r\n\r\n").status ==
          ParseStatus::kMalformed);
}

// Request smuggling: a client sends a request with contradictory framing, so
// that its body can be read as a second request. If the proxy read one request
// and the upstream two, the second would run without a key. The parser must
// refuse it.
TEST_CASE("contradictory framing is refused") {
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

TEST_CASE("limits of head and body are enforced") {
  const std::string head = "GET /a/ HTTP/1.1\r\nHost: h\r\nX: ";
  REQUIRE(FeedRequest(head + std::string(2 * kHeaderLimit, 'x') + "\r\n\r\n") ==
          ParseStatus::kHeaderTooLarge);
  REQUIRE(FeedRequest("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: "
                      "5000\r\n\r\n") == ParseStatus::kBodyTooLarge);
}

TEST_CASE("a request is parsed without the bytes of the next one") {
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

// The response to a HEAD request states a length but has no body. An instance
// that waited for a body would respond only after the route's timeout.
TEST_CASE("the response to a HEAD request ends with its head") {
  ReceivedResponse response;
  ResponseParser parser = MakeParser(response);
  parser.ExpectNoBody();
  REQUIRE(parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").status ==
          ParseStatus::kDone);
}

// Guards against upstreams that never end a chunk line or the trailers: all of
// their bytes would be kept until the request's time limit.
TEST_CASE("chunk lines and trailers without end are malformed") {
  constexpr std::string_view kHead =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
  const auto kept_until_malformed = [&](std::string_view begin,
                                        std::string_view part) {
    ReceivedResponse response;
    ResponseParser parser = MakeParser(response);
    std::string pending = std::string(kHead) + std::string(begin);
    for (int i = 0; i < 1000; ++i) {
      const auto outcome = parser.Feed(pending);
      if (outcome.status == ParseStatus::kMalformed) return pending.size();
      pending.erase(0, outcome.consumed);
      pending.append(part);
    }
    return std::string::npos;
  };
  const std::string part(1000, 'x');
  REQUIRE(kept_until_malformed("5;a=", part) < 6000);
  REQUIRE(kept_until_malformed("", std::string(1000, '0')) < 6000);
  REQUIRE(kept_until_malformed("0\r\n", "T: " + part + "\r\n") < 18000);
  REQUIRE(kept_until_malformed("5;" + std::string(4200, 'a') + "\r\nhello\r\n",
                               "") < 6000);
}

// Guards against clients that never end a chunk line or the trailers.
TEST_CASE("chunk lines and trailers of a request without end are refused") {
  constexpr std::string_view kHead =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n";
  const auto kept_until_refused = [&](std::string_view begin,
                                      std::string_view part) {
    RequestParser parser(kHeaderLimit, kBodyLimit);
    std::string pending = std::string(kHead) + std::string(begin);
    for (int i = 0; i < 1000; ++i) {
      const auto outcome = parser.Feed(pending);
      if (outcome.status != ParseStatus::kNeedMore) return pending.size();
      pending.erase(0, outcome.consumed);
      pending.append(part);
    }
    return std::string::npos;
  };
  const std::string part(100, 'x');
  REQUIRE(kept_until_refused("5;a=", part) < 6000);
  REQUIRE(kept_until_refused("0\r\n", "T: " + part + "\r\n") <
          2 * kHeaderLimit);
  REQUIRE(kept_until_refused("0\r\nT: ", part) < 2 * kHeaderLimit);
}

// Guards against a trailer that is read as a header field: a second Host, or a
// key, which the check of the head has not seen.
TEST_CASE("trailers of a request are dropped") {
  RequestParser parser(kHeaderLimit, kBodyLimit);
  const auto outcome = parser.Feed(
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\nHost: other\r\nAuthorization: Bearer k\r\n\r\n");
  REQUIRE(outcome.status == ParseStatus::kDone);
  REQUIRE(parser.message().body == "hello");
  REQUIRE(parser.message().headers.size() == 2);
}

// Guards against heads within their limit that hold many times as much.
TEST_CASE("the memory of a head counts each of its fields") {
  constexpr size_t kFields = 1000;
  std::string head = "POST /x HTTP/1.1\r\nContent-Length: 1\r\n";
  for (size_t i = 0; i < kFields; ++i) head += "a:\r\n";
  RequestParser parser(16 * 1024, 1000);
  REQUIRE(parser.head_bytes() == 0);
  REQUIRE(parser.Feed(head + "\r\n").status == ParseStatus::kNeedMore);
  REQUIRE(parser.head_bytes() > kFields * sizeof(turmeric::http::HeaderField));
}

// Guards against limits that sound upstreams exceed.
TEST_CASE("chunk extensions and trailers within the limits are accepted") {
  ReceivedResponse response;
  ResponseParser parser = MakeParser(response);
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=" +
      std::string(4000, 'x') +
      "\r\nhello\r\n0\r\nT: " + std::string(15000, 'y') + "\r\n\r\n";
  REQUIRE(parser.Feed(bytes).status == ParseStatus::kDone);
  REQUIRE(response.body == "hello");
}

// Guards against a cut answer that is taken for a whole one.
TEST_CASE("answers with neither a length nor chunks end with the connection") {
  REQUIRE(turmeric::http::EndsWithConnection({200, {{"Server", "x"}}}));
  REQUIRE_FALSE(
      turmeric::http::EndsWithConnection({200, {{"content-length", "0"}}}));
  REQUIRE_FALSE(turmeric::http::EndsWithConnection(
      {200, {{"Transfer-Encoding", "chunked"}}}));
  for (const int status : {100, 204, 304}) {
    REQUIRE_FALSE(turmeric::http::EndsWithConnection({status, {}}));
  }
}
