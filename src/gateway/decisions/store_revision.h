// Revision of a change in the platform's store.
#ifndef CROCUSSPUR_GATEWAY_STORE_REVISION_H
#define CROCUSSPUR_GATEWAY_STORE_REVISION_H

#include <compare>
#include <cstdint>

namespace crocusspur::gateway {

struct StoreRevision {
  // Rises when the store comes back from an older copy, after which it gives
  // out numbers again. 0: the store hasn't stated it.
  uint64_t Era = 0;
  uint64_t Number = 0; // rises with each change

  auto operator<=>(const StoreRevision &) const = default;
};

} // namespace crocusspur::gateway

#endif
