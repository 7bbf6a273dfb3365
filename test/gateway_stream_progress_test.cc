// Each row of the table of ends in docs/design/streams.md.
#include "gateway/decisions/streams/stream_progress.h"
#include "stream_samples.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

constexpr size_t MaxEventBytes = 1000;
constexpr VersionKey V1 = 101;
constexpr VersionKey V2 = 102;

std::string events(int From, int To) {
  std::string all;
  for (int i = From; i <= To; ++i)
    all += event(i);
  return all;
}

// Stated by a first line "w: N".
std::optional<WeightVersion> weightsOf(std::string_view Event) {
  if (!Event.starts_with("w: "))
    return std::nullopt;
  return Event[3] - '0';
}

struct Stream {
  explicit Stream(std::string LastEventId = "")
      : Progress({internal::eventId, weightsOf}, std::move(LastEventId)) {}
  // The first run, which has passed events 1 to 4 on.
  RunNumber begun(VersionKey Version = V1) {
    RunNumber run = Progress.begin(Version);
    add(run, events(1, 4));
    return run;
  }
  RunFault add(RunNumber Run, const std::string &Bytes) {
    PassedEvents passed = Progress.add(Run, Bytes, MaxEventBytes);
    Caller += passed.Bytes;
    return passed.Fault;
  }

  StreamProgress Progress;
  std::string Caller; // what the caller has
};

} // namespace

TEST_CASE("A run that ends after a whole event completes its stream") {
  Stream stream;
  RunNumber run = stream.begun();
  CHECK(stream.Progress.end(run, RunOutcome::Complete) == StreamEnd::Complete);
  CHECK(stream.Caller == events(1, 4));
}

// A server asked to go on sends what comes after the last id, so events without
// one came twice, and a missing event went unnoticed behind them.
TEST_CASE("Runs aren't joined at events without an id") {
  SUBCASE("the last one has none") {
    for (const std::string &first : {"data: x\n\n", "id: 1\n\ndata: x\n\n"}) {
      Stream stream;
      RunNumber run = stream.Progress.begin(V1);
      CHECK(stream.add(run, first) == RunFault::None);
      CHECK_FALSE(stream.Progress.mayContinue());
      CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
            StreamEnd::Incomplete);
    }
  }
  SUBCASE("the first one of the run that goes on has none") {
    for (const std::string &next :
         {std::string("data: x\n\n"), "event: begin\n\n" + event(5)}) {
      Stream stream;
      stream.begun();
      RunNumber run = stream.Progress.begin(V1);
      CHECK(stream.add(run, next) == RunFault::IdsMissing);
      CHECK(stream.Caller == events(1, 4));
      CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
            StreamEnd::MayContinue);
    }
  }
  SUBCASE("a time to reconnect isn't one") {
    Stream stream;
    stream.begun();
    RunNumber run = stream.Progress.begin(V1);
    CHECK(stream.add(run, "retry: 1000\n\n" + event(6)) ==
          RunFault::IdsMissing);
    CHECK(stream.add(stream.Progress.begin(V1), "retry: 1000\n\n" + event(5)) ==
          RunFault::None);
  }
  SUBCASE("within a run they are passed on") {
    Stream stream;
    RunNumber run = stream.begun();
    CHECK(stream.add(run, "data: x\n\n" + event(5)) == RunFault::None);
    CHECK(stream.Progress.mayContinue());
  }
}

// A server whose program fails at once ends its body like a whole stream.
TEST_CASE("A run that goes on with nothing doesn't complete its stream alone") {
  for (const std::string &bytes : {"", ": starting\n\n"}) {
    Stream stream;
    stream.begun();
    RunNumber run = stream.Progress.begin(V1);
    stream.add(run, bytes);
    CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
          StreamEnd::MayContinue);
    run = stream.Progress.begin(V2);
    stream.add(run, bytes);
    CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
          StreamEnd::MayContinue);
    run = stream.Progress.begin(V1);
    stream.add(run, bytes);
    CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
          StreamEnd::Complete);
  }
}

