#include "proof_support.h"

#include "crocusspur/instance_list.h"

#include "test_socket.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <future>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace crocusspur::test {
namespace {

// Pause between the keys of one thread. It limits the load; no check depends on
// it.
constexpr Milliseconds KeyInterval{10};

} // namespace

RawCall::RawCall(const HttpRequest &Request) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  size_t colon = Request.Address.rfind(':');
  name.sin_port = htons(
      static_cast<uint16_t>(std::stoul(Request.Address.substr(colon + 1))));
  Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0)
    throw std::runtime_error("can't connect to " + Request.Address);
  std::string text = Request.Method + " " + Request.Path + " HTTP/1.1\r\n" +
                     "Host: " + Request.Address + "\r\nContent-Length: " +
                     std::to_string(Request.Body.size()) + "\r\n";
  for (const auto &it : Request.Headers)
    text += it.first + ": " + it.second + "\r\n";
  sendText(Fd, text + "\r\n" + Request.Body);
}

bool RawCall::waitForText(const std::string &Text) {
  timeval limit{WaitTimeout.count() / 1000, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return readUntil(Fd, Text).ends_with(Text);
}

RawCall::~RawCall() { close(); }

void RawCall::close() {
  if (Fd >= 0)
    ::close(std::exchange(Fd, -1));
}

size_t ownerOf(ProcessFixture &Fleet, size_t Router) {
  std::string name =
      Fleet.state(Router)->getObject("owners")->getValue<std::string>(
          "summary-0");
  return std::stoul(name.substr(1)) - 1;
}

FleetOptions shortLeaseOptions(uint32_t Routers) {
  FleetOptions options;
  options.Routers = Routers;
  options.PrefillServers = 1;
  options.DecodeServers = 1;
  options.Heartbeat = Milliseconds(100);
  options.Lease = Milliseconds(800);
  options.ServiceFlags = {"--slots", "64"};
  return options;
}

std::string outcomeOf(const HttpResponse &Response) {
  if (Response.Status == 0)
    return "lost";
  if (Response.Status < 300)
    return "answered";
  return parseJson(Response.Body)->getValue<std::string>("run");
}

HttpRequest bookingRequest(const ProcessFixture &Fleet, size_t Router,
                           const std::string &Key) {
  HttpRequest request =
      Fleet.call(Router, "POST", "/services/bays/book", R"({"bay":3})");
  if (!Key.empty())
    request.Headers["Idempotency-Key"] = Key;
  return request;
}

std::map<std::string, size_t> executionsByKey(ProcessFixture &Fleet) {
  std::map<std::string, size_t> counts;
  for (const char *name : {"s1", "s2"}) {
    auto calls = Fleet.executionLog(name)->getArray("calls");
    for (unsigned i = 0; i < calls->size(); ++i)
      ++counts[calls->getObject(i)->getValue<std::string>("key")];
  }
  return counts;
}

size_t executions(ProcessFixture &Fleet, const std::string &Key) {
  return executionsByKey(Fleet)[Key];
}

size_t runningCalls(ProcessFixture &Fleet) {
  size_t count = 0;
  for (const char *name : {"s1", "s2"})
    count += Fleet.executionLog(name)->getValue<size_t>("running");
  return count;
}

std::string keyWithHome(size_t Router, size_t Count) {
  std::vector<std::string> names;
  for (size_t i = 1; i <= Count; ++i)
    names.push_back("e" + std::to_string(i));
  for (;;) {
    std::string key = timedKey();
    // Homes are ranked by the group's name and the key.
    if (rankByRendezvous("drivers\n" + key, names).front() == names.at(Router))
      return key;
  }
}

bool waitForKeyedCalls(ProcessFixture &Fleet, size_t Router) {
  return eventually(
      [&] {
        return outcomeOf(send(bookingRequest(Fleet, Router, timedKey()))) ==
               "answered";
      },
      WaitTimeout);
}

bool KeyedCallers::SentKey::hasOnly(const std::string &Outcome) const {
  return std::all_of(Outcomes.begin(), Outcomes.end(),
                     [&](const std::string &It) { return It == Outcome; });
}

bool KeyedCallers::SentKey::contains(const std::string &Outcome) const {
  return std::find(Outcomes.begin(), Outcomes.end(), Outcome) != Outcomes.end();
}

KeyedCallers::KeyedCallers(ProcessFixture &Fleet, size_t Count, uint64_t Seed)
    : Fleet(Fleet) {
  for (size_t i = 0; i < Count; ++i)
    Threads.emplace_back([this, Seed, i] { run(Seed + i); });
}

KeyedCallers::~KeyedCallers() { finish(); }

KeyedCallers::SentKey KeyedCallers::sendKey(std::mt19937_64 &Random) {
  SentKey entry;
  entry.Key = timedKey();
  auto one = bookingRequest(Fleet, Random() % Fleet.routers(), entry.Key);
  auto other = bookingRequest(Fleet, Random() % Fleet.routers(), entry.Key);
  auto third = bookingRequest(Fleet, Random() % Fleet.routers(), entry.Key);
  auto response = std::async(std::launch::async, [&] { return send(one); });
  entry.Outcomes.push_back(outcomeOf(send(other)));
  entry.Outcomes.push_back(outcomeOf(response.get()));
  entry.Outcomes.push_back(outcomeOf(send(third)));
  return entry;
}

void KeyedCallers::run(uint64_t Seed) {
  std::mt19937_64 random(Seed);
  std::unique_lock lock(Mutex);
  while (!Stopping) {
    lock.unlock();
    SentKey entry = sendKey(random);
    lock.lock();
    All.push_back(std::move(entry));
    Changed.notify_all();
    Changed.wait_for(lock, KeyInterval, [this] { return Stopping; });
  }
}

bool KeyedCallers::waitForMore(size_t Count) {
  std::unique_lock lock(Mutex);
  size_t goal = All.size() + Count;
  return Changed.wait_for(lock, WaitTimeout,
                          [&] { return All.size() >= goal; });
}

std::vector<KeyedCallers::SentKey> KeyedCallers::finish() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
    Changed.notify_all();
  }
  for (std::thread &it : Threads)
    it.join();
  Threads.clear();
  return All;
}

void checkAtMostOnce(ProcessFixture &Fleet,
                     const std::vector<KeyedCallers::SentKey> &Keys) {
  auto counts = executionsByKey(Fleet);
  size_t executed = 0;
  size_t refused = 0;
  for (const KeyedCallers::SentKey &it : Keys) {
    CAPTURE(it.Key);
    size_t count = counts[it.Key];
    executed += count;
    refused += it.hasOnly("no");
    CHECK(count <= 1);
    if (it.hasOnly("no"))
      CHECK(count == 0);
    if (it.contains("answered"))
      CHECK(count == 1);
  }
  MESSAGE(Keys.size() << " keys, " << executed << " executed, " << refused
                      << " reported as not run");
  CHECK(executed > 0);
}

} // namespace crocusspur::test
