#pragma once

#include <QByteArray>
#include <vector>

namespace turmeric::http {

/**
 * Splits a text/event-stream body into complete events' data fields,
 * keeping an incomplete tail for the next read.
 */
class SseParser {
 public:
  /**
   * @param bytes newly received bytes.
   * @return the `data:` payload of each event completed by them.
   */
  std::vector<QByteArray> Feed(const QByteArray& bytes);

 private:
  QByteArray buffer_;
};

/** @param data payload. @return one SSE event, "data: ...\n\n". */
QByteArray SseEvent(const QByteArray& data);

/** @param payload bytes. @return one HTTP/1.1 chunk of them. */
QByteArray HttpChunk(const QByteArray& payload);

}  // namespace turmeric::http
