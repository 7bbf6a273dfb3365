// Proofs of P4: a call that may not be repeated runs at most once. The verdicts
// rest on the books of the service stand-ins.
#include "proof_support.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

void awaitKeyHomes(ProcessFixture &Fleet) {
  for (size_t i = 0; i < Fleet.routers(); ++i)
    REQUIRE(Fleet.waitForKeyHome(i));
}

std::future<HttpResponse> sendLater(const HttpRequest &Request) {
  return std::async(std::launch::async, [Request] { return send(Request); });
}

bool awaitOpen(ProcessFixture &Fleet, size_t Router, size_t Count) {
  return eventually(
      [&] {
        return Fleet.state(Router)
                   ->getObject("requests")
                   ->getValue<size_t>("open") >= Count;
      },
      WaitTimeout);
}

// Repeats the key until the answer no longer says "not run".
std::string repeatUntilFinal(ProcessFixture &Fleet, size_t Router,
                             const std::string &Key) {
  std::string told;
  eventually(
      [&] {
        told = runOf(send(booking(Fleet, Router, Key)));
        return told != "no";
      },
      WaitTimeout);
  return told;
}

std::string newTicket(ProcessFixture &Fleet, size_t Router) {
  HttpResponse answer = send(Fleet.call(Router, "POST", "/v1/tickets"));
  REQUIRE_MESSAGE(answer.Status == 200, answer.Body);
  return parseJson(answer.Body)->getValue<std::string>("ticket");
}

void setListed(ProcessFixture &Fleet, std::initializer_list<size_t> Routers,
               bool Listed) {
  for (size_t it : Routers)
    Fleet.router(it).State = Listed ? "live" : "";
  Fleet.publishList();
}

void holdLists(ProcessFixture &Fleet, std::initializer_list<size_t> Routers,
               uint64_t Sequence) {
  for (size_t it : Routers)
    Fleet.control("platform", "stale?reader=" + Fleet.router(it).Name +
                                  "&list=" + std::to_string(Sequence));
}

void freeLists(ProcessFixture &Fleet, std::initializer_list<size_t> Routers) {
  for (size_t it : Routers)
    Fleet.control("platform", "stale?on=0&reader=" + Fleet.router(it).Name);
}

// A caller that was only told "not run" may repeat: with the same key, unless a
// takeover since its issue makes that key's outcome unknown, and with a new key
// in any case.
void checkRepeats(ProcessFixture &Fleet,
                  const std::vector<KeyedCallers::Sent> &Sent) {
  int left = 5;
  for (auto it = Sent.rbegin(); it != Sent.rend() && left > 0; ++it) {
    if (!it->only("no"))
      continue;
    --left;
    CAPTURE(it->Key);
    std::string told = repeatUntilFinal(Fleet, 0, it->Key);
    bool final = told == "answered" || told == "unknown";
    CHECK_MESSAGE(final, told);
    CHECK(executions(Fleet, it->Key) == (told == "answered" ? 1 : 0));
  }
  CHECK(keyedCallsWork(Fleet, 0));
}

bool hasHomeLease(ProcessFixture &Fleet, size_t Router) {
  return Fleet.state(Router)->getObject("keys")->getObject("list")->optValue(
      "active", false);
}

} // namespace

// Guards against a second execution when callers repeat a key through another
// entry while the first attempt runs (P4).
TEST_CASE("Proof P4 runs a key once that is sent to all entries at once") {
  ProcessFixture fleet(keyedFleet(3));
  awaitKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 1);
  REQUIRE(callers.waitForMore(100));
  auto sent = callers.finish();
  checkAtMostOnce(fleet, sent);
  for (const auto &it : sent)
    CHECK(it.any("answered"));
}

// Guards against a repeat of calls that the killed home had answered, had
// dispatched, or had been sent (P4).
TEST_CASE("Proof P4 repeats no key whose home is killed around its dispatch") {
  ProcessFixture fleet(keyedFleet(3));
  awaitKeyHomes(fleet);
  std::string answered = keyWithHome(0, 3);
  std::string running = keyWithHome(0, 3);
  std::string arriving = keyWithHome(0, 3);
  REQUIRE(runOf(send(booking(fleet, 1, answered))) == "answered");
  for (const char *name : {"s1", "s2"})
    fleet.control(name, "set?latency_ms=60000");
  auto second = sendLater(booking(fleet, 1, running));
  REQUIRE(eventually([&] { return runningCalls(fleet) == 1; }, WaitTimeout));
  fleet.router(0).Process->signal(SIGSTOP);
  auto third = sendLater(booking(fleet, 1, arriving));
  REQUIRE(awaitOpen(fleet, 1, 2));
  fleet.router(0).Process->signal(SIGKILL);
  CHECK(runOf(second.get()) == "unknown");
  std::string told = runOf(third.get());
  CHECK_MESSAGE(told != "answered", told);
  for (const char *name : {"s1", "s2"})
    fleet.control(name, "set?latency_ms=5");
  setListed(fleet, {0}, false);
  REQUIRE(keyedCallsWork(fleet, 1));
  for (const std::string &key : {answered, running, arriving})
    for (size_t entry : {1, 2})
      CHECK(repeatUntilFinal(fleet, entry, key) == "unknown");
  CHECK(executions(fleet, answered) == 1);
  CHECK(executions(fleet, running) == 1);
  CHECK(executions(fleet, arriving) == 0);
}

