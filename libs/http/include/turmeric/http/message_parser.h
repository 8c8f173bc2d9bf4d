#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "turmeric/http/message.h"

namespace turmeric::http {

/** How far a parser got with the bytes it was given. */
enum class ParseStatus {
  kNeedMore,        ///< The message goes on.
  kDone,            ///< The message is complete; later bytes are not its own.
  kMalformed,       ///< Not HTTP/1.1, or its framing contradicts itself.
  kHeaderTooLarge,  ///< The head exceeds the limit.
  kBodyTooLarge,    ///< The body exceeds the limit.
};

/** What one feed of bytes came to. */
struct ParseOutcome {
  ParseStatus status = ParseStatus::kNeedMore;
  size_t consumed = 0;  ///< Bytes taken; the rest must be offered again.
};

/** Reads one request, whole, in memory (Boost.Beast's parser). */
class RequestParser {
 public:
  /**
   * @param max_header_bytes limit of the head, bytes.
   * @param max_body_bytes limit of the body, bytes.
   */
  RequestParser(size_t max_header_bytes, size_t max_body_bytes);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /** @param bytes what has arrived and was not consumed. @return progress. */
  ParseOutcome Feed(std::string_view bytes);
  /** @return true once the head is complete. */
  bool head_done() const;
  /** @return true if the client wants the connection kept open. */
  bool keep_alive() const;
  /** @return the request read so far. */
  RequestMessage& message();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/** Called as an answer is read. */
struct ResponseSink {
  std::function<void(ResponseHead&&)> on_head;
  std::function<void(std::string_view)> on_body;
};

/** Reads one answer, passing its body on as it arrives. */
class ResponseParser {
 public:
  /** @param sink gets the head and the body's bytes. */
  explicit ResponseParser(ResponseSink sink);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /** @param bytes what has arrived and was not consumed. @return progress. */
  ParseOutcome Feed(std::string_view bytes);
  /**
   * The peer has closed in order.
   * @return true if that completes the answer (a body without a length).
   */
  bool FeedEnd();
  /** The answer has no body whatever its head says: it answers HEAD. */
  void ExpectNoBody();
  /** @return true once any byte of the answer was taken. */
  bool started() const;
  /** @return true if the connection may carry another request. */
  bool keep_alive() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace turmeric::http