// A web server ends the body when the program behind it fails.
TEST_CASE("A run that ends inside an event doesn't complete its stream") {
  std::string next = event(5);
  for (size_t n = 1; n < next.size(); ++n) {
    CAPTURE(n);
    Stream stream;
    RunNumber run = stream.begun();
    stream.add(run, next.substr(0, n));
    CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
          StreamEnd::MayContinue);
    CHECK(stream.Caller == events(1, 4));
    CHECK(stream.Progress.version() == V1);
    CHECK(stream.Progress.lastEventId() == "4");
  }
}

TEST_CASE("A run that breaks off after a whole event may be continued") {
  Stream stream;
  RunNumber run = stream.begun();
  CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
        StreamEnd::MayContinue);
  RunNumber next = stream.Progress.begin(V1);
  CHECK(stream.add(next, events(5, 6)) == RunFault::None);
  CHECK(stream.Progress.end(next, RunOutcome::Complete) == StreamEnd::Complete);
  CHECK(stream.Caller == events(1, 6));
}

// Late events of the run before came between those of its successor.
TEST_CASE("A run that was left passes nothing on") {
  Stream stream;
  RunNumber left = stream.begun();
  RunNumber next = stream.Progress.begin(V1);
  CHECK(stream.add(left, event(5)) == RunFault::Left);
  CHECK(stream.Progress.end(left, RunOutcome::Complete) ==
        StreamEnd::MayContinue);
  CHECK(stream.add(next, event(5)) == RunFault::None);
  CHECK(stream.add(left, event(6)) == RunFault::Left);
  CHECK_FALSE(stream.Progress.onServerReplaced(left, V2));
  CHECK_FALSE(stream.Progress.versionUncertain());
  CHECK(stream.Caller == events(1, 5));
}

// Callers got events 1 to 4 and 1 to 10 in one complete answer.
TEST_CASE("A run that begins again is given up") {
  Stream stream;
  stream.begun();
  RunNumber run = stream.Progress.begin(V1);
  CHECK(stream.add(run, events(1, 6)) == RunFault::IdNotBeyond);
  CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
        StreamEnd::MayContinue);
  CHECK(stream.Caller == events(1, 4));
}

TEST_CASE("A run that leaves events out is given up if ids ran by one") {
  Stream stream;
  stream.begun();
  RunNumber run = stream.Progress.begin(V1);
  CHECK(stream.add(run, events(6, 7)) == RunFault::IdsMissing);
  CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
        StreamEnd::MayContinue);
  CHECK(stream.Caller == events(1, 4));
}

TEST_CASE("A jump of ids is passed on where ids don't run by one") {
  SUBCASE("in the run before") {
    Stream stream;
    RunNumber run = stream.Progress.begin(V1);
    stream.add(run, event(10) + event(21));
    run = stream.Progress.begin(V1);
    CHECK(stream.add(run, event(32)) == RunFault::None);
  }
  SUBCASE("or it isn't known") { // the caller has the events before
    Stream stream("4");
    RunNumber run = stream.Progress.begin(V1);
    CHECK(stream.add(run, event(6)) == RunFault::None);
  }
  SUBCASE("or within a run") { // no other run is known to have more
    Stream stream;
    RunNumber run = stream.begun();
    CHECK(stream.add(run, event(9)) == RunFault::None);
  }
}

TEST_CASE("A response of another type is no run of the stream") {
  const std::string stream = "text/event-stream; charset=utf-8";
  const std::string problem = "application/json";
  StreamProgress progress({internal::eventId}, "");
  CHECK_FALSE(progress.acceptType(&problem));
  CHECK(progress.acceptType(&stream));
  CHECK_FALSE(progress.acceptType(&problem));
  CHECK_FALSE(progress.acceptType(nullptr));
  CHECK(progress.acceptType(&stream));
}

// Which process sends the events can't be told.
TEST_CASE("Nothing follows a run whose server was replaced") {
  for (int before : {0, 2}) {
    CAPTURE(before);
    Stream stream;
    RunNumber run = stream.Progress.begin(V1);
    stream.add(run, events(1, before));
    CHECK(stream.Progress.onServerReplaced(run, V2));
    CHECK(stream.add(run, events(before + 1, 4)) == RunFault::None);
    CHECK(stream.Progress.versionUncertain());
    CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
          StreamEnd::Incomplete);
  }
}

