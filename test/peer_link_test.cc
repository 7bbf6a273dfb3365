#include "peer_link.h"

#include "fake_event_sink.h"

#include <Poco/Net/ServerSocket.h>
#include <algorithm>
#include <doctest/doctest.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

class FakeForwardHandler : public ForwardHandler {
public:
  void onForward(const std::string &From, PeerMessage Message) override {
    auto *body = std::get_if<ForwardBody>(&Message);
    add(From + " " + (body ? body->Data : "other"));
  }
  void onLinkLost(const std::string &Instance) override {
    add("lost " + Instance);
  }
  bool waitFor(const std::string &Text) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, std::chrono::seconds(30), [&] {
      return std::count(Records.begin(), Records.end(), Text) > 0;
    });
  }

private:
  void add(std::string Text) {
    std::lock_guard lock(Mutex);
    Records.push_back(std::move(Text));
    Changed.notify_all();
  }
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Records;
};

// One instance with the plug-in and fakes of its dependencies.
struct Instance {
  Instance(const std::string &Name, uint64_t Incarnation, uint16_t Port)
      : Events(Incarnation), Owner(settingsOf(Name, Port)) {
    Owner.provide<EventSink>(&Events);
    Plug = makePeerLink();
    Started = Plug->start(Owner);
    // After the start: the plug-in must look it up lazily.
    Owner.provide<ForwardHandler>(&Forwards);
  }
  ~Instance() { stop(); }
  void stop() {
    if (std::exchange(Started, false))
      Plug->stop();
  }
  PeerSender &sender() { return *Owner.find<PeerSender>(); }

  static Settings settingsOf(const std::string &Name, uint16_t Port) {
    Settings values;
    values.Instance = Name;
    values.PeerKey = "0123456789abcdef";
    values.PeerAddress = "127.0.0.1:" + std::to_string(Port);
    return values;
  }

  FakeEventSink Events;
  FakeForwardHandler Forwards;
  Kernel Owner;
  std::unique_ptr<Plugin> Plug;
  bool Started = false;
};

// Returns a free port that the kernel has chosen.
uint16_t freePort() {
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().port();
}

} // namespace

// Guards against messages delivered to the wrong component and against link
// changes that aren't reported to the core or the relay.
TEST_CASE("PeerLink dispatches messages to the core and to the relay") {
  uint16_t port = freePort();
  Instance b("b", 22, port);
  REQUIRE(b.Started);
  Instance a("a", 11, 0);
  REQUIRE(a.Started);
  InstanceList list;
  list.Instances.resize(2);
  list.Instances[0].Name = "a";
  list.Instances[0].PeerAddress = "127.0.0.1:1";
  list.Instances[1].Name = "b";
  list.Instances[1].PeerAddress = "127.0.0.1:" + std::to_string(port);
  a.sender().setPeers(list);
  REQUIRE(a.Events.waitForCount<PeerLinkChanged>(1));
  REQUIRE(b.Events.waitForCount<PeerLinkChanged>(1));
  CHECK(a.Events.all<PeerLinkChanged>()[0].Instance == "b");
  CHECK(a.Events.all<PeerLinkChanged>()[0].Incarnation == 22);
  CHECK(a.sender().send("b", ForwardBody{{11, 1}, "piece"}));
  CHECK(a.sender().send("b", ConfigRequest{9}));
  REQUIRE(b.Events.waitForCount<PeerReceived>(1));
  PeerReceived got = b.Events.all<PeerReceived>()[0];
  CHECK(got.From == "a");
  CHECK(got.Incarnation == 11);
  CHECK(std::get<ConfigRequest>(got.Message).HaveVersion == 9);
  CHECK(b.Forwards.waitFor("a piece"));
  CHECK(b.Events.all<PeerReceived>().size() == 1);
  a.stop();
  CHECK_FALSE(a.sender().send("b", Goodbye{}));
  REQUIRE(b.Events.waitForCount<PeerLinkChanged>(2));
  CHECK_FALSE(b.Events.all<PeerLinkChanged>()[1].Up);
  CHECK(b.Forwards.waitFor("lost a"));
}

// Guards against a process that runs but is unreachable for its peers.
TEST_CASE("PeerLink doesn't start without its port or an event sink") {
  Poco::Net::ServerSocket taken(Poco::Net::SocketAddress("127.0.0.1", 0));
  Instance late("a", 1, taken.address().port());
  CHECK_FALSE(late.Started);
  Kernel bare(Instance::settingsOf("a", 0));
  CHECK_FALSE(makePeerLink()->start(bare));
}
