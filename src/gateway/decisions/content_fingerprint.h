// Identifies a request by what it asks for, so that it is recognised when its
// caller sends it again with a new id, at any instance.
#ifndef CROCUSSPUR_GATEWAY_CONTENT_FINGERPRINT_H
#define CROCUSSPUR_GATEWAY_CONTENT_FINGERPRINT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusspur::gateway {

// The parts of a request that stay the same when it is sent again. Header
// fields may change or come in another order, and the caller may have another
// address.
struct RequestContent {
  std::string_view Host;
  std::string_view Method;
  std::string_view Target; // path and query
  std::string_view Body;   // decoded
};

// Returns a 64-bit fingerprint, the same on every instance. Never 0.
uint64_t fingerprintOf(const RequestContent &Content);

// The form of a fingerprint in logs: 16 lower-case hexadecimal digits.
std::string fingerprintText(uint64_t Content);

} // namespace crocusspur::gateway

#endif
