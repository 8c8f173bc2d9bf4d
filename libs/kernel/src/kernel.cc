#include "turmeric/kernel/kernel.h"

#include <algorithm>

namespace turmeric::kernel {

Kernel::~Kernel() {
  StopAll();
  // A service may hold a pointer to an object that an earlier service owns,
  // such as the store. Destroys the last service first, because a vector
  // destroys its first element first and would leave such pointers dangling.
  while (!services_.empty()) services_.pop_back();
}

Service* Kernel::Register(std::unique_ptr<Service> service) {
  services_.push_back(std::move(service));
  return services_.back().get();
}

Service* Kernel::FindService(std::string_view name) const {
  auto it = std::ranges::find_if(
      services_, [name](const auto& s) { return s->name() == name; });
  return it == services_.end() ? nullptr : it->get();
}

utils::Result<void> Kernel::StartAll() {
  for (; started_ < services_.size(); ++started_) {
    auto started = services_[started_]->Start(*this);
    if (!started) return started;
  }
  return boost::outcome_v2::success();
}

void Kernel::StopAll() {
  while (started_ > 0) services_[--started_]->Stop();
}

}  // namespace turmeric::kernel
