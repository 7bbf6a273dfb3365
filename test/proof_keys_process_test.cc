// Process tests of guarantee P4: a non-idempotent call runs at most once,
// according to the execution logs of the service stand-ins.
#include "proof_support.h"

#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

void waitForKeyHomes(ProcessFixture &Fleet) {
  for (size_t i = 0; i < Fleet.routers(); ++i)
    REQUIRE(Fleet.waitForKeyHome(i));
}

std::future<HttpResponse> sendLater(const HttpRequest &Request) {
  return std::async(std::launch::async, [Request] { return send(Request); });
}

bool waitForOpenRequests(ProcessFixture &Fleet, size_t Router, size_t Count) {
  return eventually(
      [&] {
        return Fleet.state(Router)
                   ->getObject("requests")
                   ->getValue<size_t>("open") >= Count;
      },
      WaitTimeout);
}

// Retries the key until the outcome is no longer "no".
std::string retryUntilFinal(ProcessFixture &Fleet, size_t Router,
                            const std::string &Key) {
  std::string outcome;
  eventually(
      [&] {
        outcome = outcomeOf(send(bookingRequest(Fleet, Router, Key)));
        return outcome != "no";
      },
      WaitTimeout);
  return outcome;
}

std::string newTicket(ProcessFixture &Fleet, size_t Router) {
  HttpResponse response = send(Fleet.call(Router, "POST", "/v1/tickets"));
  REQUIRE_MESSAGE(response.Status == 200, response.Body);
  return parseJson(response.Body)->getValue<std::string>("ticket");
}

void setListed(ProcessFixture &Fleet, std::initializer_list<size_t> Routers,
               bool Listed) {
  for (size_t it : Routers)
    Fleet.router(it).State = Listed ? "live" : "";
  Fleet.publishList();
}

void setStaleLists(ProcessFixture &Fleet, std::initializer_list<size_t> Routers,
                   uint64_t Sequence) {
  for (size_t it : Routers)
    Fleet.control("platform", "stale?reader=" + Fleet.router(it).Name +
                                  "&list=" + std::to_string(Sequence));
}

void clearStaleLists(ProcessFixture &Fleet,
                     std::initializer_list<size_t> Routers) {
  for (size_t it : Routers)
    Fleet.control("platform", "stale?on=0&reader=" + Fleet.router(it).Name);
}

// A caller whose outcomes were all "no" may retry: with the same key, unless a
// takeover after its issue makes that key's outcome unknown, and with a new key
// in any case.
void checkRetries(ProcessFixture &Fleet,
                  const std::vector<KeyedCallers::SentKey> &Keys) {
  int left = 5;
  for (auto it = Keys.rbegin(); it != Keys.rend() && left > 0; ++it) {
    if (!it->hasOnly("no"))
      continue;
    --left;
    CAPTURE(it->Key);
    std::string outcome = retryUntilFinal(Fleet, 0, it->Key);
    bool final = outcome == "answered" || outcome == "unknown";
    CHECK_MESSAGE(final, outcome);
    CHECK(executions(Fleet, it->Key) == (outcome == "answered" ? 1 : 0));
  }
  CHECK(waitForKeyedCalls(Fleet, 0));
}

bool hasHomeLease(ProcessFixture &Fleet, size_t Router) {
  return Fleet.state(Router)->getObject("keys")->getObject("list")->optValue(
      "active", false);
}

} // namespace

// Guards against a second execution when callers retry a key through another
// entry instance while the first attempt runs (P4).
TEST_CASE("Proof P4 runs a key once that is sent to all entries concurrently") {
  ProcessFixture fleet(shortLeaseOptions(3));
  waitForKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 1);
  REQUIRE(callers.waitForMore(100));
  auto sent = callers.finish();
  checkAtMostOnce(fleet, sent);
  for (const auto &it : sent)
    CHECK(it.contains("answered"));
}

