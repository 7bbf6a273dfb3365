#include "platform_reader.h"

#include "document_reader.h"
#include "fake_event_sink.h"
#include "platform_client.h"
#include "test_socket.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>
#include <algorithm>
#include <condition_variable>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

constexpr std::chrono::seconds WaitLimit{30};

// Serves documents that the test publishes over the platform's HTTP interface.
class FakePlatform {
public:
  FakePlatform()
      : Socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Server(new Factory(*this), Socket, new Poco::Net::HTTPServerParams) {
    Server.start();
  }
  ~FakePlatform() {
    {
      std::lock_guard lock(Mutex);
      Closing = true;
      Changed.notify_all();
    }
    Server.stopAll(true);
  }

  std::string address() const { return Socket.address().toString(); }

  void publish(const std::string &Path, uint64_t Number, std::string Text) {
    std::lock_guard lock(Mutex);
    Documents[Path][Number] = std::move(Text);
    Changed.notify_all();
  }
  // Responds to the next `Count` calls with this status.
  void failNext(int Count, int Status) {
    std::lock_guard lock(Mutex);
    Failures = Count;
    FailureStatus = Status;
  }
  // Waits until `Count` calls for targets with this prefix have arrived.
  bool awaitCalls(const std::string &Start, long Count = 1) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, WaitLimit,
                            [&] { return countLocked(Start) >= Count; });
  }
  long count(const std::string &Start) {
    std::lock_guard lock(Mutex);
    return countLocked(Start);
  }

private:
  struct Handler : Poco::Net::HTTPRequestHandler {
    explicit Handler(FakePlatform &Owner) : Owner(Owner) {}
    void handleRequest(Poco::Net::HTTPServerRequest &Request,
                       Poco::Net::HTTPServerResponse &Response) override {
      Owner.respond(Request.getURI(), Response);
    }
    FakePlatform &Owner;
  };
  struct Factory : Poco::Net::HTTPRequestHandlerFactory {
    explicit Factory(FakePlatform &Owner) : Owner(Owner) {}
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
      return new Handler(Owner);
    }
    FakePlatform &Owner;
  };

  void respond(const std::string &Target,
               Poco::Net::HTTPServerResponse &Response) {
    auto [status, text] = find(Target);
    Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    Response.setContentLength64(static_cast<Poco::Int64>(text.size()));
    Response.send() << text;
  }

  std::pair<int, std::string> find(const std::string &Target) {
    Poco::URI uri(Target);
    uint64_t after = 0, wait = 0;
    for (const auto &[name, value] : uri.getQueryParameters())
      (name == "after" ? after : wait) = std::stoull(value);
    std::unique_lock lock(Mutex);
    Targets.push_back(Target);
    Changed.notify_all();
    if (Failures > 0) {
      --Failures;
      return {FailureStatus, ""};
    }
    auto &documents = Documents[uri.getPath()];
    if (wait == 0)
      return documents.empty() ? std::pair(404, std::string())
                               : std::pair(200, documents.rbegin()->second);
    Changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return Closing || documents.upper_bound(after) != documents.end();
    });
    auto it = documents.upper_bound(after);
    if (it == documents.end())
      return {304, ""};
    // Returns the next document of the configuration, but the newest list.
    bool newest = uri.getPath() == "/v1/instances";
    return {200, newest ? documents.rbegin()->second : it->second};
  }
  long countLocked(const std::string &Start) const {
    return std::count_if(
        Targets.begin(), Targets.end(),
        [&](const std::string &It) { return It.starts_with(Start); });
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Closing = false;
  int Failures = 0;
  int FailureStatus = 500;
  std::map<std::string, std::map<uint64_t, std::string>> Documents;
  std::vector<std::string> Targets;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Server;
};

std::string configText(uint64_t Version) {
  return "{\"version\":" + std::to_string(Version) +
         ",\"base\":" + std::to_string(Version - 1) +
         ",\"groups\":[],\"models\":[],\"services\":[],\"servers\":[]}";
}

std::string listText(uint64_t Sequence) {
  return "{\"sequence\":" + std::to_string(Sequence) +
         ",\"instances\":[],\"servers\":[]}";
}

