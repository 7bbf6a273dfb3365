#include "shard_owner.h"

#include "shard_driver.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

// Guards against an owner that never grants, or that leaks the slot.
TEST_CASE("ShardOwner grants a prefill, then a decode, then frees the slot") {
  ShardDriver driver(1, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.begin();
  RequestId id = driver.submit("g", 1000, 100, 10, 5);
  driver.runUntil(3);
  CHECK(driver.Requests[id].Completed);
  CHECK(driver.count(NoteKind::PrefillStarted) == 1);
  CHECK(driver.count(NoteKind::DecodeStarted) == 1);
  CHECK(driver.count(NoteKind::PrefillWasted) == 0);
  Poco::JSON::Parser parser;
  auto root = parser.parse(driver.Owner.dump(driver.time()))
                  .extract<Poco::JSON::Object::Ptr>();
  CHECK(root->getArray("leases")->size() == 0);
}
