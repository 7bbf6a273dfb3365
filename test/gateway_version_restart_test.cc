// A server that starts again with another software version under its id, and
// serves before its entry says so.
#include "gateway/decisions/content_fingerprint.h"
#include "gateway_fixture.h"
#include "stream_samples.h"

#include <atomic>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

constexpr int EventCount = 6;

// Server d1 is chosen as one of version v1. Its entry names another process, of
// version `Successor`, once its first run has begun; the run breaks off after
// event 4; empty: the entry stays. Others go on with a stream.
struct UpgradedServer {
  UpgradedServer(int EventsBeforeEntry, std::string Successor)
      : EventsBeforeEntry(EventsBeforeEntry), Successor(std::move(Successor)) {
    addEntry("d1", First.address(), "v1", 1000);
    Gateway.WhileRunning = [this](SocketPair &Sockets) {
      if (this->EventsBeforeEntry > 0)
        readUntil(Sockets.far(), event(this->EventsBeforeEntry) + "\r\n");
      Received = true;
    };
  }
  void addOther(const std::string &Id, FakeServer &Server,
                const std::string &Version) {
    addEntry(Id, Server.address(), Version, 1000);
  }
  void addEntry(const std::string &Id, const std::string &Address,
                const std::string &Version, int64_t StartedAt) {
    crocusspur::gateway::ServerEntry entry;
    entry.Id = Id;
    entry.Service = "summaries";
    entry.Address = Address;
    entry.Slots = 4;
    entry.Stage = ServerStage::Decode;
    entry.Version = Version;
    entry.StartedAt = StartedAt;
    Gateway.Directory.applyServer({Id, {0, ++Gateway.Revision}, entry},
                                  UpdateOrigin::Store);
  }
  // Grants reservations only once the first run has begun. `StartedAt`: of its
  // process, as reported.
  FakeServer::Responder continuing(int64_t StartedAt = 1000) {
    return [this, StartedAt](const std::string &Request, int) {
      if (Request.starts_with("GET /api/report"))
        return reportOf(StartedAt);
      if (Request.starts_with("POST /api/hold-take"))
        return Begun ? httpResponse(200, R"({"retention":"r2"})") : refusal();
      if (!Request.starts_with("POST /x/y"))
        return httpResponse(200, "{}");
      CHECK(headerField(Request, "Last-Event-Id") == "4");
      return StreamHead + eventChunks(5, EventCount) + "0\r\n\r\n";
    };
  }
  static std::string reportOf(int64_t StartedAt) {
    return httpResponse(200, R"({"phase":"decode","sequence":0,"born":)" +
                                 std::to_string(StartedAt) + "}");
  }
  void run() {
    PathRoute route = Gateway.route(RouteKind::Stream);
    route.Resumable = true;
    Gateway.run(route);
  }
  std::optional<VersionKey> recorded() {
    CallerRequest request = Gateway.request();
    return Gateway.Origins.find(
        streamKeyOf(request.Host, request.Target, request.Id));
  }
  OriginKnowledge knowledge() {
    CallerRequest request = Gateway.request();
    return Gateway.Origins.knowledgeOf(
        streamKeyOf(request.Host, request.Target, request.Id));
  }

  int EventsBeforeEntry;
  std::string Successor;
  std::atomic<int64_t> ReportedStart{1000}; // by the process of d1
  bool StatesNothingLater = false;          // once its run has begun
  // After the change of its entry the first run is silent for so long and goes
  // on to the end; 0: it breaks off.
  Milliseconds SilentFor{0};
  // The first run breaks off so long after its first events. Its server then
  // says nothing more, as one that has crashed.
  Milliseconds EndsAfter{0};
  std::atomic<bool> StatesNothingAtEnd{false};
  std::atomic<bool> HasEnded{false};
  std::atomic<bool> Begun{false};
  std::atomic<bool> Received{false};
  ScriptServer First{[this](int Fd, int) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (request.starts_with("POST /x/y"))
        break;
      sendText(Fd, request.starts_with("GET /api/report")
                       ? reportOf((Begun && StatesNothingLater) ||
                                          (HasEnded && StatesNothingAtEnd)
                                      ? 0
                                      : ReportedStart.load())
                       : httpResponse(200, R"({"retention":"r1"})"));
    }
    Begun = true;
    sendText(Fd, StreamHead + eventChunks(1, EventsBeforeEntry));
    eventually([&] { return Received.load(); });
    if (!Successor.empty())
      addEntry("d1", First.address(), Successor, 2000);
    std::this_thread::sleep_for(EndsAfter);
    HasEnded = true;
    if (SilentFor > Milliseconds(0)) {
      std::this_thread::sleep_for(SilentFor);
      sendText(Fd, eventChunks(EventsBeforeEntry + 1, EventCount) + LastChunk);
      return;
    }
    sendText(Fd, eventChunks(EventsBeforeEntry + 1, 4));
  }};
  GatewayFixture Gateway;
};