// The plug-in with a fake platform and an event sink.
struct Reader {
  explicit Reader(Milliseconds WatchWait = Milliseconds(10000))
      : Owner(settingsOf(Platform.address(), WatchWait)) {}
  ~Reader() {
    if (Subject)
      Subject->stop();
  }
  void start() {
    Owner.provide<EventSink>(&Events);
    Subject = makePlatformReader();
    REQUIRE(Subject->start(Owner));
  }
  void setReading(bool Watch, uint64_t After) {
    Owner.find<PlatformControl>()->setReading({Watch, After});
  }
  std::vector<uint64_t> versions() const {
    std::vector<uint64_t> found;
    for (const ConfigPublished &it : Events.all<ConfigPublished>())
      found.push_back(it.Document->Version);
    return found;
  }
  static Settings settingsOf(const std::string &Address,
                             Milliseconds WatchWait) {
    Settings values;
    values.PlatformAddress = Address;
    values.WatchWait = WatchWait;
    return values;
  }

  FakePlatform Platform;
  FakeEventSink Events;
  Kernel Owner;
  std::unique_ptr<Plugin> Subject;
};

} // namespace

// Guards against a new instance that never learns its peers because it waits
// for its core to request reading, and against one that continues to read
// without a request.
TEST_CASE("PlatformReader reads the list and the configuration once at start") {
  Reader reader;
  reader.Platform.publish("/v1/config", 8, configText(8));
  reader.Platform.publish("/v1/instances", 3, listText(3));
  reader.start();
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(1));
  REQUIRE(reader.Events.waitForCount<ListPublished>(1));
  CHECK(reader.versions() == std::vector<uint64_t>{8});
  reader.setReading(true, 8);
  CHECK(reader.Platform.awaitCalls("/v1/config?after=8&wait_ms=10000"));
  CHECK(reader.Platform.awaitCalls("/v1/instances?after=3&wait_ms=10000"));
  CHECK(reader.Platform.count("/v1/") == 4);
}

// Guards against skipping documents when several are published at once, which
// would make instances accept different documents.
TEST_CASE("PlatformReader reads every document in order") {
  Reader reader;
  reader.Platform.publish("/v1/config", 1, configText(1));
  reader.start();
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(1));
  reader.setReading(true, 1);
  for (uint64_t version : {2, 3, 4, 5})
    reader.Platform.publish("/v1/config", version, configText(version));
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(5));
  CHECK(reader.versions() == std::vector<uint64_t>{1, 2, 3, 4, 5});
}

// Guards against a reader that ignores which documents the core has evaluated
// meanwhile, or that rereads documents queued for the core.
TEST_CASE("PlatformReader continues after the number given by the core") {
  Reader reader;
  reader.Platform.publish("/v1/config", 1, configText(1));
  reader.start();
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(1));
  reader.setReading(true, 7);
  CHECK(reader.Platform.awaitCalls("/v1/config?after=7&"));
  reader.setReading(true, 9); // learned from a peer
  CHECK(reader.Platform.awaitCalls("/v1/config?after=9&"));
  reader.setReading(true, 8); // late
  reader.Platform.publish("/v1/config", 10, configText(10));
  CHECK(reader.Platform.awaitCalls("/v1/config?after=10&"));
  CHECK(reader.Platform.count("/v1/config?after=8&") == 0);
}

// Guards against calls that continue, and are counted by the service, after the
// core has found that other instances read.
TEST_CASE("PlatformReader makes no calls while it isn't watching") {
  Reader reader;
  reader.Platform.publish("/v1/config", 1, configText(1));
  reader.Platform.publish("/v1/instances", 1, listText(1));
  reader.start();
  reader.setReading(true, 1);
  REQUIRE(reader.Platform.awaitCalls("/v1/config?after=1&"));
  REQUIRE(reader.Platform.awaitCalls("/v1/instances?after=1&"));
  reader.setReading(false, 1);
  reader.setReading(true, 4);
  REQUIRE(reader.Platform.awaitCalls("/v1/config?after=4&"));
  CHECK(reader.Platform.count("/v1/config?after=1&") == 1);
}

// Guards against a reader that stops retrying, or that calls a failing service
// without a pause.
TEST_CASE("PlatformReader retries after errors") {
  Reader reader;
  reader.Platform.publish("/v1/config", 1, configText(1));
  reader.Platform.failNext(4, 503);
  reader.start();
  CHECK(reader.Events.waitForCount<ConfigPublished>(1));
  reader.setReading(true, 1);
  REQUIRE(reader.Platform.awaitCalls("/v1/config?after=1&"));
  reader.Platform.failNext(2, 500);
  reader.Platform.publish("/v1/config", 2, configText(2));
  CHECK(reader.Events.waitForCount<ConfigPublished>(2));
}

