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
 * @param request_id the request, empty for operator calls.
 * @param code result code. @param detail what went wrong.
 * @param state what is known of whether the request ran.
 * @param retry_after_ms when to come back, -1: not at all.
 * @return an error answer's JSON body, with when to come back.
 */
QByteArray ErrorJson(std::string_view request_id, utils::Errc code,
                     std::string_view detail, utils::RunState state,
                     int retry_after_ms);

/**
 * @param request_id the request. @param settings its settings.
 * @param answer how it ended.
 * @param retry_after_ms when to come back, -1: not at all.
 * @return the answer's JSON body.
 */
QByteArray AnswerJson(std::string_view request_id,
                      const config::ResolvedSettings& settings,
                      const RunAnswer& answer, int retry_after_ms);

/**
 * @param request_id the request.
 * @param retry_after_ms when to come back, -1: not at all.
 * @return headers of its answer: the id and, where it helps, Retry-After.
 */
http::Headers AnswerHeaders(std::string_view request_id, int retry_after_ms);

}  // namespace turmeric::gateway
