#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::entry {

/**
 * Decides from whom an instance hears of the store's changes: from two relays,
 * or from the store itself. Nothing here calls anybody; time is passed in.
 */
class FollowPolicy {
 public:
  using Clock = std::chrono::steady_clock;

  /** Relays asked at a time, so that the loss of one is no gap. */
  static constexpr size_t kSources = 2;

  /** Why a relay is no longer asked. */
  enum class Fault {
    kNone,         ///< It is of use, or may soon be.
    kNoAnswer,     ///< It did not answer the first request.
    kSilent,       ///< It has said nothing for too long.
    kBehind,       ///< It lacks changes that are known here.
    kBetterKnown,  ///< Relays that are preferred have answered.
  };
  /** A relay that is no longer asked. */
  struct Dropped {
    std::string name;
    Fault why = Fault::kNone;
  };
  /** What to do now. */
  struct Decision {
    std::vector<std::string> ask;  ///< Relays to ask in addition.
    std::vector<Dropped> drop;     ///< Relays not to be asked any more.
    bool watch = false;            ///< Follow the store ourselves.
    /** Others find out when the store is back; ask it seldom till then. */
    bool patient = false;
    std::string_view why;  ///< Of `watch`, a short fixed word.
  };
  /** What a decision goes by, besides what was heard. */
  struct Situation {
    /** Relays that may be asked, best first; nullopt: the fleet is not known
     * yet. */
    std::optional<std::vector<std::string>> preferred;
    bool is_relay = false;  ///< Others rely on us.
    /** When the store last answered us. */
    Clock::time_point store_heard;
    /** How long a relay's watch waits at the store without a change. */
    std::chrono::milliseconds watch_wait{5000};
  };

  /**
   * A relay has told its state.
   * @param name who. @param store_age since anybody on its path to the store
   *     heard it. @param behind true if it lacks changes that we know.
   * @param now the time.
   */
  void OnHeard(const std::string& name, std::chrono::milliseconds store_age,
               bool behind, Clock::time_point now);
  /** The connection to a relay has ended, or it stops. @param name who.
   * @param now the time. */
  void OnLost(const std::string& name, Clock::time_point now);
  /** @param situation see Situation. @param now the time. @return what to do.
   */
  Decision Decide(const Situation& situation, Clock::time_point now);
  /** @param now the time. @return since when none of the relays that we rely
   * on has heard the store; the longest time there is if we rely on none. */
  std::chrono::milliseconds OthersStoreAge(Clock::time_point now) const;
  /**
   * @param store_heard when the store last answered us. @param now the time.
   * @return since when nobody on our paths to the store has heard it.
   */
  std::chrono::milliseconds StoreAge(Clock::time_point store_heard,
                                     Clock::time_point now) const;
  /** @return true if the relay is one that we have asked. @param name who. */
  bool Asks(const std::string& name) const { return sources_.contains(name); }
  /** @return the relays that we ask. */
  std::vector<std::string> sources() const;

 private:
  struct Source {
    Clock::time_point asked;
    std::optional<Clock::time_point> heard;
    std::chrono::milliseconds store_age{0};  ///< When it was heard.
    std::optional<Clock::time_point> behind_since;
  };
  /** A relay that was passed by, and till when. */
  struct Avoided {
    Clock::time_point till;
    std::chrono::milliseconds pause{0};
  };

  Fault FaultOf(const Source& source, Clock::time_point now) const;
  bool IsGood(const Source& source, Clock::time_point now) const;
  void Avoid(const std::string& name, Clock::time_point now);
  void DropFaulty(Clock::time_point now, Decision& decision);
  std::vector<std::string> Wanted(const Situation& situation,
                                  Clock::time_point now);
  void DecideWatch(const Situation& situation, Clock::time_point now,
                   Decision& decision);

  std::map<std::string, Source> sources_;
  std::map<std::string, Avoided> avoided_;
  std::optional<Clock::time_point> started_;
};

/** @param fault one of them. @return its name in logs. */
std::string_view FaultName(FollowPolicy::Fault fault);

}  // namespace turmeric::entry
