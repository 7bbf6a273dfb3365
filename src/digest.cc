#include "digest.h"

#include <Poco/Crypto/DigestEngine.h>
#include <algorithm>
#include <strings.h>

namespace crocusspur::internal {

Sha256Digest sha256(std::string_view Text) {
  Poco::Crypto::DigestEngine engine("SHA256");
  engine.update(Text.data(), Text.size());
  Sha256Digest digest{};
  const Poco::DigestEngine::Digest &bytes = engine.digest();
  std::copy_n(bytes.begin(), std::min(bytes.size(), digest.size()),
              digest.begin());
  return digest;
}

std::string sha256Hex(const std::string &Text) {
  Poco::Crypto::DigestEngine engine("SHA256");
  engine.update(Text);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalInConstantTime(const Sha256Digest &Left, const Sha256Digest &Right) {
  // Volatile, so that the compiler doesn't end the loop at the first
  // difference.
  volatile uint8_t difference = 0;
  for (size_t i = 0; i < Left.size(); ++i)
    difference = static_cast<uint8_t>(difference | (Left[i] ^ Right[i]));
  return difference == 0;
}

std::string bearerToken(const std::string &Authorization) {
  constexpr size_t SchemeBytes = 7;
  if (Authorization.size() <= SchemeBytes ||
      strncasecmp(Authorization.c_str(), "Bearer ", SchemeBytes) != 0)
    return "";
  return Authorization.substr(SchemeBytes);
}

} // namespace crocusspur::internal
