// Gateway instances as processes, before a store and servers in this process.
#include "child_process.h"
#include "gateway_fixture.h"
#include "http_caller.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace crocusspur;
using crocusspur::test::ChildProcess;

namespace {

constexpr Milliseconds Generous{30000};

std::string base64(const std::string &Text) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < Text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t n = 0; n < 3; ++n)
      bits = bits << 8 |
             (i + n < Text.size() ? static_cast<uint8_t>(Text[i + n]) : 0);
    for (size_t n = 0; n < 4; ++n)
      out += i + n > Text.size() ? '=' : Digits[bits >> (18 - 6 * n) & 63];
  }
  return out;
}

// The platform's store, as far as the gateway calls it. It can turn callers
// away by the name that they state.
class FakeStore {
public:
  FakeStore() : Server([this](int Fd, int) { serve(Fd); }) {}
  ~FakeStore() {
    std::lock_guard lock(Mutex);
    Stopping = true;
    for (int it : Open)
      ::shutdown(it, SHUT_RDWR);
  }

  std::string address() const { return Server.address(); }
  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard lock(Mutex);
    Items[Key] = {++Revision, Value};
  }
  void turnAway(const std::string &Instance, bool Away) {
    std::lock_guard lock(Mutex);
    TurnedAway[Instance] = Away;
  }

private:
  struct Item {
    uint64_t Revision = 0;
    std::string Value;
  };

  void serve(int Fd) {
    {
      std::lock_guard lock(Mutex);
      Open.insert(Fd);
    }
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        break;
      sendText(Fd, answer(request));
    }
    std::lock_guard lock(Mutex);
    Open.erase(Fd);
  }

  bool away(const std::string &Request) {
    std::lock_guard lock(Mutex);
    for (const auto &[name, isAway] : TurnedAway)
      if (isAway && Request.find(": " + name + "\r\n") != std::string::npos)
        return true;
    return Stopping;
  }

  std::string list(const std::string &Prefix, uint64_t After, bool &Any) {
    std::lock_guard lock(Mutex);
    std::string all;
    for (const auto &[key, item] : Items) {
      if (!key.starts_with(Prefix) || item.Revision <= After)
        continue;
      all += (all.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
             "\",\"value\":\"" + base64(item.Value) +
             "\",\"revision\":" + std::to_string(item.Revision) + "}";
    }
    Any = !all.empty();
    return "[" + all + "],\"at\":" + std::to_string(Revision);
  }

  std::string answer(const std::string &Request) {
    if (away(Request))
      return httpAnswer(503, "");
    bool watch = Request.find("/api/kv-watch") != std::string::npos;
    std::string prefix =
        Request.find("servers/") != std::string::npos ? "servers/" : "op/";
    bool any = false;
    if (!watch)
      return httpAnswer(
          200, "{\"has-more\":false,\"items\":" + list(prefix, 0, any) + "}");
    uint64_t after = std::stoull(Request.substr(Request.find("after=") + 6));
    std::string events;
    auto end = std::chrono::steady_clock::now() + Milliseconds(1000);
    do {
      events = list(prefix, after, any);
      if (any || away(Request))
        break;
      std::this_thread::sleep_for(Milliseconds(5));
    } while (std::chrono::steady_clock::now() < end);
    return httpAnswer(200, "{\"events\":" + events + "}");
  }

  std::mutex Mutex;
  uint64_t Revision = 1;
  bool Stopping = false;
  std::map<std::string, Item> Items;
  std::map<std::string, bool> TurnedAway;
  std::set<int> Open;
  ScriptServer Server;
};

