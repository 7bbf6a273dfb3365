#include "digest.h"

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/Crypto/OpenSSLInitializer.h>
#include <algorithm>
#include <strings.h>

namespace crocusspur::internal {

namespace {

// Each engine of POCO initialises OpenSSL, and the last one that ends frees
// what the first one has allocated. Neither is safe while another thread does
// the same: memory is freed twice. So one initialiser exists until the process
// ends, also while the destructors of static objects run.
Poco::Crypto::DigestEngine makeEngine() {
  [[maybe_unused]] static const auto *const initializer =
      new Poco::Crypto::OpenSSLInitializer;
  return Poco::Crypto::DigestEngine("SHA256");
}

} // namespace

Sha256Digest sha256(std::string_view Text) {
  Poco::Crypto::DigestEngine engine = makeEngine();
  engine.update(Text.data(), Text.size());
  Sha256Digest digest{};
  const Poco::DigestEngine::Digest &bytes = engine.digest();
  std::copy_n(bytes.begin(), std::min(bytes.size(), digest.size()),
              digest.begin());
  return digest;
}

std::string sha256Hex(const std::string &Text) {
  Poco::Crypto::DigestEngine engine = makeEngine();
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
