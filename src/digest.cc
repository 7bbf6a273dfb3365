#include "digest.h"

#include <Poco/Crypto/DigestEngine.h>
#include <strings.h>

namespace crocusspur::internal {

std::string sha256Hex(const std::string &Text) {
  Poco::Crypto::DigestEngine engine("SHA256");
  engine.update(Text);
  return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string bearerToken(const std::string &Authorization) {
  constexpr size_t SchemeBytes = 7;
  if (Authorization.size() <= SchemeBytes ||
      strncasecmp(Authorization.c_str(), "Bearer ", SchemeBytes) != 0)
    return "";
  return Authorization.substr(SchemeBytes);
}

} // namespace crocusspur::internal
