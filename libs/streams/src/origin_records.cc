#include "turmeric/streams/origin_records.h"

#include <algorithm>
#include <iterator>

namespace turmeric::streams {

void OriginRecords::Put(const StreamId& id, const StreamOrigin& origin,
                        Clock::time_point now) {
  while (!order_.empty() && order_.front()->second.at + lifetime_ <= now) {
    DropOldest();
  }
  const auto [record, is_new] = records_.try_emplace(id, Entry{origin, now});
  if (!is_new) return;
  order_.push_back(record);
  if (order_.size() > capacity_) DropOldest();
}

void OriginRecords::Clear() {
  order_.clear();
  records_.clear();
}

void OriginRecords::DropOldest() {
  records_.erase(order_.front());
  order_.pop_front();
}

std::optional<StreamOrigin> OriginRecords::Find(const StreamId& id,
                                                Clock::time_point now) const {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.at + lifetime_ <= now) {
    return std::nullopt;
  }
  return found->second.origin;
}

std::vector<OriginRecords::Record> OriginRecords::OfService(
    std::string_view service, Clock::time_point now) const {
  std::vector<Record> records;
  for (const auto& record : order_) {
    const auto& [id, entry] = *record;
    if (entry.origin.service == service && now < entry.at + lifetime_) {
      records.push_back({id, entry.origin, entry.at});
    }
  }
  return records;
}

std::vector<OriginRecords::Record> OriginRecords::Since(
    Clock::time_point from) const {
  const auto first = std::ranges::lower_bound(
      order_, from, {}, [](const auto& record) { return record->second.at; });
  std::vector<Record> records;
  std::ranges::transform(first, order_.end(), std::back_inserter(records),
                         [](const auto& record) {
                           const auto& [id, entry] = *record;
                           return Record{id, entry.origin, entry.at};
                         });
  return records;
}

}  // namespace turmeric::streams
