#include "turmeric/stages/stage_progress.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "turmeric/stages/stage_times.h"

namespace turmeric::stages {

namespace {

/** Size from which a result counts as large, bytes: a dozen such results fill
 * an upstream's memory. */
constexpr int64_t kLargeResultBytes = 500 * 1000;
/** Least total size of results, in bytes, that determines a zone: transferring
 * fewer bytes between zones costs less than waiting for an upstream. */
constexpr int64_t kMinBytesForZone = 100 * 1000;

}  // namespace

StageProgress::StageProgress(std::span<const routing::StageSpec> specs,
                             std::span<const int> pieces, bool large_last)
    : specs_(specs), large_last_(large_last), stages_(specs.size()) {
  for (size_t i = 0; i < stages_.size(); ++i) {
    stages_[i].pieces = i < pieces.size() ? std::max(0, pieces[i]) : 0;
    stages_[i].missing = stages_[i].pieces;
    stages_[i].handles.resize(static_cast<size_t>(stages_[i].pieces));
  }
  DetermineOrder();
  DetermineSources();
  DetermineStagesAfter();
}

bool StageProgress::IsComplete(int stage) const {
  return stages_[static_cast<size_t>(stage)].missing == 0;
}

bool StageProgress::NeedsInputs(int stage) const {
  const State& state = stages_[static_cast<size_t>(stage)];
  return state.missing > 0 && state.inputs_fetched < state.pieces;
}

void StageProgress::Restart() {
  for (State& state : stages_) {
    const int pieces = state.pieces;
    state = {};
    state.pieces = pieces;
    state.missing = pieces;
    state.handles.resize(static_cast<size_t>(pieces));
  }
}

void StageProgress::DetermineOrder() {
  const size_t count = stages_.size();
  std::vector<int> open(count);  // Entries of `after` not yet in the order.
  std::vector<std::vector<int>> needed_by(count);
  for (size_t i = 0; i < count; ++i) {
    for (const int before : specs_[i].after) {
      if (before < 0 || before >= static_cast<int>(count)) continue;
      needed_by[static_cast<size_t>(before)].push_back(static_cast<int>(i));
      ++open[i];
    }
    if (open[i] == 0) order_.push_back(static_cast<int>(i));
  }
  for (size_t next = 0; next < order_.size(); ++next) {
    for (const int user : needed_by[static_cast<size_t>(order_[next])]) {
      if (--open[static_cast<size_t>(user)] == 0) order_.push_back(user);
    }
  }
}

void StageProgress::DetermineSources() {
  sources_.resize(stages_.size());
  users_.resize(stages_.size());
  for (const int stage : order_) {
    std::set<int> sources;
    for (const int before : specs_[static_cast<size_t>(stage)].after) {
      if (before < 0 || before >= static_cast<int>(stages_.size())) continue;
      if (stages_[static_cast<size_t>(before)].pieces > 0) {
        sources.insert(before);
      } else {
        sources.insert(Sources(before).begin(), Sources(before).end());
      }
    }
    sources_[static_cast<size_t>(stage)].assign(sources.begin(), sources.end());
  }
  for (int i = 0; i < static_cast<int>(stages_.size()); ++i) {
    if (stages_[static_cast<size_t>(i)].pieces == 0) continue;
    for (const int source : Sources(i)) {
      users_[static_cast<size_t>(source)].push_back(i);
    }
  }
}

void StageProgress::DetermineStagesAfter() {
  stages_after_.resize(stages_.size());
  std::for_each(order_.rbegin(), order_.rend(), [this](int stage) {
    int& longest = stages_after_[static_cast<size_t>(stage)];
    for (const int user : Users(stage)) {
      longest = std::max(longest, 1 + StagesAfter(user));
    }
  });
}

std::vector<std::string> StageProgress::ServicesAfter(int stage) const {
  std::vector<bool> is_after(stages_.size());
  std::vector<std::string> services;
  std::vector<int> unvisited = {stage};
  while (!unvisited.empty()) {
    const int visited = unvisited.back();
    unvisited.pop_back();
    for (const int user : Users(visited)) {
      if (is_after[static_cast<size_t>(user)]) continue;
      is_after[static_cast<size_t>(user)] = true;
      services.push_back(specs_[static_cast<size_t>(user)].service);
      unvisited.push_back(user);
    }
  }
  return services;
}

int StageProgress::StagesLeft() const {
  int longest = 0;
  for (int i = 0; i < static_cast<int>(stages_.size()); ++i) {
    if (!IsComplete(i)) longest = std::max(longest, 1 + StagesAfter(i));
  }
  return longest;
}

std::vector<int> StageProgress::TakeReady() {
  std::vector<int> ready;
  const int stages_left = StagesLeft();
  for (int i = 0; i < static_cast<int>(stages_.size()); ++i) {
    State& state = stages_[static_cast<size_t>(i)];
    if (state.started || state.pieces == 0) continue;
    const std::vector<int>& sources = Sources(i);
    if (!std::ranges::all_of(sources, [&](int s) { return IsComplete(s); })) {
      continue;
    }
    // Large results are made as late as the longest parallel chain allows: an
    // upstream has memory for only a dozen of them, and a large result that
    // waits for the chain blocks pieces of other requests.
    const bool large =
        specs_[static_cast<size_t>(i)].result_bytes >= kLargeResultBytes;
    if (large_last_ && large && 1 + StagesAfter(i) < stages_left) continue;
    state.started = true;
    ready.push_back(i);
  }
  return ready;
}

std::vector<std::string> StageProgress::Inputs(int stage) const {
  std::vector<std::string> inputs;
  for (const int source : Sources(stage)) {
    std::ranges::copy(stages_[static_cast<size_t>(source)].handles,
                      std::back_inserter(inputs));
  }
  return inputs;
}

void StageProgress::Complete(int stage, int index, const PieceResult& result) {
  State& state = stages_[static_cast<size_t>(stage)];
  std::string& handle = state.handles[static_cast<size_t>(index)];
  if (!handle.empty()) return;
  handle = result.handle;
  state.zone = result.zone;
  --state.missing;
}

bool StageProgress::done() const {
  return std::ranges::all_of(stages_,
                             [](const State& s) { return s.missing == 0; });
}

bool StageProgress::HasSuccessor(int stage) const {
  return !Users(stage).empty();
}

std::vector<std::string> StageProgress::FinalInputs() const {
  std::vector<std::string> inputs;
  for (int i = 0; i < static_cast<int>(stages_.size()); ++i) {
    if (HasSuccessor(i)) continue;
    std::ranges::copy(stages_[static_cast<size_t>(i)].handles,
                      std::back_inserter(inputs));
  }
  return inputs;
}

std::vector<ServiceResults> StageProgress::TakeUnneeded() {
  std::vector<ServiceResults> unneeded;
  for (int i = 0; i < static_cast<int>(stages_.size()); ++i) {
    State& state = stages_[static_cast<size_t>(i)];
    if (state.released || state.pieces == 0 || !HasSuccessor(i)) continue;
    const bool needed = std::ranges::any_of(
        Users(i), [this](int user) { return NeedsInputs(user); });
    if (needed) continue;
    state.released = true;
    unneeded.push_back({specs_[static_cast<size_t>(i)].service, state.handles});
  }
  return unneeded;
}

std::vector<ServiceResults> StageProgress::TakeAll() {
  std::vector<ServiceResults> all;
  for (size_t i = 0; i < stages_.size(); ++i) {
    State& state = stages_[i];
    if (state.released) continue;
    state.released = true;
    ServiceResults held{specs_[i].service, {}};
    std::ranges::copy_if(state.handles, std::back_inserter(held.handles),
                         [](const std::string& h) { return !h.empty(); });
    if (!held.handles.empty()) all.push_back(std::move(held));
  }
  return all;
}

int StageProgress::StagesAfter(int stage) const {
  return stages_after_[static_cast<size_t>(stage)];
}

std::chrono::milliseconds StageProgress::TimeAfter(
    int stage, const StageTimes& times) const {
  std::vector<std::chrono::milliseconds> after(stages_.size());
  std::for_each(order_.rbegin(), order_.rend(), [&](int i) {
    auto& longest = after[static_cast<size_t>(i)];
    for (const int user : Users(i)) {
      const std::string& service = specs_[static_cast<size_t>(user)].service;
      longest = std::max(
          longest, times.Expected(service) + after[static_cast<size_t>(user)]);
    }
  });
  return after[static_cast<size_t>(stage)];
}

std::string StageProgress::LargestZone(std::span<const int> stages) const {
  std::string zone;
  int64_t largest = kMinBytesForZone;
  for (const int stage : stages) {
    const State& state = stages_[static_cast<size_t>(stage)];
    const int64_t bytes =
        specs_[static_cast<size_t>(stage)].result_bytes * state.pieces;
    if (bytes < largest || state.zone.empty()) continue;
    largest = bytes;
    zone = state.zone;
  }
  return zone;
}

std::string StageProgress::InputsZone(int stage) const {
  return LargestZone(Sources(stage));
}

std::string StageProgress::FinalInputsZone() const {
  std::vector<int> last;
  for (int i = 0; i < static_cast<int>(stages_.size()); ++i) {
    if (!HasSuccessor(i)) last.push_back(i);
  }
  return LargestZone(last);
}

}  // namespace turmeric::stages