// Guards against running calls again that the killed home had completed,
// dispatched or received (P4).
TEST_CASE("Proof P4 reruns no key whose home is killed around its dispatch") {
  ProcessFixture fleet(shortLeaseOptions(3));
  waitForKeyHomes(fleet);
  std::string answered = keyWithHome(0, 3);
  std::string running = keyWithHome(0, 3);
  std::string arriving = keyWithHome(0, 3);
  REQUIRE(outcomeOf(send(bookingRequest(fleet, 1, answered))) == "answered");
  for (const char *name : {"s1", "s2"})
    fleet.control(name, "set?latency_ms=60000");
  auto second = sendLater(bookingRequest(fleet, 1, running));
  REQUIRE(eventually([&] { return runningCalls(fleet) == 1; }, WaitTimeout));
  fleet.router(0).Process->signal(SIGSTOP);
  auto third = sendLater(bookingRequest(fleet, 1, arriving));
  REQUIRE(waitForOpenRequests(fleet, 1, 2));
  fleet.router(0).Process->signal(SIGKILL);
  CHECK(outcomeOf(second.get()) == "unknown");
  std::string outcome = outcomeOf(third.get());
  CHECK_MESSAGE(outcome != "answered", outcome);
  for (const char *name : {"s1", "s2"})
    fleet.control(name, "set?latency_ms=5");
  setListed(fleet, {0}, false);
  REQUIRE(waitForKeyedCalls(fleet, 1));
  for (const std::string &key : {answered, running, arriving})
    for (size_t entry : {1, 2})
      CHECK(retryUntilFinal(fleet, entry, key) == "unknown");
  CHECK(executions(fleet, answered) == 1);
  CHECK(executions(fleet, running) == 1);
  CHECK(executions(fleet, arriving) == 0);
}

// Guards against a home that resumes after its successor has taken over and
// then dispatches calls that it accepted before (P4).
TEST_CASE("Proof P4 runs a key once when its home is stopped past its lease") {
  ProcessFixture fleet(shortLeaseOptions(3));
  waitForKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 11);
  REQUIRE(callers.waitForMore(20));
  fleet.router(0).Process->signal(SIGSTOP);
  // Keys of calls accepted by the stopped home and forwarded to it.
  std::string atHome = keyWithHome(0, 3);
  std::string forwarded = keyWithHome(0, 3);
  auto one = sendLater(bookingRequest(fleet, 0, atHome));
  auto other = sendLater(bookingRequest(fleet, 1, forwarded));
  setListed(fleet, {0}, false);
  REQUIRE(waitForKeyedCalls(fleet, 1));
  // These keys are issued after the takeover and sent to both homes.
  std::vector<std::future<HttpResponse>> late;
  std::vector<KeyedCallers::SentKey> keys = {{atHome, {}}, {forwarded, {}}};
  for (int i = 0; i < 5; ++i) {
    keys.push_back({keyWithHome(0, 3), {}});
    late.push_back(sendLater(bookingRequest(fleet, 0, keys.back().Key)));
  }
  for (auto &it : keys)
    it.Outcomes.push_back(outcomeOf(send(bookingRequest(fleet, 2, it.Key))));
  fleet.router(0).Process->signal(SIGCONT);
  keys[0].Outcomes.push_back(outcomeOf(one.get()));
  keys[1].Outcomes.push_back(outcomeOf(other.get()));
  for (size_t i = 0; i < late.size(); ++i)
    keys[i + 2].Outcomes.push_back(outcomeOf(late[i].get()));
  REQUIRE(callers.waitForMore(20));
  auto sent = callers.finish();
  sent.insert(sent.end(), keys.begin(), keys.end());
  checkAtMostOnce(fleet, sent);
  checkRetries(fleet, sent);
}

