#include "gateway_fleet.h"

#include <Poco/URI.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace crocusspur::test {
namespace {

// Of a page of a list.
constexpr size_t MaxPageItems = 500;
constexpr size_t MaxPageBytes = 1000000;

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

} // namespace

FakeStore::FakeStore() : Server([this](int Fd, int) { serve(Fd); }) {}

FakeStore::~FakeStore() {
  std::lock_guard lock(Mutex);
  Stopping = true;
  for (int it : Open)
    ::shutdown(it, SHUT_RDWR);
}

void FakeStore::put(const std::string &Key, const std::string &Value) {
  std::lock_guard lock(Mutex);
  if (Mirror)
    Mirror->put(Key, TranslateValue(Value));
  Current.Items[Key] = {++Current.Revision, Value};
}

void FakeStore::remove(const std::string &Key) {
  std::lock_guard lock(Mutex);
  if (Mirror)
    Mirror->remove(Key);
  Current.Items[Key] = {++Current.Revision, std::nullopt};
}

void FakeStore::setAway(bool IsAway) {
  std::lock_guard lock(Mutex);
  if (Mirror)
    Mirror->setAway(IsAway);
  Away = IsAway;
  if (Away)
    for (int it : Open)
      ::shutdown(it, SHUT_RDWR);
}

void FakeStore::copy() {
  std::lock_guard lock(Mutex);
  if (Mirror)
    Mirror->copy();
  Copy = Current;
}

void FakeStore::restore() {
  std::lock_guard lock(Mutex);
  if (Mirror)
    Mirror->restore();
  Lost = Current.Items;
  std::erase_if(Lost, [this](const auto &It) {
    return It.second.Revision <= Copy.Revision;
  });
  Current = Copy;
  ++Era;
}

void FakeStore::writeLostAgain() {
  std::map<std::string, Item> lost;
  {
    std::lock_guard lock(Mutex);
    lost = std::exchange(Lost, {});
  }
  for (const auto &[key, item] : lost)
    if (item.Value)
      put(key, *item.Value);
    else
      remove(key);
}

void FakeStore::discardHistory() {
  std::lock_guard lock(Mutex);
  Current.Discarded = Current.Revision;
}

void FakeStore::setRevision(uint64_t Value) {
  std::lock_guard lock(Mutex);
  Current.Revision = Value;
}

uint64_t FakeStore::revision() {
  std::lock_guard lock(Mutex);
  return Current.Revision;
}

void FakeStore::setEraField(std::optional<std::string> Text) {
  std::lock_guard lock(Mutex);
  EraText = std::move(Text);
}

void FakeStore::setRejecting(const std::string &Instance, bool Rejecting) {
  std::lock_guard lock(Mutex);
  if (Mirror)
    Mirror->setRejecting(Instance, Rejecting);
  Rejected[Instance] = Rejecting;
}

void FakeStore::setSilent(const std::string &Instance, bool IsSilent) {
  std::lock_guard lock(Mutex);
  if (Mirror)
    Mirror->setSilent(Instance, IsSilent);
  Silent[Instance] = IsSilent;
}

void FakeStore::awaitVoice(const std::string &Request) {
  while (true) {
    {
      std::lock_guard lock(Mutex);
      bool silent = false;
      for (const auto &[name, isSilent] : Silent)
        silent = silent || (isSilent && Request.find(": " + name + "\r\n") !=
                                            std::string::npos);
      if (!silent || Stopping)
        return;
    }
    std::this_thread::sleep_for(Milliseconds(5));
  }
}

void FakeStore::serve(int Fd) {
  {
    std::lock_guard lock(Mutex);
    Open.insert(Fd);
  }
  while (true) {
    std::string request = readRequest(Fd);
    if (request.empty())
      break;
    std::string response = respond(request);
    awaitVoice(request);
    if (response.empty())
      break;
    sendText(Fd, response);
  }
  std::lock_guard lock(Mutex);
  Open.erase(Fd);
}

bool FakeStore::isRejected(const std::string &Request) {
  std::lock_guard lock(Mutex);
  for (const auto &[name, rejecting] : Rejected)
    if (rejecting && Request.find(": " + name + "\r\n") != std::string::npos)
      return true;
  return Stopping;
}

