#include "turmeric/standins/standin_faults.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace turmeric::standins {

StandinFaults ParseFaults(const QByteArray& json) {
  const QJsonObject o = QJsonDocument::fromJson(json).object();
  StandinFaults faults;
  faults.slow_factor = o.value("slow_factor").toDouble(faults.slow_factor);
  faults.stall_rate = o.value("stall_rate").toDouble(faults.stall_rate);
  faults.fail_rate = o.value("fail_rate").toDouble(faults.fail_rate);
  faults.lose_answer_rate =
      o.value("lose_answer_rate").toDouble(faults.lose_answer_rate);
  faults.cut_stream_after =
      o.value("cut_stream_after").toInt(faults.cut_stream_after);
  faults.leaving = o.value("leaving").toBool(faults.leaving);
  return faults;
}

}  // namespace turmeric::standins
