#include "gateway/decisions/member_table.h"
#include "virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

namespace {

Member memberOf(int Number, uint64_t Incarnation = 1) {
  Member member;
  member.Name = "n" + std::to_string(Number);
  member.Address = "10.0.0." + std::to_string(Number) + ":1";
  member.Incarnation = Incarnation;
  return member;
}

} // namespace

TEST_CASE("An instance without members contacts the seeds except itself") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  table.setSeeds({"10.0.0.1:1", "10.0.0.2:1"});
  for (int i = 0; i < 20; ++i)
    CHECK(table.selectContacts(2, at(i)) ==
          std::vector<std::string>{"10.0.0.2:1"});
}

TEST_CASE("Dead seeds aren't needed once members are known") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  table.setSeeds({"10.0.0.99:1"});
  table.onMemberSeen(memberOf(2), Start);
  int seeds = 0;
  for (int i = 0; i < 100; ++i) {
    std::vector<std::string> contacts = table.selectContacts(2, at(i));
    REQUIRE_FALSE(contacts.empty());
    CHECK(contacts.front() == "10.0.0.2:1");
    seeds += static_cast<int>(
        std::count(contacts.begin(), contacts.end(), "10.0.0.99:1"));
  }
  CHECK(seeds == 10); // so that separated parts discover each other
}

TEST_CASE("The number of contacts doesn't grow with the fleet") {
  MemberTable table("n0", "10.0.0.0:1", 7);
  for (int i = 1; i < 400; ++i)
    table.onMemberSeen(memberOf(i), Start);
  std::set<std::string> seen;
  for (int i = 0; i < 2000; ++i) {
    std::vector<std::string> contacts = table.selectContacts(2, at(i));
    CHECK(contacts.size() == 2);
    seen.insert(contacts.begin(), contacts.end());
  }
  CHECK(seen.size() > 350);
}

// Guards against rounds that cross failure domains whatever the fleet's size,
// and against domains that don't hear of each other. An instance that hasn't
// discovered the fleet contacts all domains.
TEST_CASE("In a large fleet most contacts are within the failure domain") {
  MemberTable table("n0", "10.0.0.0:1", 7);
  table.setFailureDomain("d0");
  for (int i = 1; i < 61; ++i) {
    Member member = memberOf(i);
    member.FailureDomain = "d" + std::to_string(i % 4);
    table.onMemberSeen(member, Start);
  }
  int within = 0;
  int all = 0;
  auto count = [&] {
    within = all = 0;
    for (int i = 0; i < 500; ++i)
      for (const std::string &it : table.selectContacts(2, at(i))) {
        ++all;
        within += std::stoi(it.substr(7)) % 4 == 0;
      }
  };
  count();
  CHECK(within < all * 4 / 10);
  table.onPeerHeard({"10.0.0.1:1", true, true}, Start);
  count();
  CHECK(within > all * 7 / 10);
  CHECK(within < all * 9 / 10);
}

TEST_CASE("A member that isn't seen for ten seconds is removed") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  table.onMemberSeen(memberOf(2), Start);
  CHECK(table.alive(at(9999)).size() == 1);
  CHECK(table.alive(at(10000)).empty());
}

TEST_CASE("An old update from a peer doesn't revive a dead member") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  table.onMemberSeen(memberOf(2), Start);
  Member old = memberOf(2);
  old.LastSeenAgo = Milliseconds(9600); // before the known state
  table.onMemberSeen(old, at(9500));
  CHECK(table.alive(at(10000)).empty());
}

TEST_CASE("A restarted member is contacted again at once") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  table.onMemberSeen(memberOf(2), Start);
  table.onContactFailed("10.0.0.2:1", at(10));
  CHECK(table.selectContacts(2, at(20)).empty());
  table.onMemberSeen(memberOf(2, /*Incarnation=*/2), at(30));
  CHECK(table.selectContacts(2, at(40)).size() == 1);
}

TEST_CASE("Many budget sharers are assumed until a member is known") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  CHECK(table.budgetSharers(Start) == 64);
  table.onMemberSeen(memberOf(2), Start);
  CHECK(table.budgetSharers(at(2999)) == 64);
  CHECK(table.budgetSharers(at(3000)) == 2);
}

