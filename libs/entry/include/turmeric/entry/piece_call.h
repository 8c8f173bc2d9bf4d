#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "turmeric/entry/upstream_client.h"
#include "turmeric/routing/upstream.h"
#include "turmeric/stages/piece_queue.h"

namespace turmeric::entry {

struct EntryContext;
class PieceCall;

/** What a call is made of. */
struct PieceCallSpec {
  std::string shard;
  std::string service;
  routing::UpstreamPtr upstream;
  std::vector<stages::QueuedPiece> pieces;
  std::chrono::milliseconds timeout{0};  ///< Given up without an answer.
};

/** Told how a call goes; of the last two, one is called, once. */
struct PieceCallEvents {
  /** The upstream has fetched the inputs of its pieces. */
  std::function<void(PieceCall&)> on_inputs_taken;
  /** One result for each piece, in order. */
  std::function<void(PieceCall&, std::span<const stages::PieceResult>)> on_done;
  std::function<void(PieceCall&, routing::Outcome)> on_failed;
};

/** One call with pieces of a stage to one upstream. Deletes itself at its end.
 */
class PieceCall : public QObject {
 public:
  /** @param context the instance's state; must outlive this. @param spec see
   * PieceCallSpec. @param events see PieceCallEvents. @param parent owner. */
  PieceCall(EntryContext& context, PieceCallSpec spec, PieceCallEvents events,
            QObject* parent);
  ~PieceCall() override;

  /** Sends it. */
  void Start();
  const std::string& shard() const { return spec_.shard; }
  const std::string& service() const { return spec_.service; }
  const routing::UpstreamPtr& upstream() const { return spec_.upstream; }
  /** @return its pieces; the caller may move them out at its end. */
  std::vector<stages::QueuedPiece>& pieces() { return spec_.pieces; }
  /** @return approximate size of all results. */
  int64_t bytes() const { return bytes_; }
  /** @return the answer's status; 0: none. */
  int status() const { return status_; }
  /** @return time since it was sent. */
  std::chrono::milliseconds age() const;

 private:
  http::ExchangeEvents AnswerEvents();
  void OnAnswer();
  void Fail(routing::Outcome outcome);
  bool End();

  EntryContext& context_;
  PieceCallSpec spec_;
  PieceCallEvents events_;
  std::shared_ptr<UpstreamExchange> exchange_;
  QTimer timeout_;
  QTimer fetch_;
  std::string body_;
  int status_ = 0;
  bool not_run_ = false;
  bool ended_ = false;
  stages::Clock::time_point started_;
  int64_t bytes_ = 0;
};

}  // namespace turmeric::entry
