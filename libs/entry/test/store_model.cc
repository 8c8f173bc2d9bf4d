#include "store_model.h"

#include <algorithm>
#include <iterator>

namespace turmeric::entry::test {

using store::ChangeBatch;
using store::EraOf;
using store::MakePosition;
using store::Position;
using store::RevisionOf;
using store::SourceBatch;
using store::SourceObject;

void StoreModel::Change(const std::string& name, bool remove,
                        Clock::time_point now) {
  Era& era = eras_.back();
  Objects next = era.held.back();
  const auto revision = static_cast<int64_t>(era.held.size());
  remove = remove && next.contains(name);
  if (remove) {
    next.erase(name);
  } else {
    next[name] = {++last_content_, revision};
  }
  era.log.push_back(ToSource(name, {last_content_, revision}, remove));
  era.held.push_back(std::move(next));
  heads_.emplace_back(now, position());
}

void StoreModel::RestoreFromCopy(size_t lost, Clock::time_point now) {
  Era copy = eras_.back();
  lost = std::min(lost, copy.log.size());
  copy.log.resize(copy.log.size() - lost);
  copy.held.resize(copy.held.size() - lost);
  eras_.push_back(std::move(copy));
  heads_.emplace_back(now, position());
}

std::optional<ChangeBatch> StoreModel::Since(Position known) const {
  if (EraOf(known) != era() || known < history_begins_) return std::nullopt;
  const auto& log = eras_.back().log;
  return ChangeBatch{
      known, position(), {log.begin() + RevisionOf(known), log.end()}};
}

SourceBatch StoreModel::List() const {
  SourceBatch list{.objects = {}, .revision = position()};
  for (const auto& [name, object] : eras_.back().held.back()) {
    list.objects.push_back(ToSource(name, object, false));
  }
  return list;
}

StoreModel::Contents StoreModel::HeldAt(Position at) const {
  Contents contents;
  const auto& era = eras_[static_cast<size_t>(EraOf(at))];
  for (const auto& [name, object] :
       era.held[static_cast<size_t>(RevisionOf(at))]) {
    contents[name] = object.content;
  }
  return contents;
}

Position StoreModel::PositionBefore(Clock::time_point time) const {
  const auto next = std::ranges::upper_bound(
      heads_, time, {}, &std::pair<Clock::time_point, Position>::first);
  return next == heads_.begin() ? 0 : std::prev(next)->second;
}

SourceObject StoreModel::ToSource(const std::string& name, const Object& object,
                                  bool deleted) const {
  return {.name = name,
          .spec = {{"content", static_cast<qint64>(object.content)}},
          .revision = MakePosition(era(), object.revision),
          .deleted = deleted};
}

}  // namespace turmeric::entry::test
