// Servers that send bytes without end to a gateway process with a limit on its
// memory, beside a sound service.
#include "gateway_fleet.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using crocusspur::test::GatewayFleet;
using crocusspur::test::GatewayInstance;
using crocusspur::test::serverEntry;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int CallerCount = 24;
constexpr Milliseconds FloodTime{4000};
constexpr Milliseconds SoundPause{10};
constexpr Milliseconds SoundTime{2000}; // of a request of the sound service
constexpr size_t UnitBytes = 65536;     // of one write of a server
constexpr size_t MemoryMb = 110;        // as in the settings of the fleet
constexpr double MaxPart = 0.8;         // of it
constexpr double MinServed = 0.99;

constexpr const char *Config =
    R"({"version":2,"routes":[{"name":"r","host":"a.example",)"
    R"("path-prefix":"/x/","type":"non_idempotent","timeout-ms":20000,)"
    R"("latency-target-ms":150,"priority":1,"service":"bays",)"
    R"("max-attempts":1},{"name":"i","host":"a.example",)"
    R"("path-prefix":"/i/","type":"idempotent","timeout-ms":20000,)"
    R"("latency-target-ms":150,"priority":1,"service":"bays",)"
    R"("max-attempts":2},{"name":"t","host":"a.example",)"
    R"("path-prefix":"/t/","type":"streaming","timeout-ms":20000,)"
    R"("latency-target-ms":900,"itl-target-ms":300,"priority":1,)"
    R"("service":"bays","max-attempts":1},{"name":"s","host":"a.example",)"
    R"("path-prefix":"/s/","type":"non_idempotent","timeout-ms":20000,)"
    R"("latency-target-ms":150,"priority":1,"service":"sound",)"
    R"("max-attempts":1}],"services":[{"name":"bays","max-conns":200},)"
    R"({"name":"sound","max-conns":200}]})";

// What a faulty server sends in response to a request: `Begin` after the first
// fields of a head, unless `Raw`, and then `Unit` without end.
struct Flood {
  std::string Name;
  std::string Begin;
  std::string Unit;
  std::string Path = "/x/1";
  bool Raw = false;
};

const std::string Filler(UnitBytes, 'x');
const std::string Chunk = "10000\r\n" + Filler + "\r\n";

std::string repeated(const std::string &Text) {
  std::string all;
  while (all.size() < UnitBytes)
    all += Text;
  return all;
}

class FloodServer {
public:
  explicit FloodServer(Flood Kind)
      : Kind(std::move(Kind)), Server([this](int Fd, int) { serve(Fd); }) {}
  std::string address() const { return Server.address(); }

private:
  void serve(int Fd) const {
    std::string request = readRequest(Fd);
    if (request.empty())
      return;
    if (!Kind.Raw)
      sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: " +
                       headerField(request, "Attempt-Id") + "\r\n");
    sendText(Fd, Kind.Begin);
    while (::send(Fd, Kind.Unit.data(), Kind.Unit.size(), MSG_NOSIGNAL) > 0) {
    }
  }

  Flood Kind;
  ScriptServer Server;
};

// Sends a request and discards the response until it ends or `Until`. Returns
// the status, or 0.
int sendAndDiscard(const GatewayInstance &Item, const std::string &Path,
                   const std::string &Id, TimePoint Until) {
  int fd = test::connectTo(Item.Callers);
  if (fd < 0)
    return 0;
  timeval wait{0, 100000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  sendText(fd, "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " +
                   Id + "\r\nDeadline-Ms: 15000\r\nConnection: close\r\n\r\n");
  std::vector<char> buf(UnitBytes);
  int status = 0;
  while (Clock::now() < Until) {
    ssize_t n = ::recv(fd, buf.data(), buf.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN))
      break;
    if (n > 12 && status == 0)
      status = std::atoi(std::string(buf.data() + 9, 3).c_str());
  }
  ::close(fd);
  return status;
}

