#include "turmeric/gateway/run_handler.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <algorithm>
#include <optional>
#include <utility>

#include "turmeric/config/settings_tree.h"
#include "turmeric/gateway/answer_json.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/http/http_request.h"
#include "turmeric/http/router_server.h"
#include "turmeric/http/sse.h"
#include "turmeric/memory/charge.h"
#include "turmeric/memory/memory_account.h"
#include "turmeric/memory/reception.h"
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

/** One request of a caller, from arrival to answer. */
struct RunHandler::Exchange {
  /** Only a large request is charged. */
  Exchange(memory::MemoryAccount& memory, size_t body_bytes)
      : charge(
            memory, memory::BufferKind::kCallerRequest,
            memory::IsLarge(body_bytes) ? memory::HeldBytes(body_bytes) : 0) {}

  memory::Charge charge;
  std::string request_id;
  std::optional<http::Responder> responder;
  ParsedRunRequest parsed;
  Clock::time_point received;
  int64_t start_us = 0;
  bool run_ended = false;
  QPointer<PipelineRun> runner;  ///< Null before the run starts.
  Claim observed;  ///< Result of the lookup on arrival, if not idempotent.
  /** Set from acquisition to completion or release. */
  std::optional<Claim> owned;

  const config::ResolvedSettings& settings() const {
    return parsed.run.settings;
  }
};

RunHandler::RunHandler(const config::InstanceSettings& settings,
                       const config::SettingsTree& tree, StoreService& store,
                       memory::MemoryAccount& memory,
                       std::function<int()> live_instances)
    : settings_(settings),
      tree_(tree),
      store_(store),
      memory_(memory),
      live_instances_(std::move(live_instances)),
      incarnation_(utils::RandomHex(kIncarnationDigits)),
      spans_(settings.trace_path),
      claims_(store.store(), settings.name),
      rng_(std::random_device{}()) {
  for (int i = 0; i < kNetworkManagers; ++i) {
    networks_.push_back(std::make_unique<QNetworkAccessManager>());
    non_persistent_networks_.push_back(
        std::make_unique<QNetworkAccessManager>());
  }
}

RunHandler::~RunHandler() = default;

template <class Work, class Done>
void RunHandler::RunOnStoreThread(Work work, Done done) {
  ++open_store_calls_;
  store_.executor().Run(this, std::move(work),
                        [this, done = std::move(done)](auto result) mutable {
                          --open_store_calls_;
                          done(std::move(result));
                        });
}

int64_t RunHandler::ClaimExpiryUnixMs() const {
  constexpr int64_t kMsPerSecond = 1000;
  return utils::NowUnixMicros() / kMicrosPerMs +
         settings_.claim_retention_s * kMsPerSecond;
}

void RunHandler::RecordStoreResult(bool responded) {
  if (responded) {
    store_outage_since_.reset();
  } else if (!store_outage_since_) {
    store_outage_since_ = Clock::now();
  }
}

int RunHandler::RetryAfterMs(Errc code) const {
  const int base_ms = utils::RetryAfterMs(code);
  if (code != Errc::kStoreUnavailable || !store_outage_since_) return base_ms;
  // An outage is likely to last as long again as it has lasted so far. With a
  // short fixed delay callers use up their retries during the outage.
  constexpr int kMaxRetryAfterMs = 1000;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - *store_outage_since_);
  return std::clamp(static_cast<int>(age.count()), base_ms, kMaxRetryAfterMs);
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

