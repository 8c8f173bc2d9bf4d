#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/balancing/load_report.h"
#include "turmeric/http/message.h"
#include "turmeric/http/server_connection.h"
#include "turmeric/stages/piece.h"

namespace turmeric::entry {

/** A part of a prompt; requests may have such parts in common. */
struct PromptPart {
  std::string id;
  int tokens = 0;
};

/** A caller's request, decoded. */
struct CallerRequest {
  std::string attempt_id;  ///< Identifies this attempt of the caller.
  std::string method;
  std::string target;
  std::string host;
  std::vector<http::HeaderField> headers;  ///< Forwarded unchanged.
  std::string body;
  std::optional<std::chrono::milliseconds> deadline;  ///< Time left on arrival.
  std::string key;  ///< API key of the organisation; empty if none was sent.
  /** The stream is to be resumed after this event. */
  std::optional<int64_t> last_event_id;
  /** The attempt that brought the first event of the stream to be resumed;
   * empty: not stated. */
  std::string resumed_attempt_id;
  std::string model;
  int prompt_tokens = 0;
  int output_tokens = 0;  ///< Maximum; 0: not stated.
  int output_hint = 0;    ///< The caller's estimate, tokens; 0: not stated.
  /** The parts in order; the last one belongs to this request alone. */
  std::vector<PromptPart> prompt;
  std::vector<int> stage_pieces;  ///< Number of pieces, by stage.
  std::string piece_key;
};

/** One send of a request to one upstream. */
struct UpstreamCall {
  const CallerRequest& request;
  std::chrono::milliseconds time_left{0};
  std::string_view upstream_id;  ///< Any other process must refuse the request.
  std::string_view organisation;  ///< Empty: no organisation.
  std::optional<int64_t> last_event_id;
  std::span<const std::string> inputs;  ///< Results of the stages.
  /** 0 is served first; absent: default of the engine. */
  std::optional<int> engine_priority;
};

/** The gateway-specific fields in the head of an upstream's answer. */
struct AnswerInfo {
  std::string attempt_id;    ///< The request it answers; empty: not stated.
  bool not_run = false;      ///< States that the request has not run.
  bool has_receipt = false;  ///< Carries the upstream's receipt.
  /** The body is encoded, so its bytes are not the upstream's own. */
  bool encoded = false;
  /** The load that the upstream reports, without the time of the answer;
   * nullopt: none, or none that is valid. */
  std::optional<balancing::LoadReport> load;
  /** Requests per second that the upstream takes from all instances together;
   * nullopt: no limit is stated. */
  std::optional<double> rate_limit;
  /** A rate limit is stated, but none that is a number of at least 0. */
  bool rate_limit_malformed = false;
  /** Requests that the upstream can turn away in a second without failing;
   * nullopt: it does not state that it is brittle. */
  std::optional<int> brittle;
  bool leaving = false;  ///< States that the upstream leaves.
  /** Time for which the upstream wants no request from this instance, if the
   * answer turns the request away; nullopt: none is stated. */
  std::optional<std::chrono::milliseconds> rest;
};

/** One call for stage work. */
struct StageCall {
  std::string_view call_id;  ///< Echoed by the answer, if upstreams do so.
  std::string_view upstream_id;
  std::string_view address;
  std::span<const stages::Piece> pieces;
  std::chrono::steady_clock::time_point now;
};

/** Encoders and decoders of the messages exchanged with callers and upstreams;
 * filled in by the adapter of a platform. */
struct WireFormat {
  std::function<CallerRequest(http::RequestMessage&&)> decode_request;
  std::function<std::string(const UpstreamCall&)> encode_call;
  std::function<AnswerInfo(const http::ResponseHead&)> decode_answer;
  /** Encodes an answer made by this instance; a `retry_after` > 0 is sent as
   * the Retry-After delay. */
  std::function<http::ResponseMessage(int status, std::string_view attempt_id,
                                      std::chrono::milliseconds retry_after)>
      encode_local_answer;
  std::function<std::string(const StageCall&)> encode_stage_call;
  /** Returns one result per piece, in the order of the call; empty if the body
   * is no valid stage answer. */
  std::function<std::vector<stages::PieceResult>(std::string_view body)>
      decode_stage_answer;
  std::function<std::string(std::string_view call_id, std::string_view address,
                            std::span<const std::string> handles)>
      encode_release;
  /** @return the address of the upstream that holds a result. */
  std::function<std::string(std::string_view handle)> handle_address;
  std::string readiness_path;  ///< Target of the load balancer's probe.
};

}  // namespace turmeric::entry
