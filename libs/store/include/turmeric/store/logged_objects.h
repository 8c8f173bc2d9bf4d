#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace turmeric::store {

/** The objects of one kind that were last logged as unreadable. */
struct LoggedObjects {
  std::map<std::string, int64_t, std::less<>> revision_by_name;
};

/**
 * Records that an unreadable object was received.
 * @param logged the objects logged so far; bounded, so that an object may be
 *     logged again after a thousand others.
 * @param name name of the object. @param revision of its last change.
 * @return true if the object is to be logged, as its revision was not before.
 */
bool NoteUnreadable(LoggedObjects& logged, std::string_view name,
                    int64_t revision);

}  // namespace turmeric::store