size_t runsAt(const FakeServer &Server) { return Server.count("POST /x/y"); }

} // namespace

// Its events may be of either version: a connection may outlive the process
// that the entry names, and a new process may serve before its entry says so.
// Such a stream went on at servers of one of them: callers got events of both
// in one answer.
TEST_CASE("A stream whose server is replaced isn't continued by anyone") {
  for (int before : {0, 2, 4}) {
    CAPTURE(before);
    UpgradedServer setup(before, "v2");
    setup.ReportedStart = 0; // its process says nothing
    FakeServer formerVersion(setup.continuing());
    FakeServer newVersion(setup.continuing());
    setup.addOther("d2", formerVersion, "v1");
    setup.addOther("d3", newVersion, "v2");
    setup.run();
    CHECK(runsAt(formerVersion) + runsAt(newVersion) == 0);
    CHECK(setup.recorded() == VersionKey(0));
  }
}

// Events that come after the replacement may be those of a process of another
// version that served between the two.
TEST_CASE("A stream goes on after its server was replaced at its version only "
          "if no event came after that") {
  for (int before : {0, 2, 4}) {
    CAPTURE(before);
    UpgradedServer setup(before, "v1");
    setup.ReportedStart = 0; // its process says nothing
    FakeServer sameVersion(setup.continuing());
    setup.addOther("d2", sameVersion, "v1");
    setup.run();
    bool goesOn = before == 4;
    CHECK(runsAt(sameVersion) == (goesOn ? 1 : 0));
    CHECK(setup.recorded() == (goesOn ? versionKeyOf("v1") : UncertainVersion));
  }
}

// Such a server got most of the runs that went on, as it had no load yet: their
// callers got events of its version after those of the version that its entry
// still stated.
TEST_CASE("A stream doesn't go on at a server that was replaced unannounced") {
  UpgradedServer setup(4, "");
  FakeServer replaced(setup.continuing(2000));
  FakeServer same(setup.continuing());
  setup.addOther("d2", replaced, "v1");
  SUBCASE("but at another one") {
    setup.addOther("d3", same, "v1");
    setup.run();
    CHECK(runsAt(same) == 1);
  }
  SUBCASE("if there is no other one") { setup.run(); }
  CHECK(runsAt(replaced) == 0);
}

// The successor's events were taken for the former version's.
TEST_CASE("A stream begun at a server replaced unannounced isn't continued") {
  UpgradedServer setup(4, "");
  setup.ReportedStart = 2000;
  FakeServer formerVersion(setup.continuing());
  setup.addOther("d2", formerVersion, "v1");
  setup.run();
  CHECK(runsAt(formerVersion) == 0);
  CHECK(setup.recorded() == VersionKey(0));
}

TEST_CASE("A stream goes on whose server reports that it is the same process") {
  UpgradedServer setup(4, "");
  FakeServer sameVersion(setup.continuing());
  setup.addOther("d2", sameVersion, "v1");
  setup.run();
  CHECK(runsAt(sameVersion) == 1);
  CHECK(setup.recorded() == versionKeyOf("v1"));
}

// A server that lost power served again a second later, before its entry said
// so. What its new process answered was held against the streams of the one
// before, whose connections were older: none went on, at any instance.
TEST_CASE("A stream goes on whose process had said which one it was") {
  std::string successor;
  SUBCASE("before its successor's entry") {}
  SUBCASE("after the entry of one of its version") { successor = "v1"; }
  SUBCASE("after the entry of one of another version") { successor = "v2"; }
  UpgradedServer setup(4, successor);
  FakeServer sameVersion(setup.continuing());
  setup.addOther("d2", sameVersion, "v1");
  setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
    readUntil(Sockets.far(), event(4) + "\r\n");
    setup.ReportedStart = 2000; // on new connections
    setup.Received = true;
  };
  setup.run();
  CHECK(runsAt(sameVersion) == 1);
  CHECK(setup.recorded() == versionKeyOf("v1"));
  CHECK(setup.knowledge().Server.Id.empty()); // to be asked about nowhere
}

