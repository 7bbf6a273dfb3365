#include "fair_queue.h"

#include <doctest/doctest.h>
#include <list>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

struct Fixture {
  std::list<QueuedItem> Items;
  FairQueue Queue;

  ~Fixture() {
    for (QueuedItem &it : Items)
      if (it.queued())
        Queue.remove(it);
  }
  QueuedItem &push(const std::string &Group, double Cost) {
    QueuedItem &item = Items.emplace_back();
    item.Group = Group;
    item.Cost = {0, Cost};
    Queue.push(item);
    return item;
  }
  std::string serve() {
    QueuedItem *item = Queue.next([](const QueuedItem &) { return true; });
    if (!item)
      return "";
    Queue.dequeue(*item);
    return item->Group;
  }
};

} // namespace

// Guards against shares that are applied to numbers of requests instead of
// costs.
TEST_CASE("FairQueue shares by weight and cost") {
  Fixture it;
  it.Queue.setGroup("a", 1, RequestClass::Normal);
  it.Queue.setGroup("b", 3, RequestClass::Normal);
  for (int i = 0; i < 400; ++i) {
    it.push("a", 1);
    it.push("b", 2);
  }
  double served[2] = {0, 0};
  for (int i = 0; i < 200; ++i)
    it.serve() == "a" ? served[0] += 1 : served[1] += 2;
  CHECK(served[1] / served[0] == doctest::Approx(3).epsilon(0.05));
}

// Guards against an idle group that is served exclusively once it has requests
// again.
TEST_CASE("FairQueue gives an idle group no credit") {
  Fixture it;
  it.Queue.setGroup("a", 1, RequestClass::Normal);
  it.Queue.setGroup("b", 1, RequestClass::Normal);
  for (int i = 0; i < 200; ++i)
    it.push("a", 1);
  for (int i = 0; i < 100; ++i)
    it.serve();
  for (int i = 0; i < 100; ++i)
    it.push("b", 1);
  int b = 0;
  for (int i = 0; i < 20; ++i)
    b += it.serve() == "b";
  CHECK(b >= 9);
  CHECK(b <= 11);
}

// Guards against interactive requests that wait behind a backlog of long ones.
TEST_CASE("FairQueue serves an interactive group within its share first") {
  Fixture it;
  it.Queue.setGroup("long", 1, RequestClass::Normal);
  it.Queue.setGroup("short", 1, RequestClass::Interactive);
  it.Queue.setInteractiveLead(4);
  for (int i = 0; i < 50; ++i)
    it.push("long", 10);
  for (int i = 0; i < 5; ++i)
    it.serve();
  it.push("short", 1);
  it.push("short", 1);
  CHECK(it.serve() == "short");
  CHECK(it.serve() == "short");
  // Beyond its lead it has no precedence, so the others get their share.
  for (int i = 0; i < 50; ++i)
    it.push("short", 1);
  int shortOnes = 0;
  for (int i = 0; i < 22; ++i)
    shortOnes += it.serve() == "short";
  CHECK(shortOnes >= 18);
  CHECK(shortOnes <= 21);
}

// Guards against batch requests that take part of the other groups' shares.
TEST_CASE("FairQueue serves batch groups only when no other group waits") {
  Fixture it;
  it.Queue.setGroup("a", 1, RequestClass::Normal);
  it.Queue.setGroup("z", 100, RequestClass::Batch);
  it.push("z", 1);
  it.push("a", 1);
  it.push("a", 1);
  CHECK(it.serve() == "a");
  CHECK(it.serve() == "a");
  CHECK(it.serve() == "z");
  CHECK(it.serve().empty());
}

// Guards against unequal shares when the estimates of one group are wrong.
TEST_CASE("FairQueue adjusts the charge of a group to the actual cost") {
  Fixture it;
  it.Queue.setGroup("a", 1, RequestClass::Normal);
  it.Queue.setGroup("b", 1, RequestClass::Normal);
  for (int i = 0; i < 200; ++i) {
    it.push("a", 1);
    it.push("b", 1);
  }
  int a = 0;
  for (int i = 0; i < 120; ++i)
    if (it.serve() == "a") {
      ++a;
      it.Queue.adjustCharge("a", 1); // took twice the estimate
    }
  CHECK(a >= 39);
  CHECK(a <= 41);
}

// Guards against a wait estimate that ignores the other groups.
TEST_CASE("FairQueue counts the cost that is served before a new request") {
  Fixture it;
  it.Queue.setGroup("a", 1, RequestClass::Normal);
  it.Queue.setGroup("b", 1, RequestClass::Normal);
  it.Queue.setGroup("z", 1, RequestClass::Batch);
  for (int i = 0; i < 10; ++i)
    it.push("a", 1);
  for (int i = 0; i < 4; ++i)
    it.push("b", 1);
  CHECK(it.Queue.costAhead("a").total() == doctest::Approx(14));
  CHECK(it.Queue.costAhead("b").total() == doctest::Approx(8));
  CHECK(it.Queue.costAhead("z").total() == doctest::Approx(14));
  CHECK(it.Queue.backlog("a").Decode == doctest::Approx(10));
}
