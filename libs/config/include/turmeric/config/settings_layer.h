#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "turmeric/utils/result.h"

namespace turmeric::config {

/** One level of the settings tree: only the keys that level states. */
struct SettingsLayer {
  /** Sorted by key; a level states few keys, so a flat vector is compact. */
  std::vector<std::pair<std::string, std::string>> entries;
};

/**
 * Parses a level's text, one `key = value` a line (`#` comments), and
 * checks each key and value against the schema (docs/operations/settings.md).
 * @param text the level as an operator wrote it.
 * @return the layer, or kConfigUnknownKey / kConfigInvalid naming the line.
 */
utils::Result<SettingsLayer> ParseLayer(std::string_view text);

/** @param layer a layer. @return its canonical text (sorted keys). */
std::string RenderLayer(const SettingsLayer& layer);

/**
 * @param layer a layer.
 * @param key a key.
 * @return the value the layer states, or nullptr.
 */
const std::string* FindValue(const SettingsLayer& layer, std::string_view key);

}  // namespace turmeric::config