std::string FakeStore::list(const std::string &Prefix, uint64_t After,
                            const std::optional<std::string> &AfterKey,
                            bool &Any) {
  std::lock_guard lock(Mutex);
  std::string all;
  size_t count = 0;
  size_t bytes = 0;
  bool hasMore = false;
  for (const auto &[key, item] : Current.Items) {
    // A list of all items has no removed ones.
    if (!key.starts_with(Prefix) || item.Revision <= After ||
        (!item.Value && AfterKey) || (AfterKey && key <= *AfterKey))
      continue;
    bytes += item.Value ? item.Value->size() : 0;
    hasMore = AfterKey && count > 0 &&
              (count == MaxPageItems || bytes > MaxPageBytes);
    if (hasMore)
      break;
    ++count;
    all += (all.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\"" +
           (item.Value ? ",\"value\":\"" + base64(*item.Value) + "\""
                       : ",\"deleted\":true") +
           ",\"revision\":" + std::to_string(item.Revision) + "}";
  }
  Any = !all.empty();
  return "[" + all + "],\"has-more\":" + (hasMore ? "true" : "false") +
         ",\"at\":" + std::to_string(Current.Revision);
}

std::string FakeStore::withEra(std::string Response) const {
  std::string text = EraText.value_or(std::to_string(Era));
  if (!text.empty())
    Response.insert(Response.find("\r\n") + 2, "Store-Era: " + text + "\r\n");
  return Response;
}

std::string FakeStore::respond(const std::string &Request) {
  ++Calls;
  bool rejected = isRejected(Request);
  std::string prefix =
      Request.find("servers/") != std::string::npos ? "servers/" : "op/";
  if (!rejected && Request.find("/api/kv-watch") != std::string::npos)
    return respondToWatch(Request, prefix);
  size_t at = Request.find("&after=");
  std::string afterKey;
  if (at != std::string::npos)
    Poco::URI::decode(Request.substr(at + 7, Request.find(' ', at) - at - 7),
                      afterKey);
  bool any = false;
  std::string response =
      rejected ? httpResponse(503, "")
               : httpResponse(
                     200, "{\"items\":" + list(prefix, 0, afterKey, any) + "}");
  std::lock_guard lock(Mutex);
  return Away ? "" : withEra(response);
}

std::string FakeStore::respondToWatch(const std::string &Request,
                                      const std::string &Prefix) {
  uint64_t after = std::stoull(Request.substr(Request.find("after=") + 6));
  {
    std::lock_guard lock(Mutex);
    if (after > Current.Revision || after < Current.Discarded)
      return Away ? "" : withEra(httpResponse(410, ""));
  }
  std::string events;
  uint64_t reached = after; // no change before it is missing
  bool any = false;
  auto end =
      std::chrono::steady_clock::now() +
      Milliseconds(std::stoll(Request.substr(Request.find("wait-ms=") + 8)));
  do {
    reached = revision();
    events = list(Prefix, after, std::nullopt, any);
    if (any || isRejected(Request))
      break;
    std::this_thread::sleep_for(Milliseconds(5));
  } while (std::chrono::steady_clock::now() < end);
  std::lock_guard lock(Mutex);
  std::string body =
      "{\"events\":" + events + ",\"at\":" + std::to_string(reached) + "}";
  return Away ? "" : withEra(httpResponse(200, body));
}

// Ports of 127.0.0.1 are also used for outgoing connections, so a free one
// could be taken before the instance listens. Each test process therefore uses
// its own address of the loopback network.
std::string freeAddress() {
  static std::mutex Mutex;
  static std::set<std::string> Given;
  auto pid = static_cast<uint32_t>(::getpid());
  uint32_t ip = 127U << 24 | (64 + (pid >> 16 & 63)) << 16 |
                (pid >> 8 & 255) << 8 | (pid & 255);
  std::lock_guard lock(Mutex);
  while (true) {
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(ip);
    socklen_t length = sizeof address;
    ::bind(fd, reinterpret_cast<sockaddr *>(&address), length);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(fd);
    char text[INET_ADDRSTRLEN];
    ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    std::string found =
        std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
    if (Given.insert(found).second)
      return found;
  }
}

int connectTo(const std::string &Address) {
  size_t colon = Address.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  ::inet_pton(AF_INET, Address.substr(0, colon).c_str(), &to.sin_addr);
  to.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Address.substr(colon + 1))));
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0)
    return fd;
  ::close(fd);
  return -1;
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

std::string serverEntry(const std::string &Service, const std::string &Address,
                        const std::string &More, int64_t StartedAt,
                        const std::string &Version,
                        const std::string &FailureDomain) {
  return "{\"service\":\"" + Service + "\",\"address\":\"" + Address +
         "\",\"zone\":\"" + FailureDomain + "\",\"version\":\"" + Version +
         "\",\"slots\":6," +
         (More.empty() ? std::string("\"state\":\"ready\"") : More) +
         ",\"cold-left-ms\":0,\"sequence\":1,\"born\":" +
         std::to_string(StartedAt) + "}";
}

