#include "key_records.h"

#include <doctest/doctest.h>
#include <set>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const Milliseconds Retention{1000};

// Opens a record and closes it with a body of the given size.
void addClosedRecord(KeyRecords &Records, uint64_t Number, size_t BodySize,
                     TimePoint At = Start) {
  RequestId id{1, Number};
  REQUIRE(Records.addOpen(At, "g", std::to_string(Number), id, Number));
  Records.markDone(At, id, {200, "text/plain", std::string(BodySize, 'x')});
}

std::set<std::string> expired(KeyRecords &Records, Milliseconds After) {
  std::set<std::string> keys;
  Records.expire(Start + After,
                 [&](const std::string &Key) { keys.insert(Key); });
  return keys;
}

} // namespace

// Guards against memory use that grows with the size of the responses.
TEST_CASE("KeyRecords limits the total size of stored bodies") {
  KeyRecords records(10000, Retention);
  for (uint64_t i = 1; i <= 1100; ++i)
    addClosedRecord(records, i, KeyRecords::MaxStoredBodyBytes);
  CHECK(records.bodyBytes() == size_t(64) << 20);
  CHECK(records.find("g", "1")->HasBody);
  CHECK_FALSE(records.find("g", "1100")->HasBody);
  CHECK(records.find("g", "1100")->Outcome.HttpStatus == 200);
  CHECK(expired(records, Retention).size() == 1100);
  CHECK(records.bodyBytes() == 0);
  addClosedRecord(records, 1, KeyRecords::MaxStoredBodyBytes + 1);
  CHECK_FALSE(records.find("g", "1")->HasBody);
}

// Guards against records that expire while they are in use or being executed.
TEST_CASE("KeyRecords expires closed records after their last use") {
  KeyRecords records(10, Retention);
  addClosedRecord(records, 1, 1);
  addClosedRecord(records, 2, 1);
  REQUIRE(records.addOpen(Start, "g", "3", {1, 3}, 3));
  records.touch(Start + Milliseconds(500), "g", "1");
  CHECK(expired(records, Milliseconds(999)).empty());
  CHECK(expired(records, Milliseconds(1000)) == std::set<std::string>{"2"});
  CHECK(expired(records, Milliseconds(1500)) == std::set<std::string>{"1"});
  CHECK(expired(records, Milliseconds(9000)).empty());
  REQUIRE(records.find("g", "3"));
  CHECK(records.find("g", "3")->isOpen());
}

// Guards against mixing the keys of two groups, or keys with a common prefix.
TEST_CASE("KeyRecords keeps groups and keys apart") {
  KeyRecords records(10, Retention);
  REQUIRE(records.addOpen(Start, "g", "k", {1, 1}, 1));
  REQUIRE(records.addOpen(Start, "h", "k", {1, 2}, 2));
  REQUIRE(records.addOpen(Start, "g", "k2", {1, 3}, 3));
  CHECK_FALSE(records.addOpen(Start, "g", "k", {1, 4}, 4));
  std::set<std::string> groups;
  records.forEachOpen("k", [&](const std::string &Group, const KeyRecord &) {
    groups.insert(Group);
  });
  CHECK(groups == std::set<std::string>{"g", "h"});
  records.removeOpen({1, 1});
  CHECK_FALSE(records.find("g", "k"));
  CHECK(records.find("h", "k")->Fingerprint == 2);
  CHECK(records.openCount() == 2);
}

// Guards against an outcome from another instance replacing a local record.
TEST_CASE("KeyRecords adopts an outcome only for keys without a record") {
  KeyRecords records(2, Retention);
  REQUIRE(records.addOpen(Start, "g", "k", {1, 1}, 1));
  records.addDone(Start, "g", "k", 9, {200, "", "other"});
  CHECK(records.find("g", "k")->isOpen());
  records.addDone(Start, "g", "m", 9, {200, "", "other"});
  REQUIRE(records.find("g", "m"));
  CHECK(records.find("g", "m")->Outcome.Body == "other");
  records.addDone(Start, "g", "n", 9, {200, "", "other"});
  CHECK_FALSE(records.find("g", "n"));
}
