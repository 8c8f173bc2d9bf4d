#include "turmeric/memory/reception.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace turmeric::memory {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

namespace {

/** Time without a byte after which a sender is assumed to have stopped. */
constexpr milliseconds kStallTime{1000};
/** A request that takes longer is given up for a new one. The largest body
 * takes a few seconds on the slowest link of an instance in use. */
constexpr milliseconds kPatience{20000};

/** @return bytes that a request may come to hold. */
size_t Reserved(const Reception& reception) {
  return kCopiesOfBody * std::max(reception.expected, reception.received);
}

}  // namespace

milliseconds ExpectedDuration(const Reception& reception, TimePoint now) {
  if (now - reception.last_byte >= kStallTime) return milliseconds::max();
  // The rate over a shorter time is that of single reads.
  if (now - reception.began < kStallTime) return milliseconds(0);
  if (reception.received == 0) return milliseconds::max();
  const auto age =
      std::chrono::duration<double, std::milli>(now - reception.began).count();
  const auto expected =
      static_cast<double>(std::max(reception.expected, reception.received));
  return milliseconds(static_cast<int64_t>(
      age * expected / static_cast<double>(reception.received)));
}

ReceptionDecision DecideReception(const Reception& request,
                                  std::span<const Reception> others,
                                  size_t held, size_t bound, TimePoint now) {
  if (others.empty() && held == 0) return {.admitted = true, .given_up = {}};
  size_t needed =
      std::transform_reduce(others.begin(), others.end(),
                            held + Reserved(request), std::plus<>(), Reserved);
  ReceptionDecision decision;
  std::vector<std::pair<milliseconds, const Reception*>> slow;
  for (const Reception& other : others) {
    const milliseconds time = ExpectedDuration(other, now);
    if (time > kPatience) slow.emplace_back(time, &other);
  }
  std::ranges::sort(slow, std::greater<>(), [](const auto& entry) {
    return std::pair(entry.first, Reserved(*entry.second));
  });
  for (const auto& [time, other] : slow) {
    if (needed <= bound) break;
    needed -= Reserved(*other);
    decision.given_up.push_back(other->id);
  }
  const bool alone = held == 0 && decision.given_up.size() == others.size();
  decision.admitted = needed <= bound || alone;
  if (!decision.admitted) decision.given_up.clear();
  return decision;
}

std::vector<uint64_t> DecidePartial(std::span<const PartialRequest> requests,
                                    size_t bound) {
  size_t held = std::transform_reduce(
      requests.begin(), requests.end(), size_t{0}, std::plus<>(),
      [](const PartialRequest& request) { return request.held; });
  if (held <= bound) return {};
  std::vector<const PartialRequest*> order;
  std::ranges::transform(
      requests, std::back_inserter(order),
      [](const PartialRequest& request) { return &request; });
  // Few are given up at a time, so that the others need no order.
  const auto rank = [](const PartialRequest* request) {
    return std::pair(request->sent_ahead, request->began);
  };
  std::ranges::make_heap(order, std::greater<>(), rank);
  std::vector<uint64_t> given_up;
  while (held > bound) {
    std::ranges::pop_heap(order, std::greater<>(), rank);
    held -= order.back()->held;
    given_up.push_back(order.back()->id);
    order.pop_back();
  }
  return given_up;
}

}  // namespace turmeric::memory