GatewayFleet::GatewayFleet(int Count, const std::string &StoreAddress,
                           const std::vector<std::string> &FailureDomains) {
  char name[] = "/tmp/crocusspur-gateway-XXXXXX";
  const char *folder = ::mkdtemp(name);
  if (!folder)
    throw std::runtime_error("can't create a folder for settings");
  Folder = folder;
  Store.put("op/config", configOf(1, "/x/"));
  Instances.resize(static_cast<size_t>(Count));
  for (size_t i = 0; i < Instances.size(); ++i) {
    Instances[i].Name = "g" + std::to_string(i + 1);
    Instances[i].FailureDomain = FailureDomains[i % FailureDomains.size()];
    Instances[i].File = Folder / (Instances[i].Name + ".toml");
    writeSettings(Instances[i],
                  StoreAddress.empty() ? Store.address() : StoreAddress);
  }
}

GatewayFleet::~GatewayFleet() {
  Instances.clear();
  std::filesystem::remove_all(Folder);
}

void GatewayFleet::addServer(const std::string &Id, const FakeServer &Server) {
  Store.put("servers/" + Id, serverEntry("bays", Server.address()));
}

void GatewayFleet::start(GatewayInstance &Item) {
  bool isOther = !OtherProgram.empty() && Starts++ % 2 == 1;
  Item.Process = std::make_unique<ChildProcess>(
      std::vector<std::string>{isOther ? OtherProgram : Program, "gateway",
                               "--settings", Item.File.string()});
}

void GatewayFleet::startAll() {
  for (GatewayInstance &it : Instances)
    start(it);
  for (GatewayInstance &it : Instances)
    if (!waitForReady(it))
      throw std::runtime_error(it.Name + " was not ready in time:\n" +
                               it.Process->output());
}

int GatewayFleet::readiness(const GatewayInstance &Item) {
  std::string response = get(Item.Ready, "/api/readyz", "");
  return response.size() > 12 ? std::atoi(response.c_str() + 9) : 0;
}

bool GatewayFleet::waitForReady(const GatewayInstance &Item) {
  return eventually([&] { return readiness(Item) == 200; }, WaitTimeout);
}

bool GatewayFleet::waitForState(const std::string &Part,
                                Milliseconds Limit) const {
  return eventually(
      [&] {
        return std::ranges::all_of(Instances, [&](const GatewayInstance &It) {
          return get(It.Ready, "/state", "").find(Part) != std::string::npos;
        });
      },
      Limit);
}

std::string GatewayFleet::get(const std::string &Address,
                              const std::string &Path,
                              const std::string &Fields) {
  int fd = connectTo(Address);
  if (fd < 0)
    return "";
  sendText(fd, "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\n" + Fields +
                   "Connection: close\r\n\r\n");
  std::string response = readAll(fd);
  ::close(fd);
  return response;
}

std::string GatewayFleet::sendRequest(const GatewayInstance &Item,
                                      const std::string &Path) {
  return get(Item.Callers, Path, "Attempt-Id: a1\r\nDeadline-Ms: 20000\r\n");
}

void GatewayFleet::makeAllSeeds() {
  AllAreSeeds = true;
  for (const GatewayInstance &it : Instances)
    writeSettings(it, Store.address());
}

void GatewayFleet::writeSettings(const GatewayInstance &Item,
                                 const std::string &StoreAddress) {
  std::ofstream out(Item.File);
  std::string seeds;
  for (const GatewayInstance &it : Instances) {
    seeds += (seeds.empty() ? "\"" : ",\"") + it.Peers + "\"";
    if (!AllAreSeeds)
      break;
  }
  out << "node-name = \"" << Item.Name << "\"\nzone = \"" << Item.FailureDomain
      << "\"\n"
      << "seed-nodes = [" << seeds << "]\n[listen]\n"
      << "frontend = \"" << Item.Callers << "\"\nready = \"" << Item.Ready
      << "\"\ncontrol-plane = \"" << Item.Peers << "\"\n[limits]\n"
      << "memory-mb = 110\n[bounds]\n"
      << "grace-s = 8\nretry-budget-ratio = " << RetryBudgetRatio
      << "\nbudget-slack = 56\n"
      << "[platform]\naddress = \"" << StoreAddress << "\"\n";
}

} // namespace crocusspur::test
