#include "turmeric/config/settings_tree.h"

#include <algorithm>
#include <charconv>
#include <span>

namespace turmeric::config {

using utils::Errc;
using utils::Fail;

namespace {

std::vector<std::string> SplitList(std::string_view s) {
  std::vector<std::string> out;
  size_t pos = 0;
  while (pos <= s.size() && !s.empty()) {
    const size_t end = std::min(s.find(',', pos), s.size());
    out.emplace_back(s.substr(pos, end - pos));
    pos = end + 1;
  }
  return out;
}

int ParseInt(const std::string& s) {
  int v = 0;
  std::from_chars(s.data(), s.data() + s.size(), v);
  return v;
}

/** Looks up a key, starting at the most specific layer.
 * @param layers from the least to the most specific; may contain nullptr. */
const std::string* Lookup(std::span<const SettingsLayer* const> layers,
                          std::string_view key) {
  for (auto it = layers.rbegin(); it != layers.rend(); ++it) {
    if (*it == nullptr) continue;
    if (const std::string* v = FindValue(**it, key)) return v;
  }
  return nullptr;
}

}  // namespace

std::string SettingsKey(std::string_view level, std::string_view business,
                        std::string_view leaf) {
  std::string key(kConfigPrefix);
  key += level;
  if (level == "group") return key;
  key += "/";
  key += business;
  if (level == "business") return key;
  key += "/";
  key += leaf;
  return key;
}

SettingsTree::SettingsTree(store::ObjectStore& store)
    : watch_(
          store, std::string(kConfigPrefix),
          [this](const store::StoredObject& change) { Apply(change); },
          [this] { return LevelRevisions(); }) {}

store::KeyRevisions SettingsTree::LevelRevisions() const {
  std::lock_guard lock(mu_);
  store::KeyRevisions held;
  std::ranges::transform(levels_, std::back_inserter(held), [](const auto& l) {
    return std::pair(l.first, l.second.revision);
  });
  return held;
}

utils::Result<void> SettingsTree::Arm() {
  // The cached tree keeps serving while the watch is interrupted.
  return watch_.Arm();
}

bool SettingsTree::armed() const { return watch_.armed(); }

bool SettingsTree::Apply(const store::StoredObject& change) {
  // Guard: a replayed or reordered change must not undo a newer one. A
  // resumed watch may deliver a change that is already held; without the
  // revision check an accepted setting would revert. Revisions are store-wide
  // and increase, so an older change always has a smaller revision.
  std::lock_guard lock(mu_);
  auto it = levels_.find(change.key);
  if (it != levels_.end() && it->second.revision >= change.revision) {
    return false;
  }
  revision_ = std::max(revision_, change.revision);
  if (change.deleted) {
    if (it != levels_.end()) levels_.erase(it);
    return true;
  }
  auto parsed = ParseLayer(change.value);
  // The settings API validates a level before it is stored, so an invalid value
  // was written to the store without the API. The last valid layer of the key
  // is kept.
  if (!parsed) return false;
  levels_[change.key] =
      HeldLevel{Intern(std::move(parsed).value()), change.revision};
  return true;
}

std::shared_ptr<const SettingsLayer> SettingsTree::Intern(SettingsLayer layer) {
  // Most organisations state the same few lines. One copy per distinct text
  // keeps 49,000 organisations within the memory budget
  // (docs/CAPACITY.md 2.2).
  const size_t hash = std::hash<std::string>{}(RenderLayer(layer));
  std::weak_ptr<const SettingsLayer>& slot = interned_[hash];
  auto shared = slot.lock();
  if (shared && shared->entries == layer.entries) return shared;
  auto created = std::make_shared<const SettingsLayer>(std::move(layer));
  // On a hash collision the slot keeps its layer; the new layer is not shared.
  if (!shared) slot = created;
  // Erases expired entries once the map has grown well beyond the number of
  // levels.
  if (interned_.size() > 2 * levels_.size() + 64) {
    std::erase_if(interned_,
                  [](const auto& kv) { return kv.second.expired(); });
  }
  return created;
}

utils::Result<ResolvedSettings> SettingsTree::Resolve(
    std::string_view business, std::string_view pipeline,
    std::string_view organisation) const {
  std::lock_guard lock(mu_);
  auto find = [&](const std::string& key) -> const HeldLevel* {
    auto it = levels_.find(key);
    return it == levels_.end() ? nullptr : &it->second;
  };
  const HeldLevel* group = find(SettingsKey("group", "", ""));
  const HeldLevel* biz = find(SettingsKey("business", business, ""));
  const HeldLevel* pipe = find(SettingsKey("pipeline", business, pipeline));
  const HeldLevel* org =
      find(SettingsKey("organisation", business, organisation));
  if (biz == nullptr || pipe == nullptr) {
    return Fail(Errc::kUnknownPipeline,
                std::string(business) + "/" + std::string(pipeline));
  }
  if (org == nullptr) {
    return Fail(Errc::kUnknownOrganisation,
                std::string(business) + "/" + std::string(organisation));
  }
  const SettingsLayer* layers[] = {group ? group->layer.get() : nullptr,
                                   biz->layer.get(), pipe->layer.get(),
                                   org->layer.get()};
  ResolvedSettings out;
  out.business = business;
  out.pipeline = pipeline;
  out.organisation = organisation;
  auto set_int = [&](std::string_view key, int& field) {
    if (const auto* v = Lookup(layers, key)) field = ParseInt(*v);
  };
  set_int("deadline_ms", out.deadline_ms);
  set_int("max_inflight", out.max_inflight);
  set_int("max_inflight_fleet", out.max_inflight_fleet);
  set_int("retry_budget_percent", out.retry_budget_percent);
  set_int("hedge_percent", out.hedge_percent);
  set_int("min_stage_ms", out.min_stage_ms);
  if (const auto* v = Lookup(layers, "routing")) out.routing = *v;
  if (const auto* v = Lookup(layers, "stages")) {
    for (const std::string& name : SplitList(*v)) {
      StageSpec stage;
      stage.name = name;
      const std::string prefix = "stage." + name + ".";
      if (const auto* p = Lookup(layers, prefix + "pool")) stage.pool = *p;
      if (const auto* i = Lookup(layers, prefix + "idempotent")) {
        stage.idempotent = *i == "true";
      }
      const std::string pool = "pool." + stage.pool + ".";
      if (const auto* u = Lookup(layers, pool + "upstreams")) {
        stage.upstreams = SplitList(*u);
      }
      if (const auto* k = Lookup(layers, pool + "kind")) stage.kind = *k;
      out.stages.push_back(std::move(stage));
    }
  }
  out.revision = std::max({group ? group->revision : 0, biz->revision,
                           pipe->revision, org->revision});
  return out;
}

int64_t SettingsTree::revision() const {
  std::lock_guard lock(mu_);
  return revision_;
}

size_t SettingsTree::size() const {
  std::lock_guard lock(mu_);
  return levels_.size();
}

}  // namespace turmeric::config
