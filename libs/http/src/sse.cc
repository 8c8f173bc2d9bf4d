#include "turmeric/http/sse.h"

#include <QList>

namespace turmeric::http {

std::vector<QByteArray> SseParser::Feed(const QByteArray& bytes) {
  buffer_.append(bytes);
  std::vector<QByteArray> events;
  qsizetype end = 0;
  while ((end = buffer_.indexOf("\n\n")) >= 0) {
    const QByteArray event = buffer_.left(end);
    buffer_.remove(0, end + 2);
    for (const QByteArray& line : event.split('\n')) {
      if (line.startsWith("data:")) events.push_back(line.mid(5).trimmed());
    }
  }
  return events;
}

QByteArray SseEvent(const QByteArray& data) { return "data: " + data + "\n\n"; }

}  // namespace turmeric::http
