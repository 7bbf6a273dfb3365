#include "gateway/decisions/content_fingerprint.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace crocusspur::gateway {

uint64_t fingerprintOf(const RequestContent &Content) {
  uint64_t hash = 0;
  for (std::string_view it :
       {Content.Host, Content.Method, Content.Target, Content.Body})
    // The size keeps the boundaries between parts.
    hash = XXH64(it.data(), it.size(), hash + it.size());
  return hash == 0 ? 1 : hash;
}

std::string fingerprintText(uint64_t Content) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(Content));
  return buf.data();
}

} // namespace crocusspur::gateway
