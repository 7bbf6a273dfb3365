// A thread that holds one mutex of the product and takes another can wait for
// good for a thread that does the reverse, and all requests behind them.
#include "checked_mutex.h"
#include "gateway/store_readers.h"
#include "listener_slot.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;
using internal::LeafMutex;
using internal::ListenerSlot;
using internal::OuterMutex;

namespace {

// Collects what would end the process.
class WrongOrders {
public:
  WrongOrders() {
    Former = internal::setLockOrderHandler([this](const std::string &It) {
      std::lock_guard lock(Mutex);
      Descriptions.push_back(It);
    });
  }
  ~WrongOrders() { internal::setLockOrderHandler(Former); }
  WrongOrders(const WrongOrders &) = delete;
  WrongOrders &operator=(const WrongOrders &) = delete;

  std::vector<std::string> all() {
    std::lock_guard lock(Mutex);
    return Descriptions;
  }

private:
  internal::LockOrderHandler Former;
  std::mutex Mutex;
  std::vector<std::string> Descriptions;
};

// A part of the process that is told of something.
struct Part {
  void onEvent() {
    std::lock_guard lock(Mutex);
    ++Events;
  }

  LeafMutex Mutex;
  int Events = 0;
};

crocusspur::gateway::ServerEntry entryOf(const std::string &Id,
                                         int64_t StartedAt) {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = Id;
  entry.Service = "bays";
  entry.Address = "10.0.0.1:80";
  entry.Version = "v1";
  entry.StartedAt = StartedAt;
  return entry;
}

} // namespace

TEST_CASE("A mutex that is taken under another is reported with both") {
  WrongOrders found;
  LeafMutex outer("outer.cc", 3);
  LeafMutex inner("inner.cc", 7);
  {
    std::lock_guard lock(outer);
    std::lock_guard nested(inner);
  }
  REQUIRE(found.all().size() == 1);
  std::string text = found.all()[0];
  CHECK(text.find("mutex inner.cc:7 is taken at ") != std::string::npos);
  CHECK(text.find("under mutex outer.cc:3, taken at ") != std::string::npos);
}

TEST_CASE("Only a leaf mutex may be taken, under an outer one") {
  WrongOrders found;
  LeafMutex leaf;
  LeafMutex otherLeaf;
  OuterMutex outer;
  OuterMutex otherOuter;
  {
    std::lock_guard lock(outer);
    std::lock_guard nested(leaf);
    CHECK(found.all().empty());
    std::lock_guard third(otherLeaf);
    CHECK(found.all().size() == 1);
  }
  {
    std::lock_guard lock(leaf);
    std::lock_guard nested(outer);
    CHECK(found.all().size() == 2);
  }
  std::lock_guard lock(outer);
  std::lock_guard nested(otherOuter);
  CHECK(found.all().size() == 3);
}

TEST_CASE("A mutex that was released may be followed by another") {
  WrongOrders found;
  LeafMutex first;
  LeafMutex second;
  { std::lock_guard lock(first); }
  std::unique_lock lock(second);
  lock.unlock();
  std::lock_guard again(first);
  CHECK(found.all().empty());
}

TEST_CASE("Each thread holds its own mutexes") {
  WrongOrders found;
  LeafMutex first;
  LeafMutex second;
  std::lock_guard lock(first);
  std::thread([&] { std::lock_guard other(second); }).join();
  CHECK(found.all().empty());
}

TEST_CASE("A thread that waits for a condition doesn't hold its mutex") {
  WrongOrders found;
  LeafMutex mutex;
  LeafMutex other;
  internal::ConditionVariable wake;
  bool isSet = false;
  std::unique_lock lock(mutex);
  std::thread setter([&] {
    std::lock_guard inThread(mutex);
    isSet = true;
    wake.notify_all();
  });
  wake.wait(lock, [&] { return isSet; });
  lock.unlock();
  setter.join();
  std::lock_guard last(other);
  CHECK(found.all().empty());
}

// A listener that was called under its slot's mutex could take none.
TEST_CASE("A listener may take a mutex of its own") {
  WrongOrders found;
  Part part;
  ListenerSlot<> slot;
  slot.call(); // there is none yet
  slot.set([&] { part.onEvent(); });
  slot.call();
  slot.set(nullptr);
  slot.call();
  CHECK(part.Events == 1);
  CHECK(found.all().empty());
}

// A part that has taken its listener back may be destroyed.
TEST_CASE("A listener isn't called any more once it was replaced") {
  ListenerSlot<> slot;
  std::atomic<bool> runs{false};
  std::atomic<bool> hasEnded{false};
  slot.set([&] {
    runs = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    hasEnded = true;
  });
  std::thread caller([&] { slot.call(); });
  while (!runs)
    std::this_thread::yield();
  slot.set(nullptr);
  CHECK(hasEnded);
  caller.join();
}

// The directory told of a server's end under its lock, and the history of
// crashes told the thread that tells peers, which asks the directory.
TEST_CASE("The directory holds no lock while it tells that a server ended") {
  WrongOrders found;
  GatewaySettings values;
  ServiceDirectory directory(values, 7);
  Part crashes;
  Part changes;
  directory.setServerEndListener(
      [&](const std::string &, std::optional<int64_t>) { crashes.onEvent(); });
  directory.setChangeListener([&] { changes.onEvent(); });

  directory.applyServer({"s1", {0, 1}, entryOf("s1", 1000)},
                        UpdateOrigin::Store);
  // It starts again, then another takes its address, then that one is removed.
  directory.applyServer({"s1", {0, 2}, entryOf("s1", 2000)},
                        UpdateOrigin::Store);
  CHECK(crashes.Events == 1);
  directory.applyServerList({{"s1", {0, 2}, entryOf("s1", 2000)},
                             {"s2", {0, 3}, entryOf("s2", 3000)}},
                            {0, 3}, UpdateOrigin::Store);
  CHECK(crashes.Events == 2);
  directory.applyServerChanges({{"s2", {0, 4}, std::nullopt}}, {0, 3}, {0, 4},
                               UpdateOrigin::Store);
  CHECK(crashes.Events == 3);
  CHECK(changes.Events == 2);
  for (const std::string &it : found.all())
    MESSAGE(it);
  CHECK(found.all().empty());
}

// Whether the store is to be read was decided under a lock, with what other
// parts know of members and servers.
TEST_CASE("What decides on reading the store takes no lock under its own") {
  WrongOrders found;
  GatewaySettings values;
  values.Instance = "r1";
  values.FailureDomain = "z1";
  ServiceDirectory directory(values, 7);
  Membership peers("r1", "", 7);
  StoreReaders readers(values, 7, peers, directory);
  Part listener;
  readers.setConfirmationListener([&](bool) { listener.onEvent(); });

  CHECK(readers.shouldRead(PublishedKind::Servers));
  readers.onReadSucceeded(PublishedKind::Servers,
                          std::chrono::steady_clock::now());
  readers.onReadFailed();
  readers.isSelective();
  readers.budget();
  readers.isOld();
  readers.isCurrent(PublishedKind::Servers);
  readers.allReaders();
  CHECK(listener.Events == 1);
  CHECK(found.all().empty());
}
