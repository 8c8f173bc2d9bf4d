#include "turmeric/gateway/run_handler.h"

#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <algorithm>
#include <optional>
#include <utility>

#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/answer_json.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/http/router_server.h"
#include "turmeric/http/sse.h"
#include "turmeric/utils/random_id.h"

namespace turmeric::gateway {

using utils::Errc;
using utils::RunState;

namespace {

constexpr int kNetworkManagers = 4;
constexpr size_t kIncarnationDigits = 8;
constexpr int64_t kMicrosPerMs = 1000;
constexpr int kStatusOk = 200;

}  // namespace

/** One caller's request, from arrival to answer. */
struct RunHandler::Exchange {
  std::string request_id;
  std::optional<http::Responder> responder;
  ParsedRun parsed;
  Clock::time_point received;
  int64_t start_us = 0;
  bool run_ended = false;
  QPointer<PipelineRun> runner;  ///< Null before the run starts.
  Claim seen;  ///< What the claim was on arrival, if not idempotent.
  std::optional<Claim> owned;  ///< Held until completed or released.

  const config::ResolvedSettings& settings() const {
    return parsed.run.settings;
  }
};

RunHandler::RunHandler(const config::InstanceSettings& settings,
                       const config::SettingsTree& tree, StoreService& store,
                       std::function<int()> live_instances)
    : settings_(settings),
      tree_(tree),
      store_(store),
      live_instances_(std::move(live_instances)),
      incarnation_(utils::RandomHex(kIncarnationDigits)),
      spans_(settings.trace_path),
      claims_(store.store(), settings.name),
      rng_(std::random_device{}()) {
  for (int i = 0; i < kNetworkManagers; ++i) {
    networks_.push_back(std::make_unique<QNetworkAccessManager>());
    fresh_networks_.push_back(std::make_unique<QNetworkAccessManager>());
  }
}

RunHandler::~RunHandler() = default;

template <class Work, class Done>
void RunHandler::OnStore(Work work, Done done) {
  ++store_work_;
  store_.executor().Run(this, std::move(work),
                        [this, done = std::move(done)](auto result) mutable {
                          --store_work_;
                          done(std::move(result));
                        });
}

int64_t RunHandler::KeepUntilUnixMs() const {
  constexpr int64_t kMsPerSecond = 1000;
  return utils::NowUnixMicros() / kMicrosPerMs +
         settings_.claim_retention_s * kMsPerSecond;
}

void RunHandler::NoteStore(bool answers) {
  if (answers) {
    store_down_since_.reset();
  } else if (!store_down_since_) {
    store_down_since_ = Clock::now();
  }
}

int RunHandler::RetryAfterMs(Errc code) const {
  const int usual = utils::RetryAfterMs(code);
  if (code != Errc::kStoreUnavailable || !store_down_since_) return usual;
  // An outage that has lasted a while is likely to last as long again; a
  // fixed short wait made callers spend their resends inside it.
  constexpr int kLongestMs = 1000;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - *store_down_since_);
  return std::clamp(static_cast<int>(age.count()), usual, kLongestMs);
}

void RunHandler::Refuse(Exchange& exchange, Errc code, std::string_view detail,
                        RunState state) {
  const config::ResolvedSettings& s = exchange.settings();
  auto label = [](const std::string& name) {
    return name.empty() ? "-" : name;
  };
  metrics_.OnRequest(label(s.business), label(s.pipeline),
                     utils::RunStateName(state), utils::ErrcName(code), 0,
                     false);
  http::WriteJson(
      *exchange.responder, utils::HttpStatus(code),
      ErrorJson(exchange.request_id, code, detail, state, RetryAfterMs(code)),
      AnswerHeaders(exchange.request_id, RetryAfterMs(code)));
  exchange.responder.reset();
}