// Callers got events of a process of another version and then of the version of
// its server's entry: it had served and ended before it wrote an entry.
TEST_CASE("A stream of a process that has left no entry isn't continued") {
  UpgradedServer setup(4, "");
  setup.ReportedStart = 2000;
  setup.StatesNothingAtEnd = true;
  FakeServer formerVersion(setup.continuing());
  setup.addOther("d2", formerVersion, "v1");
  SUBCASE("if nothing answers any more") {}
  SUBCASE("if one of the former version serves there") {
    setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
      readUntil(Sockets.far(), event(4) + "\r\n");
      setup.StatesNothingAtEnd = false;
      setup.ReportedStart = 3000;
      setup.Received = true;
    };
  }
  SUBCASE("if the entry's process is back, as far as it says") {
    setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
      readUntil(Sockets.far(), event(4) + "\r\n");
      setup.StatesNothingAtEnd = false;
      setup.ReportedStart = 1000;
      setup.Received = true;
    };
  }
  setup.run();
  CHECK(runsAt(formerVersion) == 0);
  CHECK(setup.recorded() == UncertainVersion);
}

// Where the store has discarded the changes, its entries are read instead. They
// don't show a process of another version that has come and gone.
TEST_CASE("A list of entries confirms a run only by its own process's entry") {
  UpgradedServer setup(4, "");
  setup.ReportedStart = 0; // says nothing
  ServerProcess listed{"d1", 1000, setup.First.address(), "v1"};
  bool goesOn = false;
  ServersReading reading = ServersReading::failed();
  SUBCASE("which it holds") {
    reading = ServersReading::list({{"d1", listed}});
    goesOn = true;
  }
  SUBCASE("and not by that of a later one of its version") {
    listed.StartedAt = 2000;
    reading = ServersReading::list({{"d1", listed}});
  }
  SUBCASE("and not by that of a later one of another version") {
    listed.StartedAt = 2000;
    listed.Version = "v2";
    reading = ServersReading::list({{"d1", listed}});
  }
  SUBCASE("and not without one") { reading = ServersReading::list({}); }
  SUBCASE("nor does a read that fails") {}
  FakeServer sameVersion(setup.continuing());
  setup.addOther("d2", sameVersion, "v1");
  if (goesOn) // the server that goes on is asked about as well
    reading = ServersReading::list(
        {{"d1", listed}, {"d2", {"d2", 1000, sameVersion.address(), "v1"}}});
  setup.Gateway.Origins.setHooks({{}, {}, {}, [&] { return reading; }});
  setup.run();
  CHECK(runsAt(sameVersion) == (goesOn ? 1 : 0));
  CHECK(setup.recorded() == (goesOn ? versionKeyOf("v1") : UncertainVersion));
}

// A server that had started again while the store was away began streams at its
// new version. Once it fell silent they went on at the version of its entry.
TEST_CASE("While entries may be old a stream goes on only if its server's "
          "process is confirmed") {
  UpgradedServer setup(4, "");
  setup.StatesNothingLater = true;
  bool isConfirmed = false;
  SUBCASE("confirmed at its begin") { isConfirmed = true; }
  SUBCASE("replaced") { setup.ReportedStart = 2000; }
  SUBCASE("unknown") { setup.ReportedStart = 0; }
  FakeServer formerVersion(setup.continuing());
  setup.addOther("d2", formerVersion, "v1");
  setup.Gateway.Directory.setStoreReachable(PublishedKind::Servers, true);
  setup.Gateway.Directory.setStoreReachable(PublishedKind::Servers, false);
  setup.run();
  CHECK(runsAt(formerVersion) == (isConfirmed ? 1 : 0));
  CHECK(setup.recorded() ==
        (isConfirmed ? versionKeyOf("v1") : UncertainVersion));
}

