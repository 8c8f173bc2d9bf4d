#include "turmeric/entry/traits_of.h"

#include <algorithm>
#include <iterator>
#include <span>

#include "turmeric/entry/wire_format.h"
#include "turmeric/quarantine/fingerprint.h"

namespace turmeric::entry {

namespace {

/** Most parts that count; bounds the records of one crash. */
constexpr size_t kMaxParts = 128;

}  // namespace

quarantine::RequestTraits TraitsOf(const CallerRequest& request,
                                   std::string_view organisation) {
  quarantine::RequestTraits traits;
  traits.fingerprint = quarantine::Fingerprint(
      {.caller = organisation.empty() ? request.key : organisation,
       .method = request.method,
       .host = request.host,
       .target = request.target,
       .body = request.body});
  if (request.prompt.empty()) return traits;
  const std::span<const PromptPart> shared(
      request.prompt.data(), std::min(request.prompt.size() - 1, kMaxParts));
  std::ranges::transform(shared, std::back_inserter(traits.parts),
                         [&](const PromptPart& part) {
                           return quarantine::PartKey(request.model, part.id);
                         });
  std::ranges::sort(traits.parts);
  traits.parts.erase(std::unique(traits.parts.begin(), traits.parts.end()),
                     traits.parts.end());
  return traits;
}

}  // namespace turmeric::entry
