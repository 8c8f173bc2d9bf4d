#include "turmeric/http/message_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>
#include <utility>

namespace turmeric::http {

namespace {

namespace beast = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

/** Largest response head accepted from an upstream. */
constexpr uint32_t kMaxResponseHeaderBytes = 64 * 1024;
/** Longest line that begins a chunk, with its extensions. The usual line has
 * a few digits; servers that sign chunks use about 100 bytes. */
constexpr size_t kMaxChunkLineBytes = 4 * 1024;
/** Largest trailer section of a response, together with the line of the last
 * chunk. */
constexpr size_t kMaxResponseTrailerBytes = 16 * 1024;

std::string_view View(string_view text) { return {text.data(), text.size()}; }

/** Feeds a Beast parser until it is done, fails or needs more bytes. */
template <class Parser>
ParseOutcome FeedParser(Parser& parser, std::string_view bytes) {
  ParseOutcome outcome;
  while (!parser.is_done() && outcome.consumed < bytes.size()) {
    error_code ec;
    const size_t taken =
        parser.put(boost::asio::const_buffer(bytes.data() + outcome.consumed,
                                             bytes.size() - outcome.consumed),
                   ec);
    outcome.consumed += taken;
    if (ec == beast::error::need_more) return outcome;
    if (ec == beast::error::header_limit) {
      outcome.status = ParseStatus::kHeaderTooLarge;
      return outcome;
    }
    if (ec == beast::error::body_limit) {
      outcome.status = ParseStatus::kBodyTooLarge;
      return outcome;
    }
    if (ec) {
      outcome.status = ParseStatus::kMalformed;
      return outcome;
    }
    if (taken == 0) return outcome;
  }
  if (parser.is_done()) outcome.status = ParseStatus::kDone;
  return outcome;
}

/**
 * @param rest bytes of a chunked body that the parser cannot consume yet: the
 *     end of a chunk and an incomplete line, or the last chunk's line and
 *     incomplete trailers.
 * @param max_trailer_bytes limit of the trailers.
 * @return true if they exceed their limit.
 */
bool ExceedsChunkLimits(std::string_view rest, size_t max_trailer_bytes) {
  constexpr std::string_view kLineEnd = "\r\n";
  if (rest.starts_with(kLineEnd)) rest.remove_prefix(kLineEnd.size());
  const bool in_trailers = rest.find(kLineEnd) != std::string_view::npos;
  return rest.size() > (in_trailers ? max_trailer_bytes : kMaxChunkLineBytes);
}

/**
 * Feeds a Beast parser, with limits on the lines of a chunked body: the parser
 * consumes a chunk's line and the trailers only once they are complete. A peer
 * that never ends them would otherwise make the caller of this function keep
 * all bytes until a time limit.
 */
template <class Parser>
ParseOutcome FeedBounded(Parser& parser, std::string_view bytes,
                         size_t max_trailer_bytes) {
  ParseOutcome outcome = FeedParser(parser, bytes);
  if (outcome.status == ParseStatus::kNeedMore && parser.is_header_done() &&
      parser.chunked() &&
      ExceedsChunkLimits(bytes.substr(outcome.consumed), max_trailer_bytes)) {
    outcome.status = ParseStatus::kMalformed;
  }
  return outcome;
}

void CheckChunkLine(string_view extensions, error_code& ec) {
  if (extensions.size() > kMaxChunkLineBytes) {
    ec = beast::error::bad_chunk_extension;
  }
}

}  // namespace

struct RequestParser::Impl : beast::basic_parser<true> {
  RequestMessage message;
  size_t head_bytes = 0;
  size_t max_trailer_bytes = 0;
  size_t trailer_bytes = 0;

