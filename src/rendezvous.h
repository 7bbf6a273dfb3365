// Weights of rendezvous hashing: of the names for a key, the one with the
// highest weight comes first. The same on every instance.
#ifndef CROCUSSPUR_RENDEZVOUS_H
#define CROCUSSPUR_RENDEZVOUS_H

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace crocusspur::internal {

class RendezvousWeight {
public:
  explicit RendezvousWeight(const std::string &Key)
      : Seed(XXH64(Key.data(), Key.size(), 0)) {}
  uint64_t operator()(const std::string &Name) const {
    return XXH64(Name.data(), Name.size(), Seed);
  }

private:
  uint64_t Seed;
};

} // namespace crocusspur::internal

#endif