TEST_CASE("A replaced server of the same version changes nothing") {
  Stream stream;
  RunNumber run = stream.begun();
  CHECK(stream.Progress.onServerReplaced(run, V1));
  CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
        StreamEnd::MayContinue);
}

// A process of another version served between two of one version and left no
// entry: streams went on at the other version.
TEST_CASE("Nothing follows events that come after a server's replacement") {
  SUBCASE("by a process of the same version") {
    Stream stream;
    RunNumber run = stream.begun();
    CHECK(stream.Progress.onServerReplaced(run, V1));
    CHECK_FALSE(stream.Progress.versionUncertain());
    CHECK(stream.add(run, event(5)) == RunFault::None);
    CHECK(stream.Progress.versionUncertain());
    CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
          StreamEnd::Incomplete);
  }
  SUBCASE("and a run that goes on sends none of its own after it") {
    Stream stream;
    stream.begun();
    RunNumber run = stream.Progress.begin(V1);
    CHECK(stream.Progress.onServerReplaced(run, V1));
    CHECK(stream.add(run, event(5)) == RunFault::OtherVersion);
    CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
          StreamEnd::MayContinue);
  }
  SUBCASE("unless the run is confirmed") {
    Stream stream;
    RunNumber run = stream.Progress.begin(V1, /*Confirmed=*/true);
    CHECK(stream.Progress.onServerReplaced(run, V1));
    CHECK(stream.add(run, event(1)) == RunFault::None);
    CHECK_FALSE(stream.Progress.versionUncertain());
  }
  SUBCASE("also if the stream is whole") {
    Stream stream;
    RunNumber run = stream.begun();
    CHECK(stream.Progress.onServerReplaced(run, V1));
    CHECK(stream.add(run, event(5)) == RunFault::None);
    CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
          StreamEnd::Complete);
  }
}

TEST_CASE("A replaced server's run isn't joined to events of another run") {
  SUBCASE("before its first event, and another may follow") {
    Stream stream;
    stream.begun();
    RunNumber run = stream.Progress.begin(V1);
    CHECK_FALSE(stream.Progress.onServerReplaced(run, V2));
    CHECK(stream.add(run, event(5)) == RunFault::OtherVersion);
    CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
          StreamEnd::MayContinue);
  }
  SUBCASE("before its first event, when the caller takes the stream up") {
    Stream stream("4");
    stream.Progress.requireVersion(V1);
    RunNumber run = stream.Progress.begin(V1);
    CHECK_FALSE(stream.Progress.onServerReplaced(run, V2));
  }
  SUBCASE("after an event, and nothing may follow") {
    Stream stream;
    stream.begun();
    RunNumber run = stream.Progress.begin(V1);
    stream.add(run, event(5));
    CHECK_FALSE(stream.Progress.onServerReplaced(run, V2));
    CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
          StreamEnd::Incomplete);
  }
}

TEST_CASE("Nothing follows events of a version that isn't known") {
  Stream stream;
  RunNumber run = stream.Progress.begin(std::nullopt);
  stream.add(run, event(1));
  CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
        StreamEnd::Incomplete);
}

TEST_CASE("Nothing follows what another instance says to be uncertain") {
  Stream stream;
  RunNumber run = stream.begun();
  stream.Progress.requireNothingFollows();
  CHECK(stream.add(run, event(5)) == RunFault::None);
  CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
        StreamEnd::Incomplete);
}

TEST_CASE("A run with an event beyond the size limit is given up") {
  Stream stream;
  RunNumber run = stream.begun();
  CHECK(stream.add(run, "data: " + std::string(MaxEventBytes, 'x')) ==
        RunFault::EventTooLong);
  CHECK(stream.add(run, "\n\n") == RunFault::EventTooLong);
  CHECK(stream.Caller == events(1, 4));
  CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
        StreamEnd::MayContinue);
}

// A peer that passed such a stream on was asked again, and its events joined.
TEST_CASE("A run that begins once nothing may follow passes nothing on") {
  Stream stream;
  RunNumber run = stream.begun();
  stream.Progress.onServerReplaced(run, V2);
  CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
        StreamEnd::Incomplete);
  RunNumber next = stream.Progress.begin(V1);
  CHECK(stream.add(next, event(5)) == RunFault::OtherVersion);
  CHECK(stream.Progress.end(next, RunOutcome::Complete) ==
        StreamEnd::Incomplete);
  CHECK(stream.Caller == events(1, 4));
}