// The entry was known 200 ms before the next server's first event.
TEST_CASE("A stream isn't continued if its server's entry changes after the "
          "break") {
  UpgradedServer setup(4, "");
  FakeServer::Responder next = setup.continuing();
  FakeServer formerVersion([&](const std::string &Request, int Number) {
    if (Request.starts_with("POST /api/hold-take") && setup.Begun)
      setup.addEntry("d1", setup.First.address(), "v2", 2000);
    return next(Request, Number);
  });
  setup.ReportedStart = 0; // says nothing
  setup.addOther("d2", formerVersion, "v1");
  setup.run();
  CHECK(runsAt(formerVersion) == 0);
  CHECK(setup.recorded() == VersionKey(0));
}

// The caller took such a stream up at servers of the former version.
TEST_CASE("A stream whose caller leaves is recorded as uncertain if its server "
          "was replaced") {
  UpgradedServer setup(4, "");
  setup.ReportedStart = 0; // its process says nothing
  setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
    readUntil(Sockets.far(), event(4) + "\r\n");
    setup.addEntry("d1", setup.First.address(), "v2", 2000);
    Sockets.closeFar();
    setup.Received = true;
  };
  setup.run();
  CHECK(setup.recorded() == VersionKey(0));
}

// Connections to an address have nothing to do with a process at another one.
TEST_CASE("A stream goes on whose server was replaced at another address") {
  UpgradedServer setup(4, "");
  FakeServer moved(setup.continuing());
  FakeServer sameVersion(setup.continuing());
  setup.addOther("d2", sameVersion, "v1");
  setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
    readUntil(Sockets.far(), event(4) + "\r\n");
    setup.addEntry("d1", moved.address(), "v2", 2000);
    setup.Received = true;
  };
  setup.run();
  CHECK(runsAt(sameVersion) == 1);
  CHECK(setup.recorded() == versionKeyOf("v1"));
}

// A caller took its stream up at another instance as soon as its answer had
// ended, and before the keepers there had the record: it went on at the former
// version.
TEST_CASE("An answer of uncertain version ends once its keepers know") {
  UpgradedServer setup(2, "v2");
  setup.ReportedStart = 0; // its process says nothing
  std::atomic<bool> confirmed{false};
  std::thread keepers;
  setup.Gateway.Origins.setHooks(
      {{}, {}, [&](const StreamOrigin &Record) {
         CHECK(Record.Version == UncertainVersion);
         auto sent = std::make_shared<RecordDelivery>(2);
         keepers = std::thread([&, sent] {
           sent->onKeeperEnded(true);
           std::this_thread::sleep_for(Milliseconds(80));
           confirmed = true;
           sent->onKeeperEnded(true);
         });
         return sent;
       }});
  setup.run();
  CHECK(confirmed);
  keepers.join();
  CHECK(setup.recorded() == UncertainVersion);
}

// Events must not wait for keepers, and the end only for a bounded time.
TEST_CASE("Silent keepers hold up no event and the end only for a while") {
  UpgradedServer setup(2, "v2");
  setup.ReportedStart = 0; // its process says nothing
  std::atomic<bool> recorded{false};
  std::atomic<bool> passed{false};
  RecordDeliveryPtr delivery = std::make_shared<RecordDelivery>(1);
  setup.Gateway.Origins.setHooks({{}, {}, [&](const StreamOrigin &) {
                                    recorded = true;
                                    return delivery;
                                  }});
  std::chrono::steady_clock::time_point eventAt;
  setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
    readUntil(Sockets.far(), event(2) + "\r\n");
    setup.Received = true;
    readUntil(Sockets.far(), event(4) + "\r\n");
    eventAt = std::chrono::steady_clock::now();
    passed = true;
  };
  auto started = std::chrono::steady_clock::now();
  setup.run();
  auto ended = std::chrono::steady_clock::now();
  CHECK(recorded);
  CHECK(passed);
  CHECK(ended - eventAt >= Milliseconds(100));
  CHECK(ended - started < Milliseconds(2000));
  CHECK(delivery->await(Milliseconds(0)).Pending == 1);
}

