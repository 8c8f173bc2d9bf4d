#include "turmeric/utils/trace.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

using turmeric::utils::ChildContext;
using turmeric::utils::FormatTraceparent;
using turmeric::utils::ParseTraceparent;

TEST_CASE("traceparent round-trips and child contexts keep the trace id") {
  rc::prop("parsing a formatted context returns the context",
           [](bool has_parent) {
             auto root = ChildContext(std::nullopt);
             auto ctx = has_parent ? ChildContext(root) : root;
             auto parsed = ParseTraceparent(FormatTraceparent(ctx));
             RC_ASSERT(parsed.has_value());
             RC_ASSERT(parsed->trace_id == root.trace_id);
             RC_ASSERT(parsed->span_id == ctx.span_id);
           });
}

TEST_CASE("malformed traceparent headers are refused") {
  // Guards against propagating an invalid trace context to upstreams. If the
  // header is refused, the request starts a new trace. The malformed values are
  // truncated, upper-case and all-zero.
  CHECK_FALSE(ParseTraceparent("00-abc"));
  CHECK_FALSE(ParseTraceparent(
      "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01"));
  CHECK_FALSE(ParseTraceparent(
      "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
  CHECK(ParseTraceparent(
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
}
