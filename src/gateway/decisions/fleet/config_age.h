// How old a configuration is, as far as instances know.
#ifndef CROCUSSPUR_GATEWAY_DECISIONS_FLEET_CONFIG_AGE_H
#define CROCUSSPUR_GATEWAY_DECISIONS_FLEET_CONFIG_AGE_H

#include "crocusspur/types.h"

#include <optional>

namespace crocusspur::gateway {

struct ConfigAge {
  // Since the first of the instances by which it came read it from the store.
  std::optional<Milliseconds> ReadAgo;
  // Since the store had it, at most: since that instance knew that the store
  // didn't have it.
  std::optional<Milliseconds> AtMost;
};

} // namespace crocusspur::gateway

#endif