// The entry of soak seed 1035: the change was noticed 1.5 s late, and a caller
// took the stream up at the former version in between. Such a run was also left
// for another one that was never begun, since nothing may follow its events.
TEST_CASE("A silent run's change of version is recorded at once") {
  UpgradedServer setup(4, "v2");
  setup.ReportedStart = 0;              // its process says nothing
  setup.SilentFor = Milliseconds(1800); // beyond the stall time-out
  FakeServer formerVersion(setup.continuing());
  setup.addOther("d2", formerVersion, "v1");
  std::optional<Milliseconds> taken;
  std::string rest;
  setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
    // An answer that ends incomplete has no last chunk.
    timeval wait{10, 0};
    ::setsockopt(Sockets.far(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    readUntil(Sockets.far(), event(4) + "\r\n");
    auto replacedAt = std::chrono::steady_clock::now();
    setup.Received = true;
    if (eventually([&] { return setup.recorded() == UncertainVersion; }))
      taken = std::chrono::duration_cast<Milliseconds>(
          std::chrono::steady_clock::now() - replacedAt);
    rest = readUntil(Sockets.far(), LastChunk);
  };
  setup.run();
  REQUIRE(taken.has_value());
  CHECK(*taken < Milliseconds(800));
  CHECK(rest.find(event(EventCount)) != std::string::npos);
  CHECK(rest.ends_with(LastChunk));
  CHECK(runsAt(formerVersion) == 0);
}

// An instance trusted a record of its own that was older than the one that
// nobody may go on, and let its caller's stream go on at the former version.
TEST_CASE("An instance asks a keeper although it has a record of its own") {
  GatewayFixture setup;
  FakeServer server([](const std::string &Request, int) {
    return modelServerResponse(Request);
  });
  setup.addServer("d1", server, ServerStage::Decode, "v1");
  PathRoute route = setup.route(RouteKind::Stream);
  route.Resumable = true;
  CallerRequest request = setup.request();
  request.LastEventId = "4";
  request.ResumedRequestId = "a0";
  VersionKey own = versionKeyOf("v1");
  std::vector<OriginKnowledge> known;
  size_t questions = 1;
  bool goesOn = false;
  SUBCASE("that says that nobody may go on") { known = {{UncertainVersion}}; }
  SUBCASE("that agrees") {
    known = {{own}};
    goesOn = true;
  }
  SUBCASE("that is silent") { goesOn = true; }
  SUBCASE("unless it says itself that nobody may go on") {
    own = UncertainVersion;
    questions = 0;
  }
  size_t asked = 0;
  setup.Origins.setHooks({[&](StreamKey) {
                            ++asked;
                            return known;
                          },
                          {},
                          {}});
  setup.Origins.record(streamKeyOf(request.Host, request.Target, "a0"), own,
                       Milliseconds(10000));
  setup.run(route, request);
  CHECK((server.count("POST /x/y") > 0) == goesOn);
  CHECK(asked == questions);
}

// A caller left after the first event, before the entry of the process that
// sent it was known, and its stream went on at the former version.
TEST_CASE("A stream is taken up only if its server is the recorded process") {
  GatewayFixture setup;
  std::string report;
  bool goesOn = true;
  SUBCASE("which the server says it is") {
    report = UpgradedServer::reportOf(1000);
  }
  SUBCASE("or nothing else is known") { report = httpResponse(404, ""); }
  SUBCASE("and not another one") {
    report = UpgradedServer::reportOf(2000);
    goesOn = false;
  }
  FakeServer first([&](const std::string &Request, int) {
    return Request.starts_with("GET /api/report") ? report
                                                  : httpResponse(503, "{}");
  });
  FakeServer other([](const std::string &Request, int) {
    return modelServerResponse(Request);
  });
  setup.addServer("d2", other, ServerStage::Decode, "v1");
  crocusspur::gateway::ServerEntry entry;
  entry.Id = "d1";
  entry.Service = "summaries";
  entry.Address = first.address();
  entry.Slots = 4;
  entry.Stage = ServerStage::Decode;
  entry.Version = "v1";
  entry.StartedAt = 1000;
  setup.Directory.applyServer({"d1", {0, ++setup.Revision}, entry},
                              UpdateOrigin::Store);
  PathRoute route = setup.route(RouteKind::Stream);
  route.Resumable = true;
  CallerRequest request = setup.request();
  request.LastEventId = "4";
  request.ResumedRequestId = "a0";
  StreamKey stream = streamKeyOf(request.Host, request.Target, "a0");
  setup.Origins.record(stream, versionKeyOf("v1"), Milliseconds(10000),
                       processOf(entry));
  setup.run(route, request);
  CHECK((other.count("POST /x/y") > 0) == goesOn);
  CHECK(setup.Origins.find(stream) ==
        (goesOn ? versionKeyOf("v1") : UncertainVersion));
}

// An instance that was out of step for longer than a process may serve without
// an entry counted the age of the new entry from the moment when it heard of
// it: a stream that had begun at the successor went on at the former version.
TEST_CASE("A change that an instance learns late isn't taken for a late one") {
  // Longer than a process serves before its entry is known.
  constexpr Milliseconds OutOfStep{1800};
  GatewayFixture setup;
  FakeServer first(
      [](const std::string &, int) { return httpResponse(404, ""); });
  FakeServer other([](const std::string &Request, int) {
    return Request.starts_with("GET /api/report")
               ? UpgradedServer::reportOf(1000)
               : modelServerResponse(Request);
  });
  auto publish = [&](const std::string &Id, const FakeServer &Server,
                     const std::string &Version, int64_t StartedAt) {
    crocusspur::gateway::ServerEntry entry;
    entry.Id = Id;
    entry.Service = "summaries";
    entry.Address = Server.address();
    entry.Slots = 4;
    entry.Stage = ServerStage::Decode;
    entry.Version = Version;
    entry.StartedAt = StartedAt;
    setup.Directory.applyServer({Id, {0, ++setup.Revision}, entry},
                                UpdateOrigin::Store);
    return entry;
  };
  publish("d2", other, "v1", 1000);
  ServerProcess begunAt = processOf(publish("d1", first, "v1", 1000));
  PathRoute route = setup.route(RouteKind::Stream);
  route.Resumable = true;
  CallerRequest request = setup.request();
  request.LastEventId = "4";
  request.ResumedRequestId = "a0";
  StreamKey stream = streamKeyOf(request.Host, request.Target, "a0");
  setup.Origins.record(stream, versionKeyOf("v1"), Milliseconds(10000),
                       begunAt);
  bool isOutOfStep = false;
  SUBCASE("of one that was cut off from the store") { isOutOfStep = true; }
  SUBCASE("of one that has heard all changes") {}
  std::this_thread::sleep_for(OutOfStep);
  setup.Directory.setServersConfirmedAgo(
      [&] { return isOutOfStep ? OutOfStep : Milliseconds(0); });
  publish("d1", first, "v2", 2000);
  setup.run(route, request);
  CHECK((other.count("POST /x/y") > 0) == !isOutOfStep);
  CHECK(setup.Origins.find(stream) ==
        (isOutOfStep ? UncertainVersion : versionKeyOf("v1")));
}

// An instance stood still after a server had said which process it is, and
// before it opened the connection for the run: that led to the successor, whose
// events counted as those of the process before, also once its entry was known.
TEST_CASE("A stream doesn't go on at the successor of the process asked") {
  GatewayFixture setup;
  crocusspur::gateway::ServerEntry entry;
  auto publish = [&](const std::string &Version, int64_t StartedAt) {
    entry.Version = Version;
    entry.StartedAt = StartedAt;
    setup.Directory.applyServer({"d1", {0, ++setup.Revision}, entry},
                                UpdateOrigin::Store);
  };
  std::atomic<bool> replaced{false};
  std::atomic<int> successorRuns{0};
  // Connections lead to the process that ran when they were opened. The first
  // one ends when it has said which one it is.
  ScriptServer server([&](int Fd, int) {
    bool isSuccessor = replaced;
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (request.starts_with("GET /api/report")) {
        replaced = true;
        sendText(Fd, UpgradedServer::reportOf(isSuccessor ? 2000 : 1000));
        continue;
      }
      if (isSuccessor) {
        ++successorRuns;
        publish("v2", 2000);
      }
      sendText(Fd, StreamHead + eventChunks(5, EventCount) + LastChunk);
    }
  });
  entry.Id = "d1";
  entry.Service = "summaries";
  entry.Address = server.address();
  entry.Slots = 4;
  entry.Stage = ServerStage::Decode;
  publish("v1", 1000);
  PathRoute route = setup.route(RouteKind::Stream);
  route.Resumable = true;
  CallerRequest request = setup.request();
  request.LastEventId = "4";
  request.ResumedRequestId = "a0";
  request.Generation.reset(); // a reservation would be the former process's
  setup.Origins.record(streamKeyOf(request.Host, request.Target, "a0"),
                       versionKeyOf("v1"), Milliseconds(10000));
  std::string answer = setup.run(route, request);
  CHECK(replaced);
  bool goesOn = answer.find(event(5)) != std::string::npos;
  CHECK_FALSE((goesOn && successorRuns > 0));
}

