#pragma once

#include <QByteArray>
#include <string>
#include <string_view>

#include "turmeric/http/responder.h"
#include "turmeric/utils/result.h"

namespace turmeric::config {
struct ResolvedSettings;
}

namespace turmeric::gateway {

struct RunAnswer;

/**
 * @param request_id request id, empty for operator calls.
 * @param code result code.
 * @param detail description of the error.
 * @param state whether the request ran, as far as it is known to this instance.
 * @param retry_after_ms Retry-After delay in ms; -1: no retry is advised.
 * @return the JSON body of an error answer.
 */
QByteArray ErrorJson(std::string_view request_id, utils::Errc code,
                     std::string_view detail, utils::RunState state,
                     int retry_after_ms);

/**
 * @param request_id request id.
 * @param settings settings the request ran with.
 * @param answer outcome of the run.
 * @param retry_after_ms Retry-After delay in ms; -1: no retry is advised.
 * @return the JSON body of the answer.
 */
QByteArray AnswerJson(std::string_view request_id,
                      const config::ResolvedSettings& settings,
                      const RunAnswer& answer, int retry_after_ms);

/**
 * @param request_id request id.
 * @param retry_after_ms Retry-After delay in ms; -1: no retry is advised.
 * @return the answer's headers: the request id, and Retry-After in whole
 *     seconds, rounded up, if a retry is advised.
 */
http::Headers AnswerHeaders(std::string_view request_id, int retry_after_ms);

}  // namespace turmeric::gateway