void RunHandler::Handle(const QHttpServerRequest& request,
                        http::Responder&& responder) {
  auto exchange = std::make_shared<Exchange>();
  exchange->received = Clock::now();
  exchange->start_us = utils::NowUnixMicros();
  exchange->request_id = settings_.name + "-" + incarnation_ + "-" +
                         std::to_string(++next_request_);
  exchange->responder.emplace(std::move(responder));
  // Kept, the connection would carry a request just when the process exits.
  if (admission_.draining()) exchange->responder->CloseAfterResponse();
  if (!ready()) {
    // Guard: an instance that has not read the settings knows no pipeline;
    // "unknown pipeline" would turn a proper request away for good.
    Refuse(*exchange, Errc::kNotReady, "settings not read yet",
           request.value("idempotency-key").isEmpty() ? RunState::kNotRun
                                                      : RunState::kUnknown);
    return;
  }
  auto parsed =
      ParseRun({request.url().path(), request.body(),
                request.value("idempotency-key"), request.value("traceparent")},
               tree_);
  if (!parsed) {
    Refuse(*exchange, parsed.error().code, parsed.error().detail,
           RunState::kNotRun);
    return;
  }
  exchange->parsed = std::move(parsed).value();
  const ParsedRun& p = exchange->parsed;
  if (const Errc admit =
          admission_.TryAdmit(p.run.settings, p.deadline_ms, live_instances_());
      admit != Errc::kOk) {
    // Guard: an earlier attempt with this idempotency key may have run on
    // another instance (killed before it answered). This attempt has not
    // looked at the claim, so it cannot say "not run" for the request; it
    // says "unknown" and when to come back with the same key.
    Refuse(*exchange, admit, "not admitted; this attempt ran nothing",
           p.idempotent ? RunState::kNotRun : RunState::kUnknown);
    return;
  }
  open_.insert(exchange);
  if (p.idempotent) {
    StartRun(exchange);
  } else {
    LookUpClaim(exchange);
  }
}

void RunHandler::LookUpClaim(const ExchangeRef& exchange) {
  OnStore(
      [this, subject = exchange->parsed.subject] {
        return claims_.Lookup(subject);
      },
      [this, exchange](const Claim& claim) {
        if (killed_ || exchange->run_ended) return;
        NoteStore(claim.state != ClaimState::kStoreDown);
        switch (claim.state) {
          case ClaimState::kFree:
          case ClaimState::kOwned:
            exchange->seen = claim;
            StartRun(exchange);
            return;
          case ClaimState::kDone:
            WriteReplay(*exchange, claim.result);
            break;
          case ClaimState::kOtherRequest:
            Refuse(*exchange, Errc::kIdempotencyKeyReused,
                   "the idempotency key stands for another request",
                   RunState::kNotRun);
            break;
          case ClaimState::kInFlightElsewhere:
            Refuse(*exchange, Errc::kDuplicateInFlight,
                   "this idempotency key is claimed by another attempt; its "
                   "outcome is not known here",
                   RunState::kUnknown);
            break;
          case ClaimState::kStoreDown:
            // Guard: with the store unreadable we cannot tell whether an
            // earlier attempt with this key ran (found by the faults
            // scenario: a retry after a killed instance was told "not run"
            // for a printed notice).
            Refuse(*exchange, Errc::kStoreUnavailable,
                   "cannot read the idempotency key's claim; this attempt ran "
                   "nothing, an earlier one may have",
                   RunState::kUnknown);
            break;
        }
        Leave(exchange);
      });
}

void RunHandler::StartRun(const ExchangeRef& exchange) {
  RunRequest run = exchange->parsed.run;
  run.request_id = exchange->request_id;
  run.deadline = exchange->received +
                 std::chrono::milliseconds(exchange->parsed.deadline_ms);
  if (!exchange->parsed.idempotent) {
    run.acquire_claim = [this,
                         exchange](std::function<void(const Claim&)> done) {
      AcquireClaim(exchange, std::move(done));
    };
  }
  if (run.stream) {
    exchange->responder->StartStream(
        "text/event-stream",
        AnswerHeaders(exchange->request_id, utils::RetryAfterMs(Errc::kOk)));
  }
  const size_t lane = next_request_ % networks_.size();
  const RunContext context{networks_[lane].get(),
                           fresh_networks_[lane].get(),
                           &pools_,
                           &metrics_,
                           &spans_,
                           &rng_};
  auto* runner = new PipelineRun(
      context, std::move(run),
      [exchange](const QByteArray& token) {
        const QJsonObject event{{"token", QString::fromUtf8(token)}};
        exchange->responder->WriteChunk(http::SseEvent(
            QJsonDocument(event).toJson(QJsonDocument::Compact)));
      },
      [this, exchange](const RunAnswer& answer) {
        OnRunDone(exchange, answer);
      });
  exchange->runner = runner;
  exchange->responder->OnDisconnected([runner = QPointer<PipelineRun>(runner)] {
    if (runner) runner->Cancel();
  });
  runner->Start();
}

void RunHandler::AcquireClaim(const ExchangeRef& exchange,
                              std::function<void(const Claim&)> done) {
  OnStore([this, seen = exchange->seen,
           keep = KeepUntilUnixMs()] { return claims_.Acquire(seen, keep); },
          [this, exchange, done = std::move(done)](const Claim& claim) {
            if (killed_) return;
            NoteStore(claim.state != ClaimState::kStoreDown);
            if (claim.state == ClaimState::kOwned) {
              exchange->owned = claim;
              // The run ended (deadline, caller gone) while the claim was on
              // its way; nothing was sent under it.
              if (exchange->run_ended) {
                SettleClaim(*exchange, RunAnswer{}, {});
                return;
              }
            }
            done(claim);
          });
}

