#include "turmeric/utils/trace.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>

#include "turmeric/utils/random_id.h"

namespace turmeric::utils {
namespace {

constexpr size_t kTraceIdLen = 32;
constexpr size_t kSpanIdLen = 16;

bool IsLowerHex(std::string_view s) {
  return std::ranges::all_of(s, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  // "00-" + 32 + "-" + 16 + "-" + 2 = 55 characters.
  constexpr size_t kLength = 55;
  if (header.size() != kLength || header.substr(0, 3) != "00-" ||
      header[35] != '-' || header[52] != '-') {
    return std::nullopt;
  }
  TraceContext ctx{std::string(header.substr(3, kTraceIdLen)),
                   std::string(header.substr(36, kSpanIdLen)),
                   header.substr(53, 2) == "01"};
  const bool all_zero_trace =
      std::ranges::all_of(ctx.trace_id, [](char c) { return c == '0'; });
  if (!IsLowerHex(ctx.trace_id) || !IsLowerHex(ctx.span_id) || all_zero_trace) {
    return std::nullopt;
  }
  return ctx;
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

TraceContext ChildContext(const std::optional<TraceContext>& parent) {
  if (parent) return {parent->trace_id, RandomHex(kSpanIdLen), parent->sampled};
  return {RandomHex(kTraceIdLen), RandomHex(kSpanIdLen), true};
}

SpanSink::SpanSink(std::string path) : path_(std::move(path)) {}

void SpanSink::Export(const Span& span) {
  if (path_.empty()) return;
  char head[512];
  std::snprintf(head, sizeof(head),
                "{\"trace_id\":\"%s\",\"span_id\":\"%s\",\"parent_span_id\":"
                "\"%s\",\"name\":\"%s\",\"start_us\":%lld,\"duration_us\":%lld",
                span.context.trace_id.c_str(), span.context.span_id.c_str(),
                span.parent_span_id.c_str(), span.name.c_str(),
                static_cast<long long>(span.start_us),
                static_cast<long long>(span.duration_us));
  std::lock_guard lock(mu_);
  std::ofstream out(path_, std::ios::app);
  out << head;
  if (!span.attributes.empty()) {
    out << ",\"attributes\":{" << span.attributes << "}";
  }
  out << "}\n";
  ++exported_;
}

int64_t NowUnixMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace turmeric::utils
