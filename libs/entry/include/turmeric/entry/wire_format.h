#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/http/message.h"
#include "turmeric/http/server_connection.h"
#include "turmeric/stages/piece.h"

namespace turmeric::entry {

/** A part of a prompt that requests may share. */
struct PromptPart {
  std::string id;
  int tokens = 0;
};

/** A caller's request, decoded. */
struct CallerRequest {
  std::string attempt_id;  ///< Names this attempt of the caller.
  std::string method;
  std::string target;
  std::string host;
  std::vector<http::HeaderField> headers;  ///< Those passed on unchanged.
  std::string body;
  std::optional<std::chrono::milliseconds> deadline;  ///< Left on arrival.
  std::string key;  ///< The organisation's secret, empty if none was sent.
  std::optional<int64_t> last_event_id;  ///< The caller resumes after this.
  std::string model;
  int prompt_tokens = 0;
  int output_tokens = 0;
  std::vector<PromptPart> prompt;  ///< The last part is the request's own.
  std::vector<int> stage_pieces;   ///< By stage.
  std::string piece_key;
};

/** One send of a request to one upstream. */
struct UpstreamCall {
  const CallerRequest& request;
  std::chrono::milliseconds time_left{0};
  std::string_view upstream_id;   ///< Any other process must refuse it.
  std::string_view organisation;  ///< Empty: none.
  std::optional<int64_t> last_event_id;
  std::span<const std::string> inputs;  ///< Results of the stages.
  std::optional<int> engine_priority;   ///< 0 first; absent: the default.
};

/** What the head of an upstream's answer says besides status and fields. */
struct AnswerInfo {
  std::string attempt_id;   ///< The request it answers; empty: not said.
  bool not_run = false;     ///< The upstream states that it did not run it.
  bool sealed = false;      ///< Bears the upstream's receipt.
  bool encoded = false;     ///< The body is not the upstream's own bytes.
  std::optional<int> load;  ///< Requests running and waiting there.
};

/** One call for stage work. */
struct StageCall {
  std::string_view upstream_id;
  std::string_view address;
  std::span<const stages::Piece> pieces;
  std::chrono::steady_clock::time_point now;
};

/** How callers and upstreams are spoken to; filled by the adapter. */
struct WireFormat {
  std::function<CallerRequest(http::RequestMessage&&)> decode_request;
  std::function<std::string(const UpstreamCall&)> encode_call;
  std::function<AnswerInfo(const http::ResponseHead&)> decode_answer;
  /** An answer of our own; a pause > 0 tells when to come back. */
  std::function<http::ResponseMessage(int status, std::string_view attempt_id,
                                      std::chrono::milliseconds come_back)>
      encode_own_answer;
  std::function<std::string(const StageCall&)> encode_stage_call;
  /** One result a piece, in order; empty if it is not such an answer. */
  std::function<std::vector<stages::PieceResult>(std::string_view body)>
      decode_stage_answer;
  std::function<std::string(std::string_view address,
                            std::span<const std::string> handles)>
      encode_release;
  /** @return the address of the upstream that holds a result. */
  std::function<std::string(std::string_view handle)> handle_address;
  std::string readiness_path;  ///< What the balancer asks for.
};

}  // namespace turmeric::entry