  void on_request_impl(beast::verb /*method*/, string_view method,
                       string_view target, int /*version*/,
                       error_code& /*ec*/) override {
    message.method = View(method);
    message.target = View(target);
  }
  void on_response_impl(int, string_view, int, error_code&) override {}
  void on_field_impl(beast::field, string_view name, string_view value,
                     error_code& ec) override {
    if (is_header_done()) {
      // Trailers are dropped (RFC 9112 7.1.2): among the header fields, which
      // have been checked already, one could add a second Host or a key.
      trailer_bytes += name.size() + value.size();
      if (trailer_bytes > max_trailer_bytes) ec = beast::error::header_limit;
      return;
    }
    message.headers.push_back(
        {std::string(View(name)), std::string(View(value))});
  }
  void on_header_impl(error_code& ec) override {
    // Guard against request smuggling: Beast reads a body with an unknown
    // transfer coding as empty and the bytes after the head as the next
    // request. An upstream that reads the body otherwise would run a request
    // that no client sent. A request with two Host fields can likewise be read
    // as two different requests.
    for (const HeaderField& field : message.headers) {
      if (EqualsIgnoringCase(field.name, "Transfer-Encoding") &&
          !EqualsIgnoringCase(field.value, "chunked")) {
        ec = beast::error::bad_transfer_encoding;
      }
    }
    const auto hosts =
        std::ranges::count_if(message.headers, [](const HeaderField& field) {
          return EqualsIgnoringCase(field.name, "Host");
        });
    if (hosts > 1) ec = beast::error::bad_field;
    message.headers.shrink_to_fit();
    head_bytes = message.target.size() + HeadBytes(message.headers);
  }
  void on_body_init_impl(boost::optional<std::uint64_t> const& length,
                         error_code&) override {
    if (length) message.body.reserve(static_cast<size_t>(*length));
  }
  size_t on_body_impl(string_view body, error_code&) override {
    message.body.append(View(body));
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view extensions,
                            error_code& ec) override {
    CheckChunkLine(extensions, ec);
  }
  size_t on_chunk_body_impl(std::uint64_t, string_view body,
                            error_code&) override {
    message.body.append(View(body));
    return body.size();
  }
  void on_finish_impl(error_code&) override {}
};

RequestParser::RequestParser(size_t max_header_bytes, size_t max_body_bytes)
    : impl_(std::make_unique<Impl>()) {
  impl_->max_trailer_bytes = max_header_bytes;
  impl_->header_limit(static_cast<uint32_t>(max_header_bytes));
  impl_->body_limit(max_body_bytes);
}

RequestParser::~RequestParser() = default;

ParseOutcome RequestParser::Feed(std::string_view bytes) {
  return FeedBounded(*impl_, bytes, impl_->max_trailer_bytes);
}

bool RequestParser::head_done() const { return impl_->is_header_done(); }

bool RequestParser::keep_alive() const { return impl_->keep_alive(); }

size_t RequestParser::head_bytes() const { return impl_->head_bytes; }

size_t RequestParser::body_bytes() const { return impl_->message.body.size(); }

std::optional<uint64_t> RequestParser::announced_length() const {
  const auto length = impl_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

RequestMessage& RequestParser::message() { return impl_->message; }

struct ResponseParser::Impl : beast::basic_parser<false> {
  ResponseSink sink;
  ResponseHead head;
  size_t trailer_bytes = 0;

  void on_request_impl(beast::verb, string_view, string_view, int,
                       error_code&) override {}
  void on_response_impl(int code, string_view, int, error_code&) override {
    head.status = code;
  }
  void on_field_impl(beast::field, string_view name, string_view value,
                     error_code& ec) override {
    if (is_header_done()) {
      // Trailers are not forwarded.
      trailer_bytes += name.size() + value.size();
      if (trailer_bytes > kMaxResponseTrailerBytes) {
        ec = beast::error::header_limit;
      }
      return;
    }
    head.headers.push_back({std::string(View(name)), std::string(View(value))});
  }
  void on_header_impl(error_code&) override { sink.on_head(std::move(head)); }
  void on_body_init_impl(boost::optional<std::uint64_t> const&,
                         error_code&) override {}
  size_t on_body_impl(string_view body, error_code&) override {
    sink.on_body(View(body));
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view extensions,
                            error_code& ec) override {
    CheckChunkLine(extensions, ec);
  }
  size_t on_chunk_body_impl(std::uint64_t, string_view body,
                            error_code&) override {
    if (!body.empty()) sink.on_body(View(body));
    return body.size();
  }
  void on_finish_impl(error_code&) override {}
};

ResponseParser::ResponseParser(ResponseSink sink)
    : impl_(std::make_unique<Impl>()) {
  impl_->sink = std::move(sink);
  impl_->header_limit(kMaxResponseHeaderBytes);
  // Beast 1.74 treats boost::none as a limit that every body exceeds.
  impl_->body_limit(std::numeric_limits<std::uint64_t>::max());
}

ResponseParser::~ResponseParser() = default;

ParseOutcome ResponseParser::Feed(std::string_view bytes) {
  return FeedBounded(*impl_, bytes, kMaxResponseTrailerBytes);
}

bool ResponseParser::FeedEnd() {
  if (!impl_->got_some() || !impl_->is_header_done()) return false;
  if (!impl_->need_eof()) return false;
  error_code ec;
  impl_->put_eof(ec);
  return !ec;
}

void ResponseParser::ExpectNoBody() { impl_->skip(true); }

bool ResponseParser::started() const { return impl_->got_some(); }

bool ResponseParser::keep_alive() const { return impl_->keep_alive(); }

}  // namespace turmeric::http
