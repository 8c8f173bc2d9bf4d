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
 * @return the context, or nullopt if the value is malformed.
 */
std::optional<TraceContext> ParseTraceparent(std::string_view header);

/**
 * @param context the context to propagate.
 * @return the `traceparent` header value for it.
 */
std::string FormatTraceparent(const TraceContext& context);

/**
 * Creates a child context with the trace id of the parent and a new span id.
 * Without a parent, starts a new sampled trace.
 * @param parent the caller's context, if any.
 * @return the child context.
 */
TraceContext ChildContext(const std::optional<TraceContext>& parent);

/** A finished span: one operation within a trace. */
struct Span {
  TraceContext context;
  std::string parent_span_id;
  std::string name;      ///< e.g. "stage.generate".
  int64_t start_us = 0;  ///< Unix time, microseconds.
  int64_t duration_us = 0;
  std::string attributes;  ///< JSON members without braces; may be empty.
};

/** Appends spans to a file as JSON lines. Thread-safe. */
class SpanSink {
 public:
  /** @param path file to append to; an empty path disables the export. */
  explicit SpanSink(std::string path);
  /** Appends a span to the file. */
  void Export(const Span& span);
  /** @return number of spans exported so far. */
  int64_t exported() const { return exported_; }

 private:
  std::string path_;
  std::mutex mu_;
  int64_t exported_ = 0;
};

/** @return microseconds since the Unix epoch. */
int64_t NowUnixMicros();

}  // namespace turmeric::utils
