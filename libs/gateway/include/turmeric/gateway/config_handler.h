#pragma once

#include <QObject>
#include <string_view>

#include "turmeric/http/responder.h"

class QHttpServerRequest;

namespace turmeric::gateway {

class StoreService;

/** Path prefix of the operators' settings calls. */
inline constexpr std::string_view kConfigPath = "/v1/config/";

/**
 * The operators' side of the settings tree: read, list and conditionally
 * write its levels in the platform's store (docs/operations/settings.md).
 */
class ConfigHandler : public QObject {
 public:
  /** @param store the platform's store. */
  explicit ConfigHandler(StoreService& store) : store_(store) {}
  /** @param request GET of a level or a prefix. @param responder its answer. */
  void HandleGet(const QHttpServerRequest& request,
                 http::Responder&& responder);
  /** @param request PUT with If-Match. @param responder its answer. */
  void HandlePut(const QHttpServerRequest& request,
                 http::Responder&& responder);

 private:
  StoreService& store_;
};

}  // namespace turmeric::gateway
