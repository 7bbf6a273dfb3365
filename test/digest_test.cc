#include "digest.h"

#include <Poco/Crypto/OpenSSLInitializer.h>
#include <doctest/doctest.h>

using namespace crocusspur::internal;

namespace {

// The library's count of its users is private. Access isn't checked in explicit
// instantiations.
int libraryUsers();
template <const Poco::AtomicCounter *Counter> struct CounterAccess {
  friend int libraryUsers() { return Counter->value(); }
};
template struct CounterAccess<&Poco::Crypto::OpenSSLInitializer::_rc>;

} // namespace

// Guards against a process that crashes when two threads compute digests: when
// the library's last user ends, it frees memory that another thread, which
// began meanwhile, has allocated or freed.
TEST_CASE("A digest leaves the cryptographic library initialised") {
  CHECK(sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(libraryUsers() > 0);
}
