#pragma once

#include <QObject>
#include <string_view>

#include "turmeric/http/responder.h"

namespace turmeric::http {
class HttpRequest;
}

namespace turmeric::config {
class SettingsTree;
}
namespace turmeric::gateway {

class StoreService;

/**
 * Path prefix of the route that returns the settings in force on this instance.
 */
inline constexpr std::string_view kResolvedPath = "/v1/resolved/";
/**
 * Path prefix of the routes that read and write the levels of the settings
 * tree.
 */
inline constexpr std::string_view kConfigPath = "/v1/config/";

/**
 * HTTP handlers for operators of the settings tree: read, list and
 * conditionally write its levels in the platform's store
 * (docs/operations/settings.md).
 */
class ConfigHandler : public QObject {
 public:
  /**
   * @param store the platform's store.
   * @param tree the settings in force.
   */
  ConfigHandler(StoreService& store, const config::SettingsTree& tree)
      : store_(store), tree_(tree) {}
  /**
   * @param request GET of a level or a prefix.
   * @param responder writer of the answer.
   */
  void HandleGet(const http::HttpRequest& request, http::Responder&& responder);
  /**
   * @param request PUT with If-Match.
   * @param responder writer of the answer.
   */
  void HandlePut(const http::HttpRequest& request, http::Responder&& responder);

  /**
   * Returns the settings in force on this instance; needs no store access.
   * @param request GET /v1/resolved/<business>/<pipeline>/<organisation>.
   * @param responder writer of the answer.
   */
  void HandleResolved(const http::HttpRequest& request,
                      http::Responder&& responder);

 private:
  StoreService& store_;
  const config::SettingsTree& tree_;
};

}  // namespace turmeric::gateway