// A server crashed while the store was down. Its streams had begun before, so
// their processes hadn't been asked, and nothing could be asked any more:
// nobody went on with them, also once the store was back.
TEST_CASE("While the store is down a run is proven before it breaks off") {
  UpgradedServer setup(2, "");
  setup.EndsAfter = Milliseconds(700);
  setup.StatesNothingAtEnd = true;
  bool goesOn = false;
  VersionKey provable = 0;
  SUBCASE("by its process") { goesOn = true; }
  SUBCASE("and not by another one") { setup.ReportedStart = 2000; }
  SUBCASE("and not by one that says nothing") {
    setup.ReportedStart = 0;
    provable = versionKeyOf("v1");
  }
  FakeServer sameVersion(setup.continuing());
  setup.addOther("d2", sameVersion, "v1");
  setup.Gateway.WhileRunning = [&](SocketPair &Sockets) {
    readUntil(Sockets.far(), event(2) + "\r\n");
    setup.Gateway.Directory.setStoreReachable(PublishedKind::Servers, false);
    setup.Received = true;
  };
  setup.run();
  CHECK(runsAt(sameVersion) == (goesOn ? 1 : 0));
  CHECK(setup.recorded() == (goesOn ? versionKeyOf("v1") : UncertainVersion));
  CallerRequest request = setup.Gateway.request();
  OriginKnowledge known = setup.Gateway.Origins.knowledgeOf(
      streamKeyOf(request.Host, request.Target, request.Id));
  CHECK(known.UnprovenVersion == provable);
}

