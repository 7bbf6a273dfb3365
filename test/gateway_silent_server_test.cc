// Sound servers that are silent for longer than a run usually waits, before
// their response or in the middle of it.
#include "gateway_fixture.h"
#include "stream_samples.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

// Longer than the 1.5 s after which a silent run looks for another server.
constexpr Milliseconds SilenceTime{1700};
constexpr int EventCount = 4;

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

bool isReserve(const std::string &Request) {
  return Request.starts_with("POST /api/hold-take");
}

std::string reservation() {
  return httpResponse(200, R"({"retention":"res1"})");
}

enum class SilentAt : uint8_t { Head, SecondEvent };

// A decode server that is silent in each run until `Resume` returns.
class SilentServer {
public:
  SilentServer(SilentAt Place, std::function<void()> Resume)
      : Place(Place), Resume(std::move(Resume)),
        Server([this](int Fd, int) { serve(Fd); }) {}
  std::string address() const { return Server.address(); }
  std::atomic<int> Runs{0};
  std::atomic<bool> WentOn{false}; // the rest of a run has been sent

private:
  void serve(int Fd) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (isReserve(request)) {
        sendText(Fd, reservation());
        continue;
      }
      if (!request.starts_with("POST /x/y")) {
        sendText(Fd, httpResponse(200, "{}"));
        continue;
      }
      ++Runs;
      if (Place == SilentAt::SecondEvent)
        sendText(Fd, StreamHead + eventChunks(1, 1));
      Resume();
      sendText(Fd, Place == SilentAt::Head
                       ? StreamHead + eventChunks(1, EventCount)
                       : eventChunks(2, EventCount));
      sendText(Fd, LastChunk);
      WentOn = true;
    }
  }

  SilentAt Place;
  std::function<void()> Resume;
  ScriptServer Server;
};

void sleepForSilence() { std::this_thread::sleep_for(SilenceTime); }

void add(GatewayFixture &Gateway, const std::string &Id,
         const std::string &Address, const std::string &Version = "v1") {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = Id;
  entry.Service = "summaries";
  entry.Address = Address;
  entry.Slots = 4;
  entry.Stage = ServerStage::Decode;
  entry.Version = Version;
  Gateway.Directory.applyServer({Id, {0, ++Gateway.Revision}, entry},
                                UpdateOrigin::Store);
}

PathRoute resumable(const GatewayFixture &Gateway) {
  PathRoute route = Gateway.route(RouteKind::Stream);
  route.Resumable = true;
  return route;
}

void checkWhole(const std::string &Response) {
  CHECK(Response.starts_with("HTTP/1.1 200"));
  CHECK(contains(Response, event(EventCount)));
  CHECK(Response.ends_with("0\r\n\r\n"));
}

// A second server that gives no reservation for the stream.
struct OtherServer {
  std::string Why;
  bool Exists = true;
  bool Grants = true;
  std::string Version = "v1";
  int MaxServers = 2;
  bool HasRetries = true;
};

} // namespace

// The gateway closed the connection to the silent server and then found that no
// other one could take the stream: callers got a part of a stream, or an error.
TEST_CASE("A run at a silent server goes on if no other server takes it") {
  for (SilentAt place : {SilentAt::Head, SilentAt::SecondEvent})
    for (OtherServer other :
         {OtherServer{"none", false}, OtherServer{"full", true, false},
          OtherServer{"another version", true, true, "v2"},
          OtherServer{"no attempt left", true, true, "v1", 1},
          OtherServer{"no retry left", true, true, "v1", 2, false}}) {
      CAPTURE(static_cast<int>(place));
      CAPTURE(other.Why);
      SilentServer silent(place, sleepForSilence);
      FakeServer second([&](const std::string &Request, int) {
        if (isReserve(Request) && (!other.Grants || silent.Runs == 0))
          return refusal();
        CHECK_FALSE(Request.starts_with("POST /x/y"));
        return isReserve(Request) ? reservation() : httpResponse(200, "{}");
      });
      GatewayFixture gateway; // closes its connections before servers stop
      if (!other.HasRetries)
        gateway.Directory.setRetryAllowance({0, 0});
      add(gateway, "d1", silent.address());
      if (other.Exists)
        add(gateway, "d2", second.address(), other.Version);
      PathRoute route = resumable(gateway);
      route.MaxServers = static_cast<uint32_t>(other.MaxServers);
      checkWhole(gateway.run(route));
      CHECK(silent.Runs == 1);
    }
}

TEST_CASE("A stream leaves a silent server for one that has room") {
  for (SilentAt place : {SilentAt::Head, SilentAt::SecondEvent}) {
    CAPTURE(static_cast<int>(place));
    std::atomic<bool> done{false};
    SilentServer silent(place,
                        [&] { eventually([&] { return done.load(); }); });
    FakeServer second([&](const std::string &Request, int) {
      if (isReserve(Request))
        return silent.Runs == 0 ? refusal() : reservation();
      if (!Request.starts_with("POST /x/y"))
        return httpResponse(200, "{}");
      std::string after = headerField(Request, "Last-Event-Id");
      CHECK(after == (place == SilentAt::Head ? "" : "1"));
      return StreamHead + eventChunks(after.empty() ? 1 : 2, EventCount) +
             "0\r\n\r\n";
    });
    GatewayFixture gateway;
    add(gateway, "d1", silent.address());
    add(gateway, "d2", second.address());
    checkWhole(gateway.run(resumable(gateway)));
    CHECK_FALSE(silent.WentOn);
    done = true;
  }
}

// The reservation is given back, and the run isn't repeated.
TEST_CASE("A server that goes on while another is sought keeps its stream") {
  for (SilentAt place : {SilentAt::Head, SilentAt::SecondEvent}) {
    CAPTURE(static_cast<int>(place));
    std::atomic<bool> sought{false};
    SilentServer silent(place,
                        [&] { eventually([&] { return sought.load(); }); });
    FakeServer second([&](const std::string &Request, int) {
      if (!isReserve(Request)) {
        CHECK_FALSE(Request.starts_with("POST /x/y"));
        return httpResponse(200, "{}");
      }
      if (silent.Runs == 0)
        return refusal();
      sought = true;
      eventually([&] { return silent.WentOn.load(); });
      return reservation();
    });
    GatewayFixture gateway;
    add(gateway, "d1", silent.address());
    add(gateway, "d2", second.address());
    checkWhole(gateway.run(resumable(gateway)));
    CHECK(silent.Runs == 1);
    CHECK(eventually(
        [&] { return second.count("DELETE /api/hold-drop/res1") == 1; }));
  }
}

// An attempt that may be repeated ended after a usual time even if there was
// nowhere to repeat it.
TEST_CASE("An idempotent request waits for a silent server without another") {
  for (bool hasRetries : {true, false}) {
    CAPTURE(hasRetries);
    GatewayFixture gateway;
    if (!hasRetries)
      gateway.Directory.setRetryAllowance({0, 0});
    auto respond = [](const std::string &, int) {
      std::this_thread::sleep_for(Milliseconds(600));
      return signedResponse(200, "late answer");
    };
    FakeServer silent(respond);
    FakeServer other(respond);
    gateway.addServer("s1", silent);
    if (!hasRetries)
      gateway.addServer("s2", other);
    PathRoute route = gateway.route(RouteKind::Idempotent);
    route.LatencyTarget = Milliseconds(100);
    CHECK(gateway.run(route).ends_with("late answer"));
    CHECK(silent.requests().size() + other.requests().size() == 1);
  }
}
