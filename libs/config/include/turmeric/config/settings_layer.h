#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "turmeric/utils/result.h"

namespace turmeric::config {

/** Settings of one level of the settings tree: only the keys that the level
 * states. */
struct SettingsLayer {
  /** Key and value, sorted by key. A level states few keys, so a flat vector is
   * compact. */
  std::vector<std::pair<std::string, std::string>> entries;
};

/**
 * Parses the text of a level, one `key = value` per line (`#` comments), and
 * validates each key and value against the schema
 * (docs/operations/settings.md).
 * @param text text of the level as written by an operator.
 * @return the layer, or kConfigUnknownKey / kConfigInvalid naming the line.
 */
utils::Result<SettingsLayer> ParseLayer(std::string_view text);

/** @param layer a layer. @return its canonical text, sorted by key. */
std::string RenderLayer(const SettingsLayer& layer);

/**
 * @param layer a layer.
 * @param key a key.
 * @return the value of the key, or nullptr if the layer does not state it.
 */
const std::string* FindValue(const SettingsLayer& layer, std::string_view key);

}  // namespace turmeric::config
