// Process tests of guarantee P1: no engine memory stays held for a request
// whose caller has disconnected. Without a cancel, the engines of these fleets
// free memory only after 10 s or more, so memory that is freed within the
// bounds was freed by a cancel.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <csignal>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

constexpr Milliseconds CancelBound{1000};
constexpr Milliseconds DeathBound{5000};

enum class Stage { Queued, Prefill, Transfer, Decode };

struct StageCase {
  Stage At;
  std::string Name;
};

const StageCase Stages[] = {{Stage::Queued, "before prefill"},
                            {Stage::Prefill, "during prefill"},
                            {Stage::Transfer, "during transfer"},
                            {Stage::Decode, "during decode"}};

FleetOptions optionsFor(Stage At) {
  FleetOptions options;
  options.PrefillServers = 1;
  options.DecodeServers = 1;
  options.ServiceServers = 1;
  options.EvictionMs = 20000;
  options.Groups = {{"drivers", "normal", "drivers-token", 1, 60000, true}};
  if (At == Stage::Queued)
    options.Slots = 1;
  if (At == Stage::Queued || At == Stage::Prefill)
    options.PrefillTokensPerSecond = 5;
  return options;
}

std::string joined(const std::vector<std::string> &Texts) {
  std::string all;
  for (const std::string &it : Texts)
    all += it + " ";
  return all;
}

size_t openAt(ProcessFixture &Fleet, size_t Router) {
  return Fleet.state(Router)->getObject("requests")->getValue<size_t>("open");
}

bool hasReached(ProcessFixture &Fleet, size_t Entry, Stage At) {
  if (At == Stage::Queued)
    return Fleet.countRuns("prefill", "running") == 1 &&
           openAt(Fleet, Entry) == 2;
  if (At == Stage::Prefill)
    return Fleet.countRuns("prefill", "running") == 1;
  return Fleet.countRuns("decode", "running") == 1;
}

// Requests of one caller that have reached this stage at this entry instance.
class StagedCalls {
public:
  StagedCalls(ProcessFixture &Fleet, size_t Entry, Stage At) {
    if (At == Stage::Transfer)
      for (const char *it : {"p1", "d1"})
        Fleet.control(it, "link?factor=0");
    std::string prompt(80, 'x');
    size_t count = At == Stage::Queued ? 2 : 1;
    for (size_t i = 0; i < count; ++i) {
      // The last call is the one that waits.
      REQUIRE(
          eventually([&] { return Fleet.countRuns("prefill", "running") == i; },
                     WaitTimeout));
      Calls.push_back(std::make_unique<RawCall>(
          Fleet.completion(Entry, prompt, 4000, true)));
    }
    bool reached =
        eventually([&] { return hasReached(Fleet, Entry, At); }, WaitTimeout);
    REQUIRE_MESSAGE(reached, "held: " << joined(Fleet.heldRequests())
                                      << ", open " << openAt(Fleet, Entry));
    if (At == Stage::Decode)
      REQUIRE(Calls.front()->waitForText("\"text\""));
    REQUIRE(!Fleet.heldRequests().empty());
  }
  // Closes the waiting call before the running one: a call that is still open
  // may start once the running one has freed its slot.
  void close() {
    while (!Calls.empty())
      Calls.pop_back();
  }

private:
  std::vector<std::unique_ptr<RawCall>> Calls;
};

void checkFreed(ProcessFixture &Fleet, Milliseconds Bound) {
  bool freed = eventually([&] { return Fleet.heldRequests().empty(); }, Bound);
  CHECK_MESSAGE(freed, "still held: " << joined(Fleet.heldRequests()));
  CHECK(Fleet.countRuns("", "running") == 0);
}

// Checks that the queued request didn't start later.
void checkStarts(ProcessFixture &Fleet, Stage At) {
  if (At == Stage::Queued)
    CHECK(Fleet.countRuns("prefill", "") == 1);
}

} // namespace

// Guards against a stage in which the caller's disconnect doesn't cancel the
// request, and against a queued request that starts after its caller has
// disconnected (P1).
TEST_CASE("Proof P1 frees engine memory within 1 s of a close at each stage") {
  for (const StageCase &it : Stages) {
    CAPTURE(it.Name);
    ProcessFixture fleet(optionsFor(it.At));
    StagedCalls calls(fleet, 0, it.At);
    calls.close();
    checkFreed(fleet, CancelBound);
    checkStarts(fleet, it.At);
  }
}

// Guards against a stage whose leases don't expire when the entry instance dies
// (P1).
TEST_CASE("Proof P1 frees engine memory within 5 s after the entry dies") {
  for (const StageCase &it : Stages) {
    CAPTURE(it.Name);
    ProcessFixture fleet(optionsFor(it.At));
    size_t entry = (ownerOf(fleet, 0) + 1) % 3;
    StagedCalls calls(fleet, entry, it.At);
    fleet.router(entry).Process->signal(SIGKILL);
    checkFreed(fleet, DeathBound);
    checkStarts(fleet, it.At);
  }
}

// Guards against a new owner that doesn't search for requests that neither the
// dead owner nor the dead entry instance can report (P1).
TEST_CASE("Proof P1 frees engine memory within 5 s if entry and owner die") {
  for (const StageCase &it : Stages) {
    CAPTURE(it.Name);
    ProcessFixture fleet(optionsFor(it.At));
    size_t owner = ownerOf(fleet, 0);
    size_t entry = (owner + 1) % 3;
    StagedCalls calls(fleet, entry, it.At);
    fleet.router(entry).Process->signal(SIGKILL);
    fleet.router(owner).Process->signal(SIGKILL);
    checkFreed(fleet, DeathBound);
    checkStarts(fleet, it.At);
  }
}
