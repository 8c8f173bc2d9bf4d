#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "turmeric/http/message.h"

namespace turmeric::http {

/** State of a parser after a call of Feed. */
enum class ParseStatus {
  kNeedMore,        ///< The message is incomplete.
  kDone,            ///< The message is complete; no more bytes are consumed.
  kMalformed,       ///< Not HTTP/1.1, contradictory framing, or a chunk line
                    ///< or trailers beyond their limits.
  kHeaderTooLarge,  ///< The head or complete trailers exceed the limit.
  kBodyTooLarge,    ///< The body exceeds the limit.
};

/** Result of one call of Feed. */
struct ParseOutcome {
  ParseStatus status = ParseStatus::kNeedMore;
  size_t consumed = 0;  ///< Bytes taken; the caller feeds the rest again.
};

/** Parses one request into memory, with the parser of Boost.Beast. */
class RequestParser {
 public:
  /**
   * @param max_header_bytes limit of the head, and of the trailers, bytes.
   * @param max_body_bytes limit of the body, bytes.
   */
  RequestParser(size_t max_header_bytes, size_t max_body_bytes);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /** @param bytes received bytes not consumed yet. @return the outcome. */
  ParseOutcome Feed(std::string_view bytes);
  /** @return true once the head is complete. */
  bool head_done() const;
  /** @return true if the client wants the connection kept open. */
  bool keep_alive() const;
  /** @return bytes of memory that the complete head holds; 0 before. */
  size_t head_bytes() const;
  /** @return bytes of the body parsed so far. */
  size_t body_bytes() const;
  /** @return the length of the body that the head announces; nullopt: none. */
  std::optional<uint64_t> announced_length() const;
  /** @return the part of the request parsed so far. */
  RequestMessage& message();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Callbacks of ResponseParser. */
struct ResponseSink {
  std::function<void(ResponseHead&&)> on_head;
  std::function<void(std::string_view)> on_body;
};

/** Parses one response and passes its body on as it is received. */
class ResponseParser {
 public:
  /** @param sink called with the head and with each part of the body. */
  explicit ResponseParser(ResponseSink sink);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /** @param bytes received bytes not consumed yet. @return the outcome. */
  ParseOutcome Feed(std::string_view bytes);
  /**
   * Signals an orderly close of the connection by the peer.
   * @return true if it completes the response (a body without a length).
   */
  bool FeedEnd();
  /** Expects no body whatever the head states, as the response to HEAD. */
  void ExpectNoBody();
  /** @return true once any byte of the response has been consumed. */
  bool started() const;
  /** @return true if the connection may carry another request. */
  bool keep_alive() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace turmeric::http
