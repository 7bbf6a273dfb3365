// Entries of another writer in the store, as long as a value may be, read by
// gateway processes with a limit on their memory beside a sound service.
#include "memory_rig.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::test;
using Clock = std::chrono::steady_clock;

namespace {

constexpr size_t MaxValueBytes = 1048000;
constexpr Milliseconds WatchTime{4000};
constexpr Milliseconds SoundPause{10};
constexpr int InstanceCount = 2;

std::string listOf(const std::string &Unit) {
  std::string all = "[" + Unit;
  while (all.size() + Unit.size() + 100 < MaxValueBytes)
    all += "," + Unit;
  return all + "]";
}

std::string inventory() {
  return R"({"service":"inventory","slots":)" + listOf("{}") + "}";
}

struct Rig {
  Rig()
      : Sound([](const std::string &Request, int) {
          return signedResponse(200, "bay 7",
                                headerField(Request, "Attempt-Id"));
        }),
        Fleet(InstanceCount) {
    Fleet.Store.put("op/config", MemoryRigConfig);
    Fleet.Store.put("servers/s1", wideEntry("sound", Sound.address()));
    Fleet.startAll();
  }

  // Sends requests of the sound service for some time and checks how many are
  // served, the instances' memory, and that they live.
  void check(const std::string &Name,
             const std::function<void(int)> &EachTurn = {}) {
    int sent = 0;
    int served = 0;
    for (TimePoint until = Clock::now() + WatchTime; Clock::now() < until;) {
      if (EachTurn)
        EachTurn(sent);
      const GatewayInstance &to = Fleet.Instances[sent % InstanceCount];
      ++sent;
      TimePoint sentAt = Clock::now();
      int status = sendAndDiscard(to, "/s/1", "s" + std::to_string(sent),
                                  sentAt + SoundTime);
      served += status == 200 ? 1 : 0;
      std::this_thread::sleep_for(SoundPause);
    }
    for (const GatewayInstance &it : Fleet.Instances) {
      size_t peak = peakKb(it.Process->pid());
      MESSAGE(Name << ": peak " << peak / 1024 << " MB, served " << served
                   << " of " << sent);
      CHECK(peak > 0);
      CHECK(static_cast<double>(peak) <= MaxPart * MemoryMb * 1024);
      CHECK_FALSE(it.Process->waitForExit(Milliseconds(0)).has_value());
    }
    CHECK(served >= MinServed * sent);
  }

  FakeServer Sound;
  GatewayFleet Fleet;
};

} // namespace

// An instance built a tree of all values, some 300 bytes for each "{}", was
// ended by its memory and read the entry again.
TEST_CASE("An entry of another writer doesn't take the instances' memory") {
  Rig rig;
  rig.Fleet.Store.put("servers/inventory", inventory());
  rig.check("list of objects");
  rig.Fleet.Store.put("servers/nested", listOf("[[[[]]]]"));
  std::string members = R"({"service":"bays","k0":{})";
  for (int i = 1; i < 85000; ++i)
    members += ",\"k" + std::to_string(i) + "\":{}";
  rig.Fleet.Store.put("servers/members", members + "}");
  rig.check("nested lists and members");
}

// The same text in the entry of a live server, which stays in use.
TEST_CASE("A field that nobody reads takes no server out of use") {
  Rig rig;
  rig.Fleet.Store.put(
      "servers/s1",
      wideEntry("sound", rig.Sound.address(),
                R"("state":"ready","inventory":)" + listOf("{}")));
  rig.check("a live server's entry");
}

TEST_CASE("An entry that is written again and again keeps no server waiting") {
  Rig rig;
  const std::string value = inventory();
  TimePoint next = Clock::now();
  rig.check("written five times a second", [&](int) {
    if (Clock::now() < next)
      return;
    next = Clock::now() + Milliseconds(200);
    rig.Fleet.Store.put("servers/inventory", value);
  });
}

// The answer of a watch with all of them is longer than a response may be, so
// that nothing of it was read.
TEST_CASE("Changes behind many long entries are applied") {
  Rig rig;
  const std::string value = inventory();
  for (int i = 0; i < 30; ++i)
    rig.Fleet.Store.put("servers/inventory-" + std::to_string(i), value);
  FakeServer late([](const std::string &Request, int) {
    return signedResponse(200, "bay 8", headerField(Request, "Attempt-Id"));
  });
  rig.Fleet.Store.put("servers/s2", wideEntry("bays", late.address()));
  for (const GatewayInstance &it : rig.Fleet.Instances)
    CHECK(eventually([&] {
      return GatewayFleet::sendRequest(it, "/x/1").find("bay 8") !=
             std::string::npos;
    }));
  rig.check("thirty entries");
}

TEST_CASE("Many short entries don't take the instances' memory") {
  Rig rig;
  for (int i = 0; i < 20000; ++i)
    rig.Fleet.Store.put("servers/x" + std::to_string(i),
                        R"({"service":"inventory","slots":[{},{}],"n":1})");
  rig.check("20,000 short entries");
}
