#include "turmeric/http/sse.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using turmeric::http::SseEvent;
using turmeric::http::SseParser;

TEST_CASE("SSE events split at any byte boundary are reassembled") {
  // A stream from an engine is received in TCP segments that end anywhere. No
  // token must be lost or merged with the next one.
  rc::prop("any split", [](std::vector<uint8_t> cuts) {
    QByteArray stream;
    for (int i = 0; i < 20; ++i) {
      stream += SseEvent("tok" + QByteArray::number(i));
    }
    SseParser parser;
    std::vector<QByteArray> got;
    qsizetype pos = 0;
    for (uint8_t c : cuts) {
      const qsizetype n = std::min<qsizetype>(c, stream.size() - pos);
      for (auto& e : parser.Feed(stream.mid(pos, n))) got.push_back(e);
      pos += n;
    }
    for (auto& e : parser.Feed(stream.mid(pos))) got.push_back(e);
    RC_ASSERT(got.size() == 20u);
    RC_ASSERT(got[19] == QByteArray("tok19"));
  });
}
