#pragma once

#include <QByteArray>
#include <QIODevice>

namespace turmeric::http {

/** A request body that can be read once and not rewound, so that Qt cannot send
 * it a second time. */
class OneShotBody : public QIODevice {
 public:
  /** @param bytes the body. @param parent Qt owner. */
  OneShotBody(QByteArray bytes, QObject* parent);
  bool isSequential() const override { return true; }
  bool reset() override { return false; }
  qint64 bytesAvailable() const override;

 protected:
  qint64 readData(char* data, qint64 max_size) override;
  qint64 writeData(const char*, qint64) override { return -1; }

 private:
  QByteArray bytes_;
  qint64 position_ = 0;
};

}  // namespace turmeric::http
