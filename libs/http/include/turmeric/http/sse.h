#pragma once

#include <QByteArray>
#include <vector>

namespace turmeric::http {

/**
 * Extracts the data fields of complete events from a text/event-stream body.
 * An incomplete event is kept until the next call.
 */
class SseParser {
 public:
  /**
   * @param bytes newly received bytes.
   * @return the payload of each `data:` line of the events completed by them.
   */
  std::vector<QByteArray> Feed(const QByteArray& bytes);

 private:
  QByteArray buffer_;
};

/** @param data payload. @return an SSE event, "data: ...\n\n". */
QByteArray SseEvent(const QByteArray& data);

}  // namespace turmeric::http
