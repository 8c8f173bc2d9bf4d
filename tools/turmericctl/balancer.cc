#include "balancer.h"

#include <QNetworkReply>
#include <algorithm>

namespace turmeric::ctl {

namespace {
constexpr int kProbeEveryMs = 250;
constexpr int kProbeTimeoutMs = 250;
constexpr int kFailedProbesToRemove = 2;
constexpr int kStatusOk = 200;
}  // namespace

Balancer::Balancer(std::vector<QString> base_urls) {
  std::ranges::transform(base_urls, std::back_inserter(targets_),
                         [](const QString& url) { return Target{url}; });
  connect(&timer_, &QTimer::timeout, this, [this] {
    for (size_t i = 0; i < targets_.size(); ++i) Probe(i);
  });
  timer_.start(kProbeEveryMs);
}

void Balancer::Probe(size_t index) {
  Target& target = targets_[index];
  if (target.probing) return;
  target.probing = true;
  QNetworkRequest request(QUrl(target.url + "/healthz"));
  request.setTransferTimeout(kProbeTimeoutMs);
  QNetworkReply* reply = network_.get(request);
  connect(reply, &QNetworkReply::finished, this, [this, reply, index] {
    Target& probed = targets_[index];
    probed.probing = false;
    const int status =
        reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    probed.failed_probes = status == kStatusOk ? 0 : probed.failed_probes + 1;
    reply->deleteLater();
  });
}

QString Balancer::Next() {
  for (size_t i = 0; i < targets_.size(); ++i) {
    const Target& target = targets_[next_++ % targets_.size()];
    if (target.failed_probes < kFailedProbesToRemove) return target.url;
  }
  return targets_[next_++ % targets_.size()].url;
}

int Balancer::healthy() const {
  return static_cast<int>(std::ranges::count_if(targets_, [](const Target& t) {
    return t.failed_probes < kFailedProbesToRemove;
  }));
}

bool Balancer::healthy(int index) const {
  return targets_[index].failed_probes < kFailedProbesToRemove;
}

}  // namespace turmeric::ctl