// Guards against two homes of one key when both sides of a partition serve
// calls and only one side reads the new list (P4).
TEST_CASE("Proof P4 runs a key once when both sides of a partition serve") {
  FleetOptions options = shortLeaseOptions(5);
  options.ProxyPeers = true;
  ProcessFixture fleet(options);
  waitForKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 21);
  REQUIRE(callers.waitForMore(20));
  setStaleLists(fleet, {0, 1}, 1);
  for (const char *one : {"e1", "e2"})
    for (const char *other : {"e3", "e4", "e5"})
      fleet.peerProxy().cut(one, other);
  setListed(fleet, {0, 1}, false);
  // The minority can't get a majority for its list, so its leases expire. Until
  // then both sides may run keys under the list that they share.
  for (size_t entry : {0, 1})
    REQUIRE(
        eventually([&] { return !hasHomeLease(fleet, entry); }, WaitTimeout));
  REQUIRE(waitForKeyedCalls(fleet, 2));
  for (size_t entry : {0, 1}) {
    std::string key = timedKey();
    CHECK(outcomeOf(send(bookingRequest(fleet, entry, key))) == "no");
    CHECK(executions(fleet, key) == 0);
  }
  REQUIRE(callers.waitForMore(100));
  fleet.peerProxy().heal();
  clearStaleLists(fleet, {0, 1});
  setListed(fleet, {0, 1}, true);
  REQUIRE(waitForKeyedCalls(fleet, 0));
  REQUIRE(callers.waitForMore(20));
  auto sent = callers.finish();
  checkAtMostOnce(fleet, sent);
  checkRetries(fleet, sent);
}

// Guards against a home that keeps its role while its links are silent but
// open, its list is stale and the other instances use a newer list (P4).
TEST_CASE("Proof P4 runs a key once when links go silent in a takeover") {
  FleetOptions options = shortLeaseOptions(3);
  options.ProxyPeers = true;
  ProcessFixture fleet(options);
  waitForKeyHomes(fleet);
  KeyedCallers callers(fleet, 4, 31);
  REQUIRE(callers.waitForMore(20));
  setStaleLists(fleet, {0}, 1);
  fleet.peerProxy().freeze("e1", "e2");
  fleet.peerProxy().freeze("e1", "e3");
  setListed(fleet, {0}, false);
  REQUIRE(waitForKeyedCalls(fleet, 1));
  REQUIRE(callers.waitForMore(60));
  fleet.peerProxy().heal();
  REQUIRE(callers.waitForMore(20));
  clearStaleLists(fleet, {0});
  setListed(fleet, {0}, true);
  REQUIRE(waitForKeyedCalls(fleet, 0));
  auto sent = callers.finish();
  checkAtMostOnce(fleet, sent);
  checkRetries(fleet, sent);
}

// Guards against a ticket that runs at a second instance, or again after its
// executor has lost its state in a restart (P4).
TEST_CASE("Proof P4 runs a ticket once when its executor is killed") {
  ProcessFixture fleet(shortLeaseOptions(3));
  std::string ticket = newTicket(fleet, 0);
  std::string unused = newTicket(fleet, 0);
  auto other = sendLater(bookingRequest(fleet, 2, ticket));
  std::string outcome = outcomeOf(send(bookingRequest(fleet, 1, ticket)));
  bool known = outcome == "answered" || outcome == "yes";
  CHECK_MESSAGE(known, outcome);
  other.get();
  CHECK(executions(fleet, ticket) == 1);
  fleet.router(0).Process->signal(SIGKILL);
  fleet.restartRouter(0);
  fleet.publishList();
  REQUIRE(fleet.waitForReady(0));
  for (size_t entry : {0, 1, 2}) {
    CHECK(outcomeOf(send(bookingRequest(fleet, entry, ticket))) == "unknown");
    CHECK(outcomeOf(send(bookingRequest(fleet, entry, unused))) == "unknown");
  }
  CHECK(executions(fleet, ticket) == 1);
  CHECK(executions(fleet, unused) == 0);
}
