// SHA-256 digests, of bearer tokens among others.
#ifndef CROCUSSPUR_DIGEST_H
#define CROCUSSPUR_DIGEST_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocusspur::internal {

using Sha256Digest = std::array<uint8_t, 32>;

Sha256Digest sha256(std::string_view Text);

// Returns 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string &Text);

// The running time doesn't depend on where the values differ.
bool equalInConstantTime(const Sha256Digest &Left, const Sha256Digest &Right);

// Returns the token of an `Authorization: Bearer` value, or an empty string.
std::string bearerToken(const std::string &Authorization);

} // namespace crocusspur::internal

#endif
