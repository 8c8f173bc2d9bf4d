#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::utils {

/** A W3C trace context (https://www.w3.org/TR/trace-context/). */
struct TraceContext {
  std::string trace_id;  ///< 32 lowercase hex digits.
  std::string span_id;   ///< 16 lowercase hex digits.
  bool sampled = true;
};

/**
 * Parses a `traceparent` header value ("00-<trace>-<span>-<flags>").
 * @param header the header value as received.
 * @return the context, or nothing if the value is malformed.
 */
std::optional<TraceContext> ParseTraceparent(std::string_view header);

/**
 * @param context the context to send on.
 * @return the `traceparent` header value for it.
 */
std::string FormatTraceparent(const TraceContext& context);

/**
 * Starts a child context: same trace, fresh span id. With no parent, a new
 * trace is started.
 * @param parent the caller's context, if any.
 * @return the child context.
 */
TraceContext ChildContext(const std::optional<TraceContext>& parent);

/** One finished span, one hop of a request. */
struct Span {
  TraceContext context;
  std::string parent_span_id;
  std::string name;      ///< e.g. "stage.generate".
  int64_t start_us = 0;  ///< Unix time, microseconds.
  int64_t duration_us = 0;
  std::string attributes;  ///< Pre-rendered JSON object body, may be empty.
};

/** Writes spans as JSON lines to a file; thread-safe. Empty path: off. */
class SpanSink {
 public:
  /** @param path file to append to; empty disables export. */
  explicit SpanSink(std::string path);
  /** @param span the span to export. */
  void Export(const Span& span);
  /** @return spans exported so far. */
  int64_t exported() const { return exported_; }

 private:
  std::string path_;
  std::mutex mu_;
  int64_t exported_ = 0;
};

/** @return microseconds since the Unix epoch. */
int64_t NowUnixMicros();

}  // namespace turmeric::utils