// Guards against a home that wakes after its successor has taken over and then
// dispatches what it had accepted before (P4).
TEST_CASE("Proof P4 runs a key once when its home is stopped past its lease") {
  ProcessFixture fleet(keyedFleet(3));
  awaitKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 11);
  REQUIRE(callers.waitForMore(20));
  fleet.router(0).Process->signal(SIGSTOP);
  // Accepted by the stopped home, and forwarded to it.
  std::string atHome = keyWithHome(0, 3);
  std::string forwarded = keyWithHome(0, 3);
  auto one = sendLater(booking(fleet, 0, atHome));
  auto other = sendLater(booking(fleet, 1, forwarded));
  setListed(fleet, {0}, false);
  REQUIRE(keyedCallsWork(fleet, 1));
  // Issued after the takeover and sent to both homes.
  std::vector<std::future<HttpResponse>> late;
  std::vector<KeyedCallers::Sent> told = {{atHome, {}}, {forwarded, {}}};
  for (int i = 0; i < 5; ++i) {
    told.push_back({keyWithHome(0, 3), {}});
    late.push_back(sendLater(booking(fleet, 0, told.back().Key)));
  }
  for (auto &it : told)
    it.Told.push_back(runOf(send(booking(fleet, 2, it.Key))));
  fleet.router(0).Process->signal(SIGCONT);
  told[0].Told.push_back(runOf(one.get()));
  told[1].Told.push_back(runOf(other.get()));
  for (size_t i = 0; i < late.size(); ++i)
    told[i + 2].Told.push_back(runOf(late[i].get()));
  REQUIRE(callers.waitForMore(20));
  auto sent = callers.finish();
  sent.insert(sent.end(), told.begin(), told.end());
  checkAtMostOnce(fleet, sent);
  checkRepeats(fleet, sent);
}

// Guards against two homes of one key when both sides of a partition serve and
// only one of them reads the new list (P4).
TEST_CASE("Proof P4 runs a key once when both sides of a partition serve") {
  FleetOptions options = keyedFleet(5);
  options.ForwardPeers = true;
  ProcessFixture fleet(options);
  awaitKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 21);
  REQUIRE(callers.waitForMore(20));
  holdLists(fleet, {0, 1}, 1);
  for (const char *one : {"e1", "e2"})
    for (const char *other : {"e3", "e4", "e5"})
      fleet.network().cut(one, other);
  setListed(fleet, {0, 1}, false);
  // The minority's list has no majority, so its leases end. Until then both
  // sides may still run keys under the one list that they share.
  for (size_t entry : {0, 1})
    REQUIRE(
        eventually([&] { return !hasHomeLease(fleet, entry); }, WaitTimeout));
  REQUIRE(keyedCallsWork(fleet, 2));
  for (size_t entry : {0, 1}) {
    std::string key = timedKey();
    CHECK(runOf(send(booking(fleet, entry, key))) == "no");
    CHECK(executions(fleet, key) == 0);
  }
  REQUIRE(callers.waitForMore(100));
  fleet.network().heal();
  freeLists(fleet, {0, 1});
  setListed(fleet, {0, 1}, true);
  REQUIRE(keyedCallsWork(fleet, 0));
  REQUIRE(callers.waitForMore(20));
  auto sent = callers.finish();
  checkAtMostOnce(fleet, sent);
  checkRepeats(fleet, sent);
}

// Guards against a home that keeps its role over links that are silent but
// open, while its list is stale and the others have moved on (P4).
TEST_CASE("Proof P4 runs a key once when links go silent in a takeover") {
  FleetOptions options = keyedFleet(3);
  options.ForwardPeers = true;
  ProcessFixture fleet(options);
  awaitKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 31);
  REQUIRE(callers.waitForMore(20));
  holdLists(fleet, {0}, 1);
  fleet.network().freeze("e1", "e2");
  fleet.network().freeze("e1", "e3");
  setListed(fleet, {0}, false);
  REQUIRE(keyedCallsWork(fleet, 1));
  REQUIRE(callers.waitForMore(60));
  fleet.network().heal();
  REQUIRE(callers.waitForMore(20));
  freeLists(fleet, {0});
  setListed(fleet, {0}, true);
  REQUIRE(keyedCallsWork(fleet, 0));
  auto sent = callers.finish();
  checkAtMostOnce(fleet, sent);
  checkRepeats(fleet, sent);
}

// Guards against a ticket that runs at a second instance, or again after its
// executor has lost its memory (P4).
TEST_CASE("Proof P4 runs a ticket once when its executor is killed") {
  ProcessFixture fleet(keyedFleet(3));
  std::string ticket = newTicket(fleet, 0);
  std::string unused = newTicket(fleet, 0);
  auto other = sendLater(booking(fleet, 2, ticket));
  std::string told = runOf(send(booking(fleet, 1, ticket)));
  bool known = told == "answered" || told == "yes";
  CHECK_MESSAGE(known, told);
  other.get();
  CHECK(executions(fleet, ticket) == 1);
  fleet.router(0).Process->signal(SIGKILL);
  fleet.restartRouter(0);
  fleet.publishList();
  REQUIRE(fleet.waitForReady(0));
  for (size_t entry : {0, 1, 2}) {
    CHECK(runOf(send(booking(fleet, entry, ticket))) == "unknown");
    CHECK(runOf(send(booking(fleet, entry, unused))) == "unknown");
  }
  CHECK(executions(fleet, ticket) == 1);
  CHECK(executions(fleet, unused) == 0);
}
