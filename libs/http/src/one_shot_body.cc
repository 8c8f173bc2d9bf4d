#include "turmeric/http/one_shot_body.h"

#include <algorithm>

namespace turmeric::http {

OneShotBody::OneShotBody(QByteArray bytes, QObject* parent)
    : QIODevice(parent), bytes_(std::move(bytes)) {
  open(QIODevice::ReadOnly);
}

qint64 OneShotBody::bytesAvailable() const {
  return bytes_.size() - position_ + QIODevice::bytesAvailable();
}

qint64 OneShotBody::readData(char* data, qint64 max_size) {
  const qint64 n = std::min<qint64>(max_size, bytes_.size() - position_);
  if (n <= 0) return position_ >= bytes_.size() ? -1 : 0;
  std::copy_n(bytes_.constData() + position_, n, data);
  position_ += n;
  return n;
}

}  // namespace turmeric::http