std::string freeAddress() {
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  ::bind(fd, reinterpret_cast<sockaddr *>(&address), length);
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
  ::close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

std::string configOf(int Version, const std::string &Prefix) {
  return "{\"version\":" + std::to_string(Version) +
         ",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"path-prefix\":"
         "\"" +
         Prefix +
         "\",\"type\":\"non_idempotent\",\"timeout-ms\":20000,"
         "\"latency-target-ms\":150,\"priority\":1,\"service\":\"bays\","
         "\"max-attempts\":1}],\"services\":[{\"name\":\"bays\","
         "\"health-path\":\"/h\",\"max-conns\":100}]}";
}

struct Instance {
  std::string Name;
  std::string Callers = freeAddress();
  std::string Ready = freeAddress();
  std::string Peers = freeAddress();
  std::filesystem::path File;
  std::unique_ptr<ChildProcess> Process;
};

class GatewayFleet {
public:
  explicit GatewayFleet(int Count) {
    char name[] = "/tmp/crocusspur-gateway-XXXXXX";
    Folder = ::mkdtemp(name);
    Store.put("op/config", configOf(1, "/x/"));
    Instances.resize(static_cast<size_t>(Count));
    for (size_t i = 0; i < Instances.size(); ++i) {
      Instances[i].Name = "g" + std::to_string(i + 1);
      Instances[i].File = Folder / (Instances[i].Name + ".toml");
      writeSettings(Instances[i]);
    }
  }
  ~GatewayFleet() {
    Instances.clear();
    std::filesystem::remove_all(Folder);
  }

  void addServer(const std::string &Id, const FakeServer &Server) {
    Store.put("servers/" + Id,
              "{\"service\":\"bays\",\"address\":\"" + Server.address() +
                  "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":6,"
                  "\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":1,"
                  "\"born\":1764000000123}");
  }

  void start(Instance &Item) {
    Item.Process = std::make_unique<ChildProcess>(std::vector<std::string>{
        std::string(CROCUSSPUR_BUILD_DIR) + "/crocusspur", "gateway",
        "--settings", Item.File.string()});
  }
  void startAll() {
    for (Instance &it : Instances)
      start(it);
    for (Instance &it : Instances)
      REQUIRE(waitForReady(it));
  }

  static int readiness(const Instance &Item) {
    std::string answer = get(Item.Ready, "/api/readyz", "");
    return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
  }
  static bool waitForReady(const Instance &Item) {
    return test::eventually([&] { return readiness(Item) == 200; }, Generous);
  }

  // Sends a request on a connection of its own and returns all that comes.
  static std::string get(const std::string &Address, const std::string &Path,
                         const std::string &Fields) {
    int fd = connectTo(Address);
    if (fd < 0)
      return "";
    sendText(fd, "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\n" + Fields +
                     "Connection: close\r\n\r\n");
    std::string answer = readAll(fd);
    ::close(fd);
    return answer;
  }
  static std::string ask(const Instance &Item, const std::string &Path) {
    return get(Item.Callers, Path, "Attempt-Id: a1\r\nDeadline-Ms: 20000\r\n");
  }

  static int connectTo(const std::string &Address) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<uint16_t>(
        std::stoi(Address.substr(Address.find(':') + 1))));
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0)
      return fd;
    ::close(fd);
    return -1;
  }

  FakeStore Store;
  std::vector<Instance> Instances;

private:
  void writeSettings(const Instance &Item) {
    std::ofstream out(Item.File);
    out << "node-name = \"" << Item.Name << "\"\nzone = \"hall-a\"\n"
        << "seed-nodes = [\"" << Instances[0].Peers << "\"]\n[listen]\n"
        << "frontend = \"" << Item.Callers << "\"\nready = \"" << Item.Ready
        << "\"\ncontrol-plane = \"" << Item.Peers << "\"\n[bounds]\n"
        << "grace-s = 8\n[platform]\naddress = \"" << Store.address() << "\"\n";
  }

  std::filesystem::path Folder;
};

bool ok(const std::string &Answer) {
  return Answer.starts_with("HTTP/1.1 200");
}

} // namespace

TEST_CASE("A gateway alone serves a calm day in miniature") {
  FakeServer server(
      [](const std::string &, int) { return signedAnswer(200, "bay 7"); });
  GatewayFleet fleet(1);
  fleet.addServer("s1", server);
  fleet.startAll();
  Instance &gateway = fleet.Instances[0];
  for (int i = 0; i < 20; ++i) {
    std::string answer = GatewayFleet::ask(gateway, "/x/slot");
    CHECK(ok(answer));
    CHECK(answer.ends_with("bay 7"));
  }
  CHECK(GatewayFleet::ask(gateway, "/y/slot").starts_with("HTTP/1.1 404"));
  // A newer version moves the route.
  fleet.Store.put("op/config", configOf(2, "/y/"));
  CHECK(test::eventually(
      [&] { return ok(GatewayFleet::ask(gateway, "/y/slot")); }, Generous));
  CHECK(GatewayFleet::ask(gateway, "/x/slot").starts_with("HTTP/1.1 404"));
}