// Guards against one invalid document that stops the reading of all later ones.
TEST_CASE("PlatformReader continues after an invalid document") {
  Reader reader;
  reader.Platform.publish("/v1/config", 1, configText(1));
  reader.start();
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(1));
  reader.setReading(true, 1);
  reader.Platform.publish("/v1/config", 2, "{\"version\":2,\"groups\":5}");
  reader.Platform.publish("/v1/config", 3, configText(3));
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(2));
  CHECK(reader.versions() == std::vector<uint64_t>{1, 3});
}

// Guards against skipping a document because of a malformed response, which
// doesn't show whether the document is valid.
TEST_CASE("PlatformReader requests a document without a number again") {
  Reader reader;
  reader.Platform.publish("/v1/config", 1, configText(1));
  reader.start();
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(1));
  reader.setReading(true, 1);
  reader.Platform.publish("/v1/config", 2, "<html>proxy</html>");
  REQUIRE(reader.Platform.awaitCalls("/v1/config?after=1&", 3));
  reader.Platform.publish("/v1/config", 2, configText(2));
  REQUIRE(reader.Events.waitForCount<ConfigPublished>(2));
  CHECK(reader.versions() == std::vector<uint64_t>{1, 2});
}

// Guards against calls that the platform can't attribute to an instance.
TEST_CASE("PlatformClient sends the instance's name in each call") {
  std::string head;
  {
    ScriptServer platform([&](int Fd, int) {
      head = readRequest(Fd);
      sendText(Fd, httpResponse(200, "{}"));
    });
    PlatformClient client(platform.address(), Milliseconds(10000), "e1");
    client.get("/v1/config", Milliseconds(0), [] { return false; });
  }
  CHECK_MESSAGE(head.find("Crocusspur-Instance: e1\r\n") != std::string::npos,
                head);
}

// Guards against excessive memory use for an oversized response.
TEST_CASE("PlatformClient rejects responses above the size limit") {
  FakePlatform platform;
  platform.publish("/v1/config", 1, std::string(1048576, 'x'));
  PlatformClient client(platform.address(), Milliseconds(10000), "e1");
  auto never = [] { return false; };
  PlatformResponse fits = client.get("/v1/config", Milliseconds(0), never);
  CHECK(fits.Status == 200);
  CHECK(fits.Body.size() == 1048576);
  platform.publish("/v1/config", 1, std::string(1048577, 'x'));
  PlatformResponse large = client.get("/v1/config", Milliseconds(0), never);
  CHECK(large.Status == 0);
  CHECK(large.Error == "response of more than 1048576 bytes");
  platform.publish("/v1/config", 1, "small");
  CHECK(client.get("/v1/config", Milliseconds(0), never).Body == "small");
  CHECK(client.calls() == 3);
}

// Guards against a process that can't stop while a watch waits, and against
// taking a failed connection for a response.
// A body was read in pieces of 16 KiB without a look at the time in between,
// and a head or a chunk's size byte by byte.
TEST_CASE("PlatformClient gives up on a response that comes byte by byte") {
  for (const char *start :
       {"HTTP/1.1 200 OK\r\nContent-Length: 16000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA-Field: "}) {
    ScriptServer platform([&](int Fd, int) {
      readRequest(Fd);
      sendText(Fd, start);
      for (int i = 0; i < 1000; ++i) {
        if (::send(Fd, " ", 1, MSG_NOSIGNAL) != 1)
          return;
        std::this_thread::sleep_for(Milliseconds(20));
      }
    });
    PlatformClient client(platform.address(), Milliseconds(1000), "e1", 1048576,
                          Milliseconds(200));
    TimePoint begun = std::chrono::steady_clock::now();
    PlatformResponse response =
        client.get("/v1/x", Milliseconds(0), [] { return false; });
    CAPTURE(start);
    CHECK(response.Status == 0);
    CHECK_FALSE(response.Error.empty());
    // The whole response would take 20 s.
    CHECK(std::chrono::steady_clock::now() - begun < Milliseconds(10000));
  }
}

TEST_CASE("PlatformClient cancels a wait and reports an unreachable service") {
  FakePlatform platform;
  PlatformClient client(platform.address(), Milliseconds(10000), "e1");
  PlatformResponse response =
      client.get("/v1/config?after=1&wait_ms=20000", Milliseconds(20000),
                 [] { return true; });
  CHECK(response.Cancelled);
  CHECK(response.Status == 0);
  std::string dead;
  {
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    dead = socket.address().toString();
  }
  PlatformClient lost(dead, Milliseconds(1000), "e1");
  PlatformResponse none =
      lost.get("/v1/config", Milliseconds(0), [] { return false; });
  CHECK(none.Status == 0);
  CHECK_FALSE(none.Error.empty());
}