TEST_CASE(
    "The number of budget sharers is kept for a minute after a partition") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  for (int i = 2; i < 9; ++i)
    table.onMemberSeen(memberOf(i), Start);
  REQUIRE(table.budgetSharers(at(3000)) == 8);
  CHECK(table.budgetSharers(at(30000)) == 8);
  CHECK(table.budgetSharers(at(70000)) == 1);
}

TEST_CASE("The first by name becomes leader after the required time") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  CHECK_FALSE(table.isLeader(Milliseconds(0), Start));
  for (int i = 2; i < 9; ++i)
    table.onMemberSeen(memberOf(i), Start);
  CHECK_FALSE(table.isLeader(Milliseconds(6000), Start));
  CHECK(table.isLeader(Milliseconds(6000), at(6000)));
  Member first = memberOf(0);
  table.onMemberSeen(first, at(6100));
  CHECK_FALSE(table.isLeader(Milliseconds(6000), at(6100)));
  first.Leaving = true;
  table.onMemberSeen(first, at(6200));
  CHECK_FALSE(table.isLeader(Milliseconds(6000), at(6200)));
}

TEST_CASE("An instance that sees less than half of the fleet isn't leader") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  for (int i = 2; i < 9; ++i)
    table.onMemberSeen(memberOf(i), Start);
  REQUIRE(table.isLeader(Milliseconds(0), Start));
  for (int i = 2; i < 5; ++i)
    table.onMemberSeen(memberOf(i), at(9000));
  CHECK(table.alive(at(11000)).size() == 3);
  CHECK_FALSE(table.isLeader(Milliseconds(0), at(11000)));
}

TEST_CASE("All instances find the same owner of a key") {
  std::vector<std::unique_ptr<MemberTable>> tables;
  for (int i = 0; i < 8; ++i) {
    Member own = memberOf(i);
    tables.push_back(std::make_unique<MemberTable>(own.Name, own.Address, 7));
    for (int n = 0; n < 8; ++n)
      tables.back()->onMemberSeen(memberOf(n), Start);
  }
  std::set<std::string> owners;
  for (int key = 0; key < 50; ++key) {
    std::string name = "limit:i-" + std::to_string(key);
    KeyOwner first = tables[0]->ownerOf(name, false, Start);
    owners.insert(first.Name);
    for (int i = 0; i < 8; ++i) {
      KeyOwner owner = tables[i]->ownerOf(name, false, Start);
      CHECK(owner.Known);
      CHECK(owner.Name == first.Name);
      CHECK(owner.Address.empty() == (owner.Name == memberOf(i).Name));
    }
  }
  CHECK(owners.size() > 4);
}

TEST_CASE("An instance that leaves owns no key") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  Member other = memberOf(2);
  table.onMemberSeen(other, Start);
  for (int key = 0; key < 20; ++key)
    CHECK(table.ownerOf(std::to_string(key), true, Start).Name == other.Name);
  other.Leaving = true;
  table.onMemberSeen(other, at(10));
  for (int key = 0; key < 20; ++key)
    CHECK(table.ownerOf(std::to_string(key), false, at(10)).Name == "n1");
}

TEST_CASE("An instance that knows nobody yet can't tell the owner of a key") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  CHECK(table.ownerOf("k", false, Start).Known); // it has no peers
  table.setSeeds({"10.0.0.2:1"});
  CHECK_FALSE(table.ownerOf("k", false, Start).Known);
  table.onMemberSeen(memberOf(2), Start);
  CHECK(table.ownerOf("k", false, Start).Known);
}

// Records that were sent to instances that were about to exit ended with them.
TEST_CASE("Instances that leave are the last to receive what is to be kept") {
  MemberTable table("n1", "10.0.0.1:1", 7);
  for (int i = 2; i <= 8; ++i)
    table.onMemberSeen(memberOf(i), Start);
  const std::vector<std::string> keepers = table.keepersOf("k", at(0));
  REQUIRE(keepers.size() == 7);
  CHECK(table.receiversOf("k", at(0)) == keepers);
  for (int i = 2; i <= 8; ++i) {
    Member member = memberOf(i);
    member.Leaving =
        member.Address == keepers[0] || member.Address == keepers[2];
    member.StateVersion = 1;
    table.onMemberSeen(member, at(1));
  }
  const std::vector<std::string> expected = {keepers[1], keepers[3], keepers[4],
                                             keepers[5], keepers[6], keepers[0],
                                             keepers[2]};
  CHECK(table.receiversOf("k", at(1)) == expected);
  CHECK(table.keepersOf("k", at(1)) == keepers); // they may be asked still
}