void RunHandler::SettleClaim(Exchange& exchange, const RunAnswer& answer,
                             const QByteArray& body) {
  if (!exchange.owned) return;
  const Claim claim = *std::exchange(exchange.owned, std::nullopt);
  if (answer.state == RunState::kRan) {
    OnStore(
        [this, claim, body = body.toStdString(), keep = KeepUntilUnixMs()] {
          return claims_.Complete(claim, body, keep);
        },
        [](bool) {});
  } else if (answer.state != RunState::kUnknown) {
    // Nothing that may not be repeated ran: free the key for a retry.
    OnStore(
        [this, claim] {
          claims_.Release(claim);
          return true;
        },
        [](bool) {});
  }
  // kUnknown: the claim stays, so that no other attempt can run it again.
}

void RunHandler::Record(const Exchange& exchange, const RunAnswer& answer) {
  const config::ResolvedSettings& s = exchange.settings();
  const double seconds =
      std::chrono::duration<double>(Clock::now() - exchange.received).count();
  constexpr double kMsPerSecond = 1000.0;
  metrics_.OnRequest(s.business, s.pipeline, utils::RunStateName(answer.state),
                     utils::ErrcName(answer.code), seconds,
                     answer.state == RunState::kRan &&
                         seconds * kMsPerSecond <= exchange.parsed.deadline_ms);
  spans_.Export({exchange.parsed.run.trace, "", "request." + s.pipeline,
                 exchange.start_us, utils::NowUnixMicros() - exchange.start_us,
                 "\"business\":\"" + s.business + "\",\"state\":\"" +
                     std::string(utils::RunStateName(answer.state)) + "\""});
}

void RunHandler::WriteReplay(Exchange& exchange, const std::string& body) {
  RunAnswer replayed;
  replayed.state = RunState::kRan;
  Record(exchange, replayed);
  http::Headers headers =
      AnswerHeaders(exchange.request_id, utils::RetryAfterMs(Errc::kOk));
  headers.emplace_back("x-replayed", "1");
  http::WriteJson(*exchange.responder, kStatusOk,
                  QByteArray::fromStdString(body), headers);
  exchange.responder.reset();
}

void RunHandler::OnRunDone(const ExchangeRef& exchange,
                           const RunAnswer& answer) {
  // A killed process records nothing: its claims stay as they were.
  if (killed_) return;
  Leave(exchange);
  const bool stream = exchange->parsed.run.stream;
  if (!answer.replay.empty() && !stream) {
    WriteReplay(*exchange, answer.replay);
    return;
  }
  const QByteArray body =
      answer.replay.empty()
          ? AnswerJson(exchange->request_id, exchange->settings(), answer,
                       RetryAfterMs(answer.code))
          : QByteArray::fromStdString(answer.replay);
  SettleClaim(*exchange, answer, body);
  Record(*exchange, answer);
  if (stream) {
    exchange->responder->WriteChunk(http::SseEvent(body));
    if (answer.cut_off) {
      exchange->responder->CloseAfterSending();
    } else {
      exchange->responder->EndStream();
    }
  } else {
    http::WriteJson(
        *exchange->responder, utils::HttpStatus(answer.code), body,
        AnswerHeaders(exchange->request_id, RetryAfterMs(answer.code)));
  }
  exchange->responder.reset();
}

void RunHandler::Leave(const ExchangeRef& exchange) {
  exchange->run_ended = true;
  admission_.Release(exchange->settings());
  open_.erase(exchange);
}

int RunHandler::EndOpen() {
  const auto open = open_;  // ending a request takes it out
  for (const auto& entry : open) {
    const ExchangeRef exchange = entry.lock();
    if (!exchange) continue;
    if (exchange->runner) {
      exchange->runner->CutOff();
    } else {
      // Its claim is still being read: an earlier attempt may have run.
      Refuse(*exchange, Errc::kDraining, "the instance stopped; ran nothing",
             RunState::kUnknown);
      Leave(exchange);
    }
  }
  return static_cast<int>(open.size());
}

void RunHandler::Recover() {
  if (recovering_ || claims_.pending() == 0) return;
  recovering_ = true;
  OnStore(
      [this] {
        claims_.Recover();
        return true;
      },
      [this](bool) { recovering_ = false; });
}

void RunHandler::Kill() {
  killed_ = true;
  admission_.StartDrain();
}

bool RunHandler::ready() const { return tree_.synced(); }

bool RunHandler::idle() const {
  return admission_.inflight() == 0 && store_work_ == 0 &&
         claims_.pending() == 0;
}

}  // namespace turmeric::gateway