// The most memory that the process has had so far.
size_t peakKb(int Pid) {
  std::ifstream in("/proc/" + std::to_string(Pid) + "/status");
  std::string line;
  while (std::getline(in, line))
    if (line.starts_with("VmHWM:"))
      return std::strtoul(line.c_str() + 6, nullptr, 10);
  return 0;
}

std::string entryOf(const std::string &Service, const std::string &Address) {
  std::string entry = serverEntry(Service, Address);
  const std::string slots = "\"slots\":6";
  return entry.replace(entry.find(slots), slots.size(), "\"slots\":200");
}

void checkFlood(const Flood &Kind) {
  CAPTURE(Kind.Name);
  FloodServer faulty(Kind);
  FakeServer sound([](const std::string &Request, int) {
    return signedResponse(200, "bay 7", headerField(Request, "Attempt-Id"));
  });
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", Config);
  fleet.Store.put("servers/f1", entryOf("bays", faulty.address()));
  fleet.Store.put("servers/s1", entryOf("sound", sound.address()));
  fleet.startAll();
  GatewayInstance &gateway = fleet.Instances[0];
  TimePoint until = Clock::now() + FloodTime;
  std::vector<std::thread> callers;
  for (int i = 0; i < CallerCount; ++i)
    callers.emplace_back([&, i] {
      for (int n = 0; Clock::now() < until; ++n)
        sendAndDiscard(gateway, Kind.Path,
                       "f" + std::to_string(i) + "-" + std::to_string(n),
                       until);
    });
  int sent = 0;
  int served = 0;
  while (Clock::now() < until) {
    ++sent;
    TimePoint sentAt = Clock::now();
    int status = sendAndDiscard(gateway, "/s/1", "s" + std::to_string(sent),
                                sentAt + SoundTime);
    served += status == 200 && Clock::now() - sentAt < SoundTime ? 1 : 0;
    std::this_thread::sleep_for(SoundPause);
  }
  size_t peak = peakKb(gateway.Process->pid());
  for (std::thread &it : callers)
    it.join();
  MESSAGE(Kind.Name << ": peak " << peak / 1024 << " MB, served " << served
                    << " of " << sent);
  CHECK(peak > 0);
  CHECK(static_cast<double>(peak) <= MaxPart * MemoryMb * 1024);
  CHECK(served >= MinServed * sent);
  CHECK_FALSE(gateway.Process->waitForExit(Milliseconds(0)).has_value());
}

} // namespace

// An instance kept up to 16 MiB of each body, and a multiple of that.
TEST_CASE("Bodies without end don't take an instance's memory") {
  checkFlood({"length", "Content-Length: 9000000000\r\n\r\n", Filler});
  checkFlood({"chunked", "Transfer-Encoding: chunked\r\n\r\n", Chunk});
  checkFlood({"until_close", "\r\n", Filler});
  checkFlood(
      {"one_chunk", "Transfer-Encoding: chunked\r\n\r\n100000000\r\n", Filler});
}

// They aren't passed on, since another server may take a retry.
TEST_CASE("Failures without end don't take an instance's memory") {
  const std::string head = "HTTP/1.1 500 X\r\n";
  checkFlood({"failure", head + "Server-Signature: sig\r\n\r\n", Filler, "/i/1",
              /*Raw=*/true});
  checkFlood({"unsigned", "HTTP/1.1 200 X\r\n\r\n", Filler, "/i/1",
              /*Raw=*/true});
  checkFlood({"stream_failure", head + "Server-Signature: sig\r\n\r\n", Filler,
              "/t/1", /*Raw=*/true});
}

TEST_CASE("Heads and framing without end don't take an instance's memory") {
  checkFlood({"head_line", "HTTP/1.1 200 ", Filler, "/x/1", /*Raw=*/true});
  checkFlood({"fields", "", repeated("A-Field: value\r\n")});
  checkFlood({"interim", "", repeated("HTTP/1.1 100 Continue\r\n\r\n"), "/x/1",
              /*Raw=*/true});
  checkFlood({"garbage", "", Filler, "/x/1", /*Raw=*/true});
  checkFlood({"chunk_size", "Transfer-Encoding: chunked\r\n\r\n",
              std::string(UnitBytes, '0')});
  checkFlood(
      {"chunk_extension", "Transfer-Encoding: chunked\r\n\r\n5;", Filler});
  checkFlood({"trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n",
              repeated("A-Field: value\r\n")});
}