// One question at a time, whatever the number of streams at the server.
TEST_CASE("Requests share what a process has said of itself") {
  ProcessProofs proofs;
  const ServerProcess process{"d1", 1000, "10.0.0.1:80", "v1"};
  const ServerProcess successor{"d1", 2000, "10.0.0.1:80", "v1"};
  TimePoint now{Milliseconds(100000)};
  CHECK(proofs.mayAsk(process, now));
  CHECK_FALSE(proofs.mayAsk(process, now + Milliseconds(100)));
  CHECK(proofs.mayAsk(process, now + Milliseconds(600)));
  proofs.onConfirmed(process, now);
  proofs.onConfirmed(process, now - Milliseconds(50)); // a late answer
  CHECK(proofs.isConfirmedSince(process, now));
  CHECK_FALSE(proofs.isConfirmedSince(process, now + Milliseconds(1)));
  CHECK_FALSE(proofs.isConfirmedSince(successor, now));
}

// A server's next process was sent streams unasked for two seconds, since the
// one before had been silent.
TEST_CASE("A process that has answered is soon asked again after a silence") {
  ProcessProofs proofs;
  const ServerProcess answering{"d1", 1000, "10.0.0.1:80", "v1"};
  const ServerProcess mute{"d2", 1000, "10.0.0.2:80", "v1"};
  TimePoint now{Milliseconds(100000)};
  CHECK(proofs.isResponsive(answering, now));
  proofs.onConfirmed(answering, now);
  for (const ServerProcess *it : {&answering, &mute}) {
    proofs.onUnanswered(*it, now);
    CHECK_FALSE(proofs.isResponsive(*it, now + Milliseconds(100)));
  }
  CHECK(proofs.isResponsive(answering, now + Milliseconds(600)));
  CHECK_FALSE(proofs.isResponsive(mute, now + Milliseconds(600)));
  CHECK(proofs.isResponsive(mute, now + Milliseconds(2100)));
}

