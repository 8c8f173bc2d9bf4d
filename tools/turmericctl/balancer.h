#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <QString>
#include <QTimer>
#include <vector>

namespace turmeric::ctl {

/**
 * Stand-in for the platform's balancer: spreads requests over the entry
 * instances whose health check answers 200; two misses take one out.
 */
class Balancer : public QObject {
 public:
  /** @param base_urls the entry instances. */
  explicit Balancer(std::vector<QString> base_urls);
  /** @return the next instance in turn, preferring healthy ones. */
  QString Next();
  /** @return instances now in rotation. */
  int healthy() const;
  /** @param index an instance. @return whether it is in rotation. */
  bool healthy(int index) const;

 private:
  struct Target {
    QString url;
    int misses = 2;  ///< Out until its first good answer.
    bool probing = false;
  };
  void Probe(size_t index);

  QNetworkAccessManager network_;
  QTimer timer_;
  std::vector<Target> targets_;
  size_t next_ = 0;
};

}  // namespace turmeric::ctl
