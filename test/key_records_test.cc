#include "key_records.h"

#include <doctest/doctest.h>
#include <set>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const Milliseconds Retention{1000};

// Opens a record and closes it with a body of this size.
void run(KeyRecords &Records, uint64_t Number, size_t BodySize,
         TimePoint At = Start) {
  RequestId id{1, Number};
  REQUIRE(Records.open(At, "g", std::to_string(Number), id, Number));
  Records.done(At, id, {200, "text/plain", std::string(BodySize, 'x')});
}

std::set<std::string> expired(KeyRecords &Records, Milliseconds After) {
  std::set<std::string> keys;
  Records.expire(Start + After,
                 [&](const std::string &Key) { keys.insert(Key); });
  return keys;
}

} // namespace

// Guards against memory that grows with the size of the answers.
TEST_CASE("KeyRecords bounds the bytes of remembered bodies") {
  KeyRecords records(10000, Retention);
  for (uint64_t i = 1; i <= 1100; ++i)
    run(records, i, KeyRecords::MaxBody);
  CHECK(records.bodyBytes() == size_t(64) << 20);
  CHECK(records.find("g", "1")->HasBody);
  CHECK_FALSE(records.find("g", "1100")->HasBody);
  CHECK(records.find("g", "1100")->Outcome.HttpStatus == 200);
  CHECK(expired(records, Retention).size() == 1100);
  CHECK(records.bodyBytes() == 0);
  run(records, 1, KeyRecords::MaxBody + 1);
  CHECK_FALSE(records.find("g", "1")->HasBody);
}

// Guards against records that expire while they are in use or being executed.
TEST_CASE("KeyRecords expires closed records after their last use") {
  KeyRecords records(10, Retention);
  run(records, 1, 1);
  run(records, 2, 1);
  REQUIRE(records.open(Start, "g", "3", {1, 3}, 3));
  records.touch(Start + Milliseconds(500), "g", "1");
  CHECK(expired(records, Milliseconds(999)).empty());
  CHECK(expired(records, Milliseconds(1000)) == std::set<std::string>{"2"});
  CHECK(expired(records, Milliseconds(1500)) == std::set<std::string>{"1"});
  CHECK(expired(records, Milliseconds(9000)).empty());
  REQUIRE(records.find("g", "3"));
  CHECK(records.find("g", "3")->open());
}

// Guards against mixing the keys of two groups, or keys with a common prefix.
TEST_CASE("KeyRecords keeps groups and keys apart") {
  KeyRecords records(10, Retention);
  REQUIRE(records.open(Start, "g", "k", {1, 1}, 1));
  REQUIRE(records.open(Start, "h", "k", {1, 2}, 2));
  REQUIRE(records.open(Start, "g", "k2", {1, 3}, 3));
  CHECK_FALSE(records.open(Start, "g", "k", {1, 4}, 4));
  std::set<std::string> groups;
  records.forEachOpen("k", [&](const std::string &Group, const KeyRecord &) {
    groups.insert(Group);
  });
  CHECK(groups == std::set<std::string>{"g", "h"});
  records.notRun({1, 1});
  CHECK_FALSE(records.find("g", "k"));
  CHECK(records.find("h", "k")->Fingerprint == 2);
  CHECK(records.openCount() == 2);
}

// Guards against an outcome taken over that replaces the own record.
TEST_CASE("KeyRecords adopts an outcome only for keys without a record") {
  KeyRecords records(2, Retention);
  REQUIRE(records.open(Start, "g", "k", {1, 1}, 1));
  records.adopt(Start, "g", "k", 9, {200, "", "other"});
  CHECK(records.find("g", "k")->open());
  records.adopt(Start, "g", "m", 9, {200, "", "other"});
  REQUIRE(records.find("g", "m"));
  CHECK(records.find("g", "m")->Outcome.Body == "other");
  records.adopt(Start, "g", "n", 9, {200, "", "other"});
  CHECK_FALSE(records.find("g", "n"));
}