TEST_CASE("A run of another version isn't joined to events of one") {
  for (std::optional<VersionKey> version :
       {std::optional(V2), std::optional<VersionKey>()}) {
    Stream stream;
    stream.begun();
    RunNumber run = stream.Progress.begin(version);
    CHECK(stream.add(run, event(5)) == RunFault::OtherVersion);
    CHECK(stream.Progress.end(run, RunOutcome::Complete) ==
          StreamEnd::MayContinue);
    CHECK(stream.Caller == events(1, 4));
  }
}

// Its connection leads to the process that has said which one it is.
TEST_CASE("A confirmed run stays certain when its server is replaced") {
  Stream stream;
  stream.begun();
  RunNumber run = stream.Progress.begin(V1, /*Confirmed=*/true);
  CHECK(stream.Progress.onServerReplaced(run, V2));
  CHECK(stream.add(run, event(5)) == RunFault::None);
  CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
        StreamEnd::MayContinue);
}

// A comment before the first event of a run hid that events were missing.
TEST_CASE("Comments are passed on and have no place in the order") {
  Stream stream;
  stream.begun();
  RunNumber run = stream.Progress.begin(V1);
  CHECK(stream.add(run, ": ping\n\n") == RunFault::None);
  CHECK(stream.add(run, event(6)) == RunFault::IdsMissing);
  CHECK(stream.Caller == events(1, 4) + ": ping\n\n");
  SUBCASE("nor a version") {
    Stream other;
    run = other.Progress.begin(V1);
    other.add(run, ": ping\n\n");
    other.Progress.onServerReplaced(run, V2);
    CHECK(other.Progress.end(run, RunOutcome::BrokenOff) ==
          StreamEnd::MayContinue);
  }
}

// A stream went on at a server to which other weights had been loaded.
TEST_CASE("A run that goes on by other weights is given up") {
  Stream stream;
  RunNumber run = stream.Progress.begin(V1, false, 1);
  stream.add(run, events(1, 4));
  stream.Progress.end(run, RunOutcome::BrokenOff);
  CHECK(stream.Progress.weights() == WeightVersion(1));
  SUBCASE("as its head states") {
    run = stream.Progress.begin(V1, false, 2);
    CHECK(stream.add(run, event(5)) == RunFault::OtherWeights);
  }
  SUBCASE("as its first event states") {
    run = stream.Progress.begin(V1, false, 1);
    CHECK(stream.add(run, "w: 2\n" + event(5)) == RunFault::OtherWeights);
  }
  CHECK(stream.Caller == events(1, 4));
  CHECK(stream.Progress.end(run, RunOutcome::BrokenOff) ==
        StreamEnd::MayContinue);
  CHECK(stream.Progress.weights() == WeightVersion(1));
}

TEST_CASE("A run goes on by the weights that wrote the last event") {
  Stream stream;
  RunNumber run = stream.Progress.begin(V1, false, 1);
  std::string changed = "w: 2\n" + event(5);
  stream.add(run, events(1, 4) + changed + event(6));
  stream.Progress.end(run, RunOutcome::BrokenOff);
  CHECK(stream.Caller == events(1, 4) + changed + event(6));
  CHECK(stream.Progress.weights() == WeightVersion(2));
  run = stream.Progress.begin(V1, false, 1);
  CHECK(stream.add(run, event(7)) == RunFault::OtherWeights);
  run = stream.Progress.begin(V1, false, 2);
  CHECK(stream.add(run, event(7)) == RunFault::None);
}

TEST_CASE("Weights that aren't stated keep no run from going on") {
  for (bool firstStates : {false, true}) {
    CAPTURE(firstStates);
    Stream stream;
    auto stated = [](bool States) {
      return States ? std::optional<WeightVersion>(1) : std::nullopt;
    };
    RunNumber run = stream.Progress.begin(V1, false, stated(firstStates));
    stream.add(run, events(1, 4));
    run = stream.Progress.begin(V1, false, stated(!firstStates));
    CHECK(stream.add(run, event(5)) == RunFault::None);
    CHECK(stream.Progress.weights() == stated(!firstStates));
  }
}