TEST_CASE("Streams without end don't take an instance's memory") {
  checkFlood({"event", "Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n",
              Chunk, "/t/1"});
  checkFlood({"comments", "\r\n", repeated(": comment\n"), "/t/1"});
  checkFlood(
      {"no_events", "Content-Length: 9000000000\r\n\r\n", Filler, "/t/1"});
  checkFlood({"stray", "HTTP/1.1 200 X\r\nAttempt-Id: other\r\n\r\n", Filler,
              "/x/1", /*Raw=*/true});
}

// Answers of the store were kept several times over.
TEST_CASE("Answers of the store without end don't take an instance's memory") {
  for (const std::string &head :
       {std::string("HTTP/1.1 200 X\r\nContent-Length: 9000000000\r\n\r\n"),
        std::string("HTTP/1.1 200 X\r\n\r\n"),
        std::string("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "100000000\r\n")}) {
    FloodServer store({"store", head, Filler, "", /*Raw=*/true});
    GatewayFleet fleet(1, store.address());
    GatewayInstance &gateway = fleet.Instances[0];
    fleet.start(gateway);
    std::this_thread::sleep_for(FloodTime);
    size_t peak = peakKb(gateway.Process->pid());
    MESSAGE("store: peak " << peak / 1024 << " MB");
    CHECK(peak > 0);
    CHECK(static_cast<double>(peak) <= MaxPart * MemoryMb * 1024);
    CHECK_FALSE(gateway.Process->waitForExit(Milliseconds(0)).has_value());
  }
}

// Bodies of callers were kept without regard to their number.
TEST_CASE("Bodies of callers don't take an instance's memory") {
  FakeServer sound([](const std::string &Request, int) {
    return signedResponse(200, "bay 7", headerField(Request, "Attempt-Id"));
  });
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", Config);
  fleet.Store.put("servers/s1", entryOf("sound", sound.address()));
  fleet.startAll();
  GatewayInstance &gateway = fleet.Instances[0];
  TimePoint until = Clock::now() + FloodTime;
  const std::string body(4194304 - 16, 'x'); // the largest by default
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 4 * CallerCount; ++i)
    callers.emplace_back([&] {
      while (Clock::now() < until) {
        int fd = test::connectTo(gateway.Callers);
        if (fd < 0)
          continue;
        timeval wait{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
        ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
        sendText(fd, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                     "c1\r\nContent-Length: " +
                         std::to_string(body.size() + 1) + "\r\n\r\n");
        sendText(fd, body); // all but the last byte
        refused += readUntil(fd, "\r\n").starts_with("HTTP/1.1 503") ? 1 : 0;
        ::close(fd);
      }
    });
  int sent = 0;
  int served = 0;
  while (Clock::now() < until) {
    ++sent;
    TimePoint sentAt = Clock::now();
    int status = sendAndDiscard(gateway, "/s/1", "s" + std::to_string(sent),
                                sentAt + SoundTime);
    served += status == 200 && Clock::now() - sentAt < SoundTime ? 1 : 0;
    std::this_thread::sleep_for(SoundPause);
  }
  size_t peak = peakKb(gateway.Process->pid());
  for (std::thread &it : callers)
    it.join();
  MESSAGE("request bodies: peak " << peak / 1024 << " MB, served " << served
                                  << " of " << sent << ", refused "
                                  << refused.load());
  CHECK(static_cast<double>(peak) <= MaxPart * MemoryMb * 1024);
  CHECK(served >= MinServed * sent);
  CHECK(refused.load() > 0);
  CHECK_FALSE(gateway.Process->waitForExit(Milliseconds(0)).has_value());
}
