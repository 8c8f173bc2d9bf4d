#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <QString>
#include <QTimer>
#include <vector>

namespace turmeric::ctl {

/**
 * Stand-in for the load balancer of the platform: distributes requests in turn
 * over the instances whose health check answers 200. Two failed probes in a row
 * remove an instance from rotation; one successful probe adds it again.
 */
class Balancer : public QObject {
 public:
  /** @param base_urls base URL of each instance. */
  explicit Balancer(std::vector<QString> base_urls);
  /** @return base URL of the next healthy instance in turn; of any instance if
   * none is healthy. */
  QString Next();
  /** @return number of instances in rotation. */
  int healthy() const;
  /** @param index of an instance. @return true if it is in rotation. */
  bool healthy(int index) const;

 private:
  struct Target {
    QString url;
    /** Failed probes in a row. The initial value keeps a target out of rotation
     * until its first successful probe. */
    int failed_probes = 2;
    bool probing = false;
  };
  void Probe(size_t index);

  QNetworkAccessManager network_;
  QTimer timer_;
  std::vector<Target> targets_;
  size_t next_ = 0;
};

}  // namespace turmeric::ctl