namespace {

// A stream of d1 that is taken up here, where its version is recorded as
// unproven.
struct UnprovenStream {
  explicit UnprovenStream(std::string Report) {
    Server =
        std::make_unique<FakeServer>([Report](const std::string &Request, int) {
          return Request.starts_with("GET /api/report")
                     ? Report
                     : httpResponse(503, "{}");
        });
    Began = publish("d1", *Server, 1000);
    publish("d2", Other, 1000);
  }
  ServerProcess publish(const std::string &Id, const FakeServer &At,
                        int64_t StartedAt) {
    crocusspur::gateway::ServerEntry entry;
    entry.Id = Id;
    entry.Service = "summaries";
    entry.Address = At.address();
    entry.Slots = 4;
    entry.Stage = ServerStage::Decode;
    entry.Version = "v1";
    entry.StartedAt = StartedAt;
    Setup.Directory.applyServer({Id, {0, ++Setup.Revision}, entry},
                                UpdateOrigin::Store);
    return processOf(entry);
  }
  // All that is known of servers is known without a gap from now on.
  void readList() {
    Setup.Directory.applyServerList(Setup.Directory.servers(),
                                    {0, ++Setup.Revision}, UpdateOrigin::Store);
  }
  void recordUnproven(Milliseconds RunAge) {
    Setup.Origins.recordUnproven(stream(), versionKeyOf("v1"),
                                 Milliseconds(10000), Began, RunAge);
  }
  CallerRequest request() {
    CallerRequest request = Setup.request();
    request.LastEventId = "4";
    request.ResumedRequestId = "a0";
    return request;
  }
  StreamKey stream() {
    CallerRequest taken = request();
    return streamKeyOf(taken.Host, taken.Target, "a0");
  }
  bool goesOn() {
    PathRoute route = Setup.route(RouteKind::Stream);
    route.Resumable = true;
    Setup.run(route, request());
    bool runs = Other.count("POST /x/y") > 0;
    CHECK(Setup.Origins.find(stream()) ==
          (runs ? versionKeyOf("v1") : UncertainVersion));
    return runs;
  }

  GatewayFixture Setup;
  std::unique_ptr<FakeServer> Server;
  FakeServer Other{[](const std::string &Request, int) {
    return modelServerResponse(Request);
  }};
  ServerProcess Began;
};

} // namespace

// What couldn't be shown when a run broke off may be shown later: the process
// lives, or this instance knows all entries since.
TEST_CASE("A stream of an unproven record goes on once its process is shown") {
  SUBCASE("by itself") {
    UnprovenStream setup(UpgradedServer::reportOf(1000));
    setup.recordUnproven(Milliseconds(1000));
    CHECK(setup.goesOn());
  }
  SUBCASE("by entries that are known since before the run") {
    UnprovenStream setup(httpResponse(404, ""));
    setup.readList();
    std::this_thread::sleep_for(Milliseconds(50));
    setup.recordUnproven(Milliseconds(0));
    CHECK(setup.goesOn());
  }
}

// Such a stream may hold events of another version.
TEST_CASE("A stream of an unproven record is refused without a proof") {
  SUBCASE("by the process that runs now") {
    UnprovenStream setup(UpgradedServer::reportOf(2000));
    setup.readList();
    setup.recordUnproven(Milliseconds(0));
    CHECK_FALSE(setup.goesOn());
  }
  SUBCASE("with entries that are known since the run only") {
    UnprovenStream setup(httpResponse(404, ""));
    setup.readList();
    setup.recordUnproven(Milliseconds(1000));
    CHECK_FALSE(setup.goesOn());
  }
  SUBCASE("with a later process of the same version") {
    UnprovenStream setup(httpResponse(404, ""));
    setup.readList();
    std::this_thread::sleep_for(Milliseconds(50));
    setup.recordUnproven(Milliseconds(0));
    setup.publish("d1", *setup.Server, 2000);
    CHECK_FALSE(setup.goesOn());
  }
  SUBCASE("while the store is down") {
    UnprovenStream setup(httpResponse(404, ""));
    setup.readList();
    std::this_thread::sleep_for(Milliseconds(50));
    setup.recordUnproven(Milliseconds(0));
    setup.Setup.Directory.setStoreReachable(PublishedKind::Servers, false);
    CHECK_FALSE(setup.goesOn());
  }
  SUBCASE("after the store has stood still") {
    UnprovenStream setup(httpResponse(404, ""));
    setup.readList();
    setup.recordUnproven(Milliseconds(0));
    std::this_thread::sleep_for(Milliseconds(50));
    setup.Setup.Directory.onStoreHeldUp();
    CHECK_FALSE(setup.goesOn());
  }
  SUBCASE("where the store doesn't respond") {
    UnprovenStream setup(httpResponse(404, ""));
    setup.readList();
    std::this_thread::sleep_for(Milliseconds(50));
    setup.recordUnproven(Milliseconds(0));
    setup.Setup.Origins.setHooks(
        {{}, {}, {}, [] { return ServersReading::failed(); }});
    CHECK_FALSE(setup.goesOn());
  }
}
