#include "turmeric/store/logged_objects.h"

namespace turmeric::store {

namespace {

constexpr size_t kMaxLoggedObjects = 1024;

}  // namespace

bool NoteUnreadable(LoggedObjects& logged, std::string_view name,
                    int64_t revision) {
  auto& revisions = logged.revision_by_name;
  const auto known = revisions.find(name);
  if (known != revisions.end() && known->second == revision) return false;
  if (known == revisions.end() && revisions.size() >= kMaxLoggedObjects) {
    revisions.clear();
  }
  revisions.insert_or_assign(std::string(name), revision);
  return true;
}

}  // namespace turmeric::store
