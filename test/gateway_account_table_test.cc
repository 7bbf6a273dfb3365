#include "account_samples.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

std::string holderOf(const AccountTable &Table, const std::string &Key) {
  const ClientAccount *account = Table.findByKey(Key);
  return account ? account->Name : "none";
}

} // namespace

// Guards against a key that names the wrong account, or any, which would charge
// and rank requests as another's.
TEST_CASE("A key finds the account that holds it, and no other key does") {
  std::vector<AccountEntry> entries;
  for (int i = 0; i < 500; ++i) {
    std::string name = "account-" + std::to_string(i);
    entries.push_back(
        test::accountOf(name, {name + "/first", name + "/second"}));
  }
  entries.push_back(test::accountOf("keyless", {}));
  AccountTable table(entries);
  CHECK(table.size() == 501);
  CHECK(table.keyCount() == 1000);
  size_t wrong = 0;
  for (int i = 0; i < 500; ++i) {
    std::string name = "account-" + std::to_string(i);
    wrong += holderOf(table, name + "/first") != name;
    wrong += holderOf(table, name + "/second") != name;
    wrong += holderOf(table, name) != "none";
    wrong += holderOf(table, name + "/first ") != "none";
  }
  CHECK(wrong == 0);
  CHECK(holderOf(table, "") == "none");
  CHECK(table.findByDigest(internal::sha256("account-7/first")) ==
        table.find("account-7"));
  REQUIRE(table.find("keyless"));
  CHECK(table.find("keyless")->Name == "keyless");
  CHECK(table.find("account-500") == nullptr);
}

// Guards against an empty table that rejects or accepts what nobody configured.
TEST_CASE("A table without accounts is empty and knows no key") {
  AccountTable table;
  CHECK(table.empty());
  CHECK(table.findByKey("a") == nullptr);
  CHECK(table.findByKey("") == nullptr);
  AccountTable keyless({test::accountOf("a", {})});
  CHECK_FALSE(keyless.empty());
  CHECK(keyless.findByKey("") == nullptr);
}

// Guards against a key that two accounts hold, whose requests would count for
// either.
TEST_CASE("Faults of accounts are found, all of them and in order") {
  std::vector<AccountEntry> entries{
      test::accountOf("a", {"k1", "k2"}), test::accountOf("a", {"k3"}),
      test::accountOf("", {"k4"}), test::accountOf("e", {"k5", "k1", "k5"})};
  std::vector<FaultyAccount> faults = findAccountFaults(entries);
  REQUIRE(faults.size() == 4);
  CHECK(faults[0].Fault == AccountFault::DuplicateName);
  CHECK(faults[0].Index == 1);
  CHECK(faults[1].Fault == AccountFault::InvalidName);
  CHECK(faults[1].Index == 2);
  CHECK(faults[2].Fault == AccountFault::DuplicateKey);
  CHECK(faults[2].Key == 1);
  CHECK(faults[3].Key == 2);
  CHECK(findAccountFaults(
            {test::accountOf("a", {"k1"}), test::accountOf("b", {})})
            .empty());
}

// Guards against names that end or extend a header field; see 'Callers of an
// account that isn't supported are refused'.
TEST_CASE("Names that a header field can't hold aren't sendable") {
  for (const char *it : {"", "b\r\nc", "b\nX: y", "\x7f", " d", "d "}) {
    CAPTURE(it);
    CHECK_FALSE(isAccountNameSendable(it));
  }
  CHECK(isAccountNameSendable("a b"));
}

// Guards against an account whose rank is ignored because the route's is lower,
// and against ranks of routes that are lost where accounts have the same one.
TEST_CASE("The rank of an account goes before the route's") {
  CHECK(requestRank(0, 2) < requestRank(std::nullopt, 1));
  CHECK(requestRank(5, 0) > requestRank(std::nullopt, 2));
  CHECK(requestRank(1, 0) < requestRank(1, 2));
  CHECK(requestRank(std::nullopt, 2) == RequestRank{2, 2});
}

// Guards against a digest that differs from the standard's, and against a
// comparison that skips bytes.
TEST_CASE("SHA-256 digests match the standard's and compare whole") {
  CHECK(internal::sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                                      "b00361a396177a9cb410ff61f20015ad");
  internal::Sha256Digest digest = internal::sha256("abc");
  CHECK(digest[0] == 0xba);
  CHECK(digest[31] == 0xad);
  for (size_t i = 0; i < digest.size(); ++i) {
    internal::Sha256Digest other = digest;
    other[i] ^= 1;
    CHECK_FALSE(internal::equalInConstantTime(digest, other));
  }
  CHECK(internal::equalInConstantTime(digest, internal::sha256("abc")));
}