void RunHandler::Handle(const http::HttpRequest& request,
                        http::Responder&& responder) {
  auto exchange = std::make_shared<Exchange>(
      memory_, static_cast<size_t>(request.body().size()));
  exchange->received = Clock::now();
  exchange->start_us = utils::NowUnixMicros();
  exchange->request_id = settings_.name + "-" + incarnation_ + "-" +
                         std::to_string(++next_request_);
  exchange->responder.emplace(std::move(responder));
  // Closes the connection after the answer: a kept connection could carry a new
  // request just as the process exits.
  if (admission_.draining()) exchange->responder->CloseAfterResponse();
  if (!ready()) {
    // Guard: before the settings are read no pipeline is known, and "unknown
    // pipeline" would reject a valid request permanently.
    Refuse(*exchange, Errc::kNotReady, "the settings have not been read yet",
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
  const ParsedRunRequest& p = exchange->parsed;
  if (const Errc admit =
          admission_.TryAdmit(p.run.settings, p.deadline_ms, live_instances_());
      admit != Errc::kOk) {
    // Guard: an earlier attempt with this idempotency key may have run on
    // another instance that was killed before it answered. This attempt has not
    // read the claim, so it cannot answer "not run"; it answers "unknown" with
    // a Retry-After delay, and the caller retries with the same key.
    Refuse(*exchange, admit, "not admitted; this attempt ran nothing",
           p.idempotent ? RunState::kNotRun : RunState::kUnknown);
    return;
  }
  open_exchanges_.insert(exchange);
  if (p.idempotent) {
    StartRun(exchange);
  } else {
    LookUpClaim(exchange);
  }
}

void RunHandler::LookUpClaim(const ExchangeRef& exchange) {
  RunOnStoreThread(
      [this, subject = exchange->parsed.subject] {
        return claims_.Lookup(subject);
      },
      [this, exchange](const Claim& claim) {
        if (killed_ || exchange->run_ended) return;
        RecordStoreResult(claim.state != ClaimState::kStoreUnreachable);
        switch (claim.state) {
          case ClaimState::kFree:
          case ClaimState::kOwned:
            exchange->observed = claim;
            StartRun(exchange);
            return;
          case ClaimState::kDone:
            WriteReplay(*exchange, claim.result);
            break;
          case ClaimState::kKeyReused:
            Refuse(*exchange, Errc::kIdempotencyKeyReused,
                   "the idempotency key was already used for another request",
                   RunState::kNotRun);
            break;
          case ClaimState::kInFlightElsewhere:
            Refuse(*exchange, Errc::kDuplicateInFlight,
                   "this idempotency key is claimed by another attempt; its "
                   "outcome is not known to this instance",
                   RunState::kUnknown);
            break;
          case ClaimState::kStoreUnreachable:
            // Guard: without the claim it is unknown whether an earlier attempt
            // with this key ran. "Not run" would be false for a retry of a
            // notice that was printed by an instance killed before it answered.
            Refuse(*exchange, Errc::kStoreUnavailable,
                   "cannot read the claim of the idempotency key: store "
                   "unavailable; this attempt ran nothing, an earlier attempt "
                   "may have run",
                   RunState::kUnknown);
            break;
        }
        EndExchange(exchange);
      });
}

void RunHandler::StartRun(const ExchangeRef& exchange) {
  std::string input = std::move(exchange->parsed.run.input);
  RunRequest run = exchange->parsed.run;
  run.input = std::move(input);
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
  const size_t manager = next_request_ % networks_.size();
  const RunContext context{networks_[manager].get(),
                           non_persistent_networks_[manager].get(),
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
  RunOnStoreThread(
      [this, observed = exchange->observed, keep_until = ClaimExpiryUnixMs()] {
        return claims_.Acquire(observed, keep_until);
      },
      [this, exchange, done = std::move(done)](const Claim& claim) {
        if (killed_) return;
        RecordStoreResult(claim.state != ClaimState::kStoreUnreachable);
        if (claim.state == ClaimState::kOwned) {
          exchange->owned = claim;
          // The run ended (deadline, disconnect) while the claim was being
          // acquired; no call was sent under the claim.
          if (exchange->run_ended) {
            FinishClaim(*exchange, RunAnswer{}, {});
            return;
          }
        }
        done(claim);
      });
}

void RunHandler::FinishClaim(Exchange& exchange, const RunAnswer& answer,
                             const QByteArray& body) {
  if (!exchange.owned) return;
  const Claim claim = *std::exchange(exchange.owned, std::nullopt);
  if (answer.state == RunState::kRan) {
    RunOnStoreThread(
        [this, claim, body = body.toStdString(),
         keep_until = ClaimExpiryUnixMs()] {
          return claims_.Complete(claim, body, keep_until);
        },
        [](bool) {});
  } else if (answer.state != RunState::kUnknown) {
    // No non-idempotent call ran: releases the key for a retry.
    RunOnStoreThread(
        [this, claim] {
          claims_.Release(claim);
          return true;
        },
        [](bool) {});
  }
  // kUnknown: the claim stays, so that no other attempt runs the request.
}

void RunHandler::RecordRequest(const Exchange& exchange,
                               const RunAnswer& answer) {
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
  RecordRequest(exchange, replayed);
  http::Headers headers =
      AnswerHeaders(exchange.request_id, utils::RetryAfterMs(Errc::kOk));
  headers.emplace_back("x-replayed", "1");
  http::WriteJson(*exchange.responder, kStatusOk,
                  QByteArray::fromStdString(body), headers);
  exchange.responder.reset();
}

void RunHandler::OnRunDone(const ExchangeRef& exchange,
                           const RunAnswer& answer) {
  // A killed process writes nothing: its claims stay unchanged.
  if (killed_) return;
  EndExchange(exchange);
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
  FinishClaim(*exchange, answer, body);
  RecordRequest(*exchange, answer);
  if (stream) {
    exchange->responder->WriteChunk(http::SseEvent(body));
    if (answer.aborted) {
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

void RunHandler::EndExchange(const ExchangeRef& exchange) {
  exchange->run_ended = true;
  admission_.Release(exchange->settings());
  open_exchanges_.erase(exchange);
}

int RunHandler::AbortOpenRequests() {
  const auto open = open_exchanges_;  // copied: ending a request removes it
  for (const auto& entry : open) {
    const ExchangeRef exchange = entry.lock();
    if (!exchange) continue;
    if (exchange->runner) {
      exchange->runner->Abort();
    } else {
      // The claim lookup has not completed: an earlier attempt may have run.
      Refuse(*exchange, Errc::kDraining,
             "the instance stopped; this attempt ran nothing",
             RunState::kUnknown);
      EndExchange(exchange);
    }
  }
  return static_cast<int>(open.size());
}

void RunHandler::RetryPendingClaims() {
  if (retrying_claims_ || claims_.pending() == 0) return;
  retrying_claims_ = true;
  RunOnStoreThread(
      [this] {
        claims_.RetryPendingClaims();
        return true;
      },
      [this](bool) { retrying_claims_ = false; });
}

void RunHandler::Kill() {
  killed_ = true;
  admission_.StartDrain();
}

bool RunHandler::ready() const { return tree_.synced(); }

bool RunHandler::idle() const {
  return admission_.inflight() == 0 && open_store_calls_ == 0 &&
         claims_.pending() == 0;
}

}  // namespace turmeric::gateway
