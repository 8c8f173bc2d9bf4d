#include "turmeric/entry/presence_book.h"

#include <chrono>
#include <iomanip>
#include <sstream>

#include "turmeric/utils/random_id.h"

namespace turmeric::entry {

namespace {

constexpr char kSeparator = '#';
/** Digits of a start's time of day in ms, enough for some thousand years. */
constexpr int kTimeDigits = 12;
/** Tells starts within one millisecond apart. */
constexpr size_t kRandomDigits = 4;
/** A planned stop is over within this. */
constexpr std::chrono::seconds kRecent{15};

}  // namespace

Identity ParseIdentity(std::string_view identity) {
  const size_t end = identity.rfind(kSeparator);
  if (end == std::string_view::npos) return {identity, {}};
  return {identity.substr(0, end), identity.substr(end + 1)};
}

std::string MakeIdentity(std::string_view name) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::ostringstream out;
  out << name << kSeparator << std::hex << std::setfill('0')
      << std::setw(kTimeDigits) << now.count()
      << utils::RandomHex(kRandomDigits);
  return out.str();
}

bool PresenceBook::Learn(const peer::PresenceNews& presence,
                         Clock::time_point now) {
  const Identity identity = ParseIdentity(presence.identity);
  if (identity.name.empty() || identity.start.empty()) return false;
  const auto it = known_.find(identity.name);
  if (it == known_.end()) {
    known_.emplace(identity.name,
                   Known{std::string(identity.start), presence.leaving, now});
    return true;
  }
  Known& known = it->second;
  // What is told of an earlier start arrives late: that one is gone.
  if (identity.start < known.start) return false;
  const bool is_later = identity.start > known.start;
  const bool begins_to_leave = presence.leaving && !known.leaving;
  if (!is_later && !begins_to_leave) return false;
  known = {std::string(identity.start), presence.leaving, now};
  return true;
}

std::vector<peer::PresenceNews> PresenceBook::Recent(
    Clock::time_point now) const {
  std::vector<peer::PresenceNews> recent;
  for (const auto& [name, known] : known_) {
    if (now - known.learnt > kRecent) continue;
    recent.push_back({name + kSeparator + known.start, known.leaving});
  }
  return recent;
}

}  // namespace turmeric::entry