TEST_CASE("An instance that knows no configuration refuses as not run") {
  GatewayFleet fleet(1);
  Instance &gateway = fleet.Instances[0];
  fleet.Store.turnAway("g1", true);
  fleet.start(gateway);
  REQUIRE(test::eventually(
      [&] { return GatewayFleet::readiness(gateway) == 503; }, Generous));
  std::string answer = GatewayFleet::ask(gateway, "/x/slot");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("An instance that the store turns away learns from its peers") {
  FakeServer server(
      [](const std::string &, int) { return signedAnswer(200, "bay 7"); });
  GatewayFleet fleet(3);
  fleet.addServer("s1", server);
  fleet.startAll();
  fleet.Store.turnAway("g3", true);
  fleet.Store.put("op/config", configOf(2, "/y/"));
  CHECK(test::eventually(
      [&] { return ok(GatewayFleet::ask(fleet.Instances[2], "/y/slot")); },
      Generous));
  // Also from the start of its process.
  fleet.Instances[2].Process->signal(SIGKILL);
  fleet.Instances[2].Process->waitForExit(Generous);
  fleet.start(fleet.Instances[2]);
  CHECK(GatewayFleet::waitForReady(fleet.Instances[2]));
  CHECK(ok(GatewayFleet::ask(fleet.Instances[2], "/y/slot")));
}

TEST_CASE("Stopped and dead peers hold up no request") {
  FakeServer server(
      [](const std::string &, int) { return signedAnswer(200, "bay 7"); });
  GatewayFleet fleet(3);
  fleet.addServer("s1", server);
  fleet.startAll();
  fleet.Instances[0].Process->signal(SIGSTOP); // also the only seed
  fleet.Instances[1].Process->signal(SIGKILL);
  for (int i = 0; i < 20; ++i)
    CHECK(ok(GatewayFleet::ask(fleet.Instances[2], "/x/slot")));
  fleet.Instances[0].Process->signal(SIGCONT);
}

TEST_CASE("All instances that are killed at once serve again after") {
  FakeServer server(
      [](const std::string &, int) { return signedAnswer(200, "bay 7"); });
  GatewayFleet fleet(3);
  fleet.addServer("s1", server);
  fleet.startAll();
  for (Instance &it : fleet.Instances)
    it.Process->signal(SIGKILL);
  for (Instance &it : fleet.Instances)
    it.Process->waitForExit(Generous);
  fleet.startAll();
  for (Instance &it : fleet.Instances)
    CHECK(ok(GatewayFleet::ask(it, "/x/slot")));
}

TEST_CASE("A shutdown finishes what runs and is no longer ready") {
  std::atomic<bool> release{false};
  FakeServer server([&](const std::string &, int) {
    eventually([&] { return release.load(); });
    return signedAnswer(200, "bay 7");
  });
  GatewayFleet fleet(1);
  fleet.addServer("s1", server);
  fleet.startAll();
  Instance &gateway = fleet.Instances[0];
  std::string answer;
  std::thread caller([&] { answer = GatewayFleet::ask(gateway, "/x/slot"); });
  REQUIRE(eventually([&] { return !server.requests().empty(); }));
  gateway.Process->signal(SIGTERM);
  CHECK(test::eventually(
      [&] { return GatewayFleet::readiness(gateway) == 503; }, Generous));
  release.store(true);
  caller.join();
  CHECK(ok(answer));
  CHECK(gateway.Process->waitForExit(Generous) == 0);
}

TEST_CASE("Changed settings with mistakes keep what is in force") {
  FakeServer server(
      [](const std::string &, int) { return signedAnswer(200, "bay 7"); });
  GatewayFleet fleet(1);
  fleet.addServer("s1", server);
  fleet.startAll();
  Instance &gateway = fleet.Instances[0];
  std::ofstream(gateway.File) << "node-name = 3\n";
  gateway.Process->signal(SIGHUP);
  CHECK(gateway.Process
            ->waitForLine(
                [](const std::string &Line) {
                  return Line.find("settings not usable") != std::string::npos;
                },
                Generous)
            .has_value());
  CHECK(ok(GatewayFleet::ask(gateway, "/x/slot")));
}

TEST_CASE("A settings file with mistakes names each of them") {
  GatewayFleet fleet(1);
  std::ofstream(fleet.Instances[0].File) << "node-name = 3\n";
  fleet.start(fleet.Instances[0]);
  ChildProcess &process = *fleet.Instances[0].Process;
  CHECK(process.waitForExit(Generous) == 2);
  std::string output = process.output();
  for (const char *it :
       {"node-name", "zone", "listen.frontend", "platform.address"})
    CHECK_MESSAGE(output.find(it) != std::string::npos, output);
}

TEST_CASE("The gateway serves the metrics that its page lists") {
  GatewayFleet fleet(1);
  Instance &gateway = fleet.Instances[0];
  fleet.start(gateway);
  REQUIRE(test::eventually(
      [&] { return GatewayFleet::readiness(gateway) != 0; }, Generous));
  std::string metrics = GatewayFleet::get(gateway.Ready, "/metrics", "");
  for (const char *it :
       {"server_connections_total", "store_reachable", "config_version",
        "peers_linked", "open_requests", "ready", "request_seconds",
        "reservation_wait_seconds", "first_output_seconds"})
    CHECK_MESSAGE(metrics.find("# TYPE crocusspur_" + std::string(it) + " ") !=
                      std::string::npos,
                  it);
  std::string state = GatewayFleet::get(gateway.Ready, "/state", "");
  CHECK(state.find("\"config_version\":") != std::string::npos);
}
