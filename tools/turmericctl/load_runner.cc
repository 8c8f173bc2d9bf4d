#include "load_runner.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTimer>
#include <algorithm>

#include "turmeric/http/one_shot_body.h"

namespace turmeric::ctl {

/** A logical request in flight. */
struct LoadRunner::OpenRequest {
  int index = 0;
  int attempt = 0;
  std::chrono::steady_clock::time_point first_sent;
};

LoadRunner::LoadRunner(int concurrency, int total, int deadline_ms,
                       int max_retries, RequestMaker make)
    : concurrency_(concurrency),
      total_(total),
      deadline_ms_(deadline_ms),
      max_retries_(max_retries),
      make_(std::move(make)) {
  // Qt 6.4 keeps at most 6 connections per host per manager.
  const int managers = std::max(1, (concurrency + 5) / 6);
  for (int i = 0; i < managers; ++i) {
    networks_.push_back(std::make_unique<QNetworkAccessManager>());
  }
}

LoadRunner::~LoadRunner() = default;

std::vector<LoadResult> LoadRunner::Run(int time_cap_ms) {
  QEventLoop loop;
  on_all_done_ = [&loop] { loop.quit(); };
  QTimer::singleShot(time_cap_ms, &loop, &QEventLoop::quit);
  for (int i = 0; i < concurrency_ && started_ < total_; ++i) StartNext();
  if (started_ > 0) loop.exec();
  on_all_done_ = nullptr;
  return results_;
}

void LoadRunner::StartNext() {
  auto open = std::make_shared<OpenRequest>();
  open->index = started_++;
  open->first_sent = std::chrono::steady_clock::now();
  results_.emplace_back();
  Send(open);
}

void LoadRunner::Send(std::shared_ptr<OpenRequest> open) {
  const LoadRequest req = make_(open->index, open->attempt);
  QNetworkRequest request{QUrl(req.url)};
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  for (const auto& [k, v] : req.headers) request.setRawHeader(k, v);
  request.setTransferTimeout(deadline_ms_ + 2000);
  QNetworkAccessManager& network = *networks_[open->index % networks_.size()];
  // An unbuffered body keeps Qt from retrying a request by itself after the
  // connection was closed, which would hide the lost connection.
  request.setHeader(QNetworkRequest::ContentLengthHeader, req.body.size());
  request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  auto* body = new http::OneShotBody(req.body, nullptr);
  QNetworkReply* reply = network.post(request, body);
  body->setParent(reply);
  connect(reply, &QNetworkReply::finished, this, [this, reply, open, req] {
    reply->deleteLater();
    const double ms = std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - open->first_sent)
                          .count();
    LoadResult& r = results_[open->index];
    r.business = req.business;
    r.latency_ms = ms;
    r.attempts = open->attempt + 1;
    r.status =
        reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    QByteArray body = reply->readAll();
    // The last event of a streamed answer contains the whole answer.
    if (body.startsWith("data:")) {
      const qsizetype last = body.lastIndexOf("data:");
      body = body.mid(last + 5).trimmed();
    }
    const QJsonObject o = QJsonDocument::fromJson(body).object();
    r.error = o.value("error").toString().toStdString();
    r.state = o.value("state").toString().toStdString();
    // The answer of an engine to a direct call contains "text" instead of
    // "output" and "state".
    if (o.contains("text")) r.state = "ran";
    const std::string output =
        (o.contains("text") ? o.value("text") : o.value("output"))
            .toString()
            .toStdString();
    // The answer must contain the nonce of this request and no other nonce.
    const bool has_own = output.find(req.nonce) != std::string::npos;
    size_t foreign_nonces = 0;
    for (size_t p = output.find("#n"); p != std::string::npos;
         p = output.find("#n", p + 2)) {
      const size_t end = output.find_first_of(" )", p);
      if (output.substr(p, end - p) != req.nonce) ++foreign_nonces;
    }
    r.misdelivered = r.state == "ran" && (!has_own || foreign_nonces > 0);
    r.complete_in_time =
        r.state == "ran" && !r.misdelivered && ms <= deadline_ms_;
    const bool transport = r.status == 0;
    const auto error = reply->error();
    if (transport && error != QNetworkReply::ConnectionRefusedError &&
        error != QNetworkReply::OperationCanceledError) {
      r.cut_ports.push_back(QUrl(req.url).port());
    }
    // Retries a request whose state is not "ran", after the delay that the
    // answer states, or at once after a transport error. MixRequest() gives all
    // attempts the same idempotency key, since the outcome may be unknown.
    const int after_ms = o.value("retry_after_ms").toInt(transport ? 0 : -1);
    const bool retryable = after_ms >= 0 && r.state != "ran";
    if (retryable && open->attempt < max_retries_ &&
        ms + after_ms < deadline_ms_) {
      ++open->attempt;
      QTimer::singleShot(after_ms, this, [this, open] { Send(open); });
      return;
    }
    ++finished_;
    if (started_ < total_) {
      StartNext();
    } else if (finished_ == started_ && on_all_done_) {
      on_all_done_();
    }
  });
}

LoadSummary Summarize(const std::vector<LoadResult>& results,
                      const std::string& business) {
  LoadSummary s;
  std::vector<double> latencies;
  for (const LoadResult& r : results) {
    if (!business.empty() && r.business != business) continue;
    ++s.count;
    s.complete_in_time += r.complete_in_time;
    s.misdelivered += r.misdelivered;
    if (r.state == "ran") {
      ++s.ran;
    } else if (r.state == "not_run") {
      ++s.not_run;
    } else if (r.state == "failed") {
      ++s.failed;
    } else if (r.state == "unknown") {
      ++s.unknown;
    } else {
      ++s.no_answer;
    }
    if (r.state != "ran") ++s.errors[r.error.empty() ? "no_answer" : r.error];
    if (r.state == "ran") latencies.push_back(r.latency_ms);
  }
  auto quantile = [&](double q) {
    if (latencies.empty()) return 0.0;
    const size_t k = std::min(latencies.size() - 1,
                              static_cast<size_t>(q * latencies.size()));
    std::ranges::nth_element(latencies, latencies.begin() + k);
    return latencies[k];
  };
  s.p50_ms = quantile(0.50);
  s.p99_ms = quantile(0.99);
  return s;
}

}  // namespace turmeric::ctl
