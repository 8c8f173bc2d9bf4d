#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/entry/held_answer.h"
#include "turmeric/entry/upstream_client.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/stages/piece_queue.h"

namespace turmeric::entry {

struct EntryContext;
class PieceCall;

/** Parameters of a call. */
struct PieceCallSpec {
  std::string shard;
  std::string service;
  routing::UpstreamPtr upstream;
  std::vector<stages::QueuedPiece> pieces;
  /** The call is abandoned if no response arrives within this time. */
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds overdue{0};  ///< See stages::OverdueTime.
  /** Usual duration of such a call, by which the speed is learned. */
  std::chrono::milliseconds usual{0};
};

/**
 * Callbacks of a call. Exactly one of on_done and on_failed is called, once.
 */
struct PieceCallEvents {
  /**
   * Called when the upstream is assumed to have fetched the inputs of the
   * pieces.
   */
  std::function<void(PieceCall&)> on_inputs_fetched;
  /** Called once if the call is overdue. */
  std::function<void(PieceCall&)> on_overdue;
  /** Called with one result for each piece, in the order of the pieces. */
  std::function<void(PieceCall&, std::span<const stages::PieceResult>)> on_done;
  /** Called when the call as a whole has failed. */
  std::function<void(PieceCall&, routing::Outcome)> on_failed;
};

/**
 * One call with a batch of pieces to one upstream. Deletes itself when it ends.
 */
class PieceCall : public QObject {
 public:
  /**
   * @param context the instance's state; must outlive this.
   * @param spec see PieceCallSpec.
   * @param events see PieceCallEvents.
   * @param parent Qt owner.
   */
  PieceCall(EntryContext& context, PieceCallSpec spec, PieceCallEvents events,
            QObject* parent);
  ~PieceCall() override;

  /** Sends the call. */
  void Start();
  const std::string& shard() const { return spec_.shard; }
  const std::string& service() const { return spec_.service; }
  const routing::UpstreamPtr& upstream() const { return spec_.upstream; }
  /**
   * @return the pieces; the callbacks on_done and on_failed may move them out.
   */
  std::vector<stages::QueuedPiece>& pieces() { return spec_.pieces; }
  /** @return approximate size of the results of all pieces, bytes. */
  int64_t bytes() const { return bytes_; }
  /** @return true once on_overdue was called. */
  bool overdue() const { return overdue_; }
  /** @return HTTP status of the response; 0: no response. */
  int status() const { return status_; }
  /** @return number of the connection, see UpstreamExchange. */
  uint64_t connection_id() const { return connection_id_; }
  /** @return position of the exchange on its connection, from 1. */
  int exchange_number() const { return exchange_number_; }
  /** @return time since Start. */
  std::chrono::milliseconds elapsed() const;

 private:
  http::ExchangeEvents AnswerEvents();
  void OnBody(std::string_view bytes);
  void OnAnswer();
  /** Cancels the exchange as broken. */
  void BreakOff();
  void Fail(routing::Outcome outcome);
  bool MarkEnded();

  EntryContext& context_;
  PieceCallSpec spec_;
  PieceCallEvents events_;
  std::shared_ptr<UpstreamExchange> exchange_;
  uint64_t connection_id_ = 0;
  int exchange_number_ = 0;
  QTimer timeout_timer_;
  QTimer input_fetch_timer_;
  QTimer overdue_timer_;
  std::string body_;
  HeldAnswer held_;  ///< Charge of `body_`.
  int status_ = 0;
  bool not_run_ = false;
  bool ended_ = false;
  bool overdue_ = false;
  stages::Clock::time_point started_;
  std::optional<balancing::OpenSend> counted_;  ///< In the upstream's load.
  int64_t bytes_ = 0;
};

}  // namespace turmeric::entry
