// SHA-256 of bearer tokens.
#ifndef CROCUSSPUR_DIGEST_H
#define CROCUSSPUR_DIGEST_H

#include <string>

namespace crocusspur::internal {

// Returns 64 lower-case hexadecimal digits.
std::string sha256Hex(const std::string &Text);

// Returns the token of an `Authorization: Bearer` value, or an empty string.
std::string bearerToken(const std::string &Authorization);

} // namespace crocusspur::internal

#endif
