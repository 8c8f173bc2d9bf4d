#include "turmeric/standins/standin_faults.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace turmeric::standins {

StandinFaults ParseFaults(const QByteArray& json) {
  const QJsonObject o = QJsonDocument::fromJson(json).object();
  StandinFaults faults;
  faults.slow_factor = o.value("slow_factor").toDouble(faults.slow_factor);
  faults.fail_rate = o.value("fail_rate").toDouble(faults.fail_rate);
  faults.leaving = o.value("leaving").toBool(faults.leaving);
  return faults;
}

}  // namespace turmeric::standins
