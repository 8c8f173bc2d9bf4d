#include "turmeric/gateway/claim.h"

#include <QByteArray>
#include <initializer_list>

#include "turmeric/gateway/claim_table.h"

namespace turmeric::gateway {

std::string QualifiedKey(std::string_view business,
                         std::string_view organisation,
                         std::string_view pipeline,
                         std::string_view idempotency_key) {
  // Guard: with keys scoped by business alone, two organisations that both
  // number their notices from 1 share a claim, and one receives the answer of
  // the other. Percent-encoding keeps the name unique if a part contains a "/".
  std::string out;
  for (std::string_view part :
       {business, organisation, pipeline, idempotency_key}) {
    if (!out.empty()) out += '/';
    out += QByteArray(part.data(), static_cast<qsizetype>(part.size()))
               .toPercentEncoding()
               .toStdString();
  }
  return out;
}

std::string ClaimStoreKey(std::string_view qualified_key) {
  std::string key(kClaimPrefix);
  key += qualified_key;
  return key;
}

}  // namespace turmeric::gateway
