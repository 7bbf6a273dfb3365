#include "gateway/decisions/crash_history.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

constexpr uint64_t Cause = 7;
constexpr int64_t MinuteMs = 60000;

// Adds a crash of the server under the content, as this instance sees it.
bool addCrash(CrashHistory &History, const std::string &Server, int64_t Ms,
              uint64_t Content = Cause) {
  return History.addCrash({Content, Server, "g1", Milliseconds(0)}, at(Ms));
}

CrashHistory refusing() {
  CrashHistory history;
  for (int i = 0; i < 3; ++i)
    addCrash(history, "s" + std::to_string(i), 100 * i);
  return history;
}

// Makes both know what either knows, as rounds of exchanges do.
void exchange(CrashHistory &Left, CrashHistory &Right, int64_t Ms) {
  for (auto [from, to] : {std::pair(&Left, &Right), std::pair(&Right, &Left)}) {
    CrashHistory::Update update = from->changesAfter(0, at(Ms));
    for (const ClearedSuspect &it : update.Cleared)
      to->addCleared(it, at(Ms));
    for (const CrashRecord &it : update.Crashes)
      to->addCrash(it, at(Ms));
  }
}

} // namespace

TEST_CASE("CrashHistory refuses a content from its third crash on") {
  CrashHistory history;
  addCrash(history, "s1", 0);
  addCrash(history, "s2", 100);
  CHECK_FALSE(history.refusedFor(Cause, at(200)).has_value());
  addCrash(history, "s3", 200);
  CHECK(history.refusedFor(Cause, at(200)) == std::chrono::minutes(2));
  CHECK_FALSE(history.refusedFor(Cause + 1, at(200)).has_value());
}

// The instances see one crash at different times, and reports come twice.
TEST_CASE("CrashHistory counts a crash that several instances saw once") {
  CrashHistory history;
  CHECK(addCrash(history, "s1", 1000));
  CHECK_FALSE(
      history.addCrash({Cause, "s1", "g2", Milliseconds(900)}, at(1500)));
  CHECK_FALSE(addCrash(history, "s1", 2500));
  CHECK(history.crashes(Cause, at(2500)) == 1);
}

TEST_CASE("CrashHistory counts each crash of a server that restarts") {
  CrashHistory history;
  for (int i = 0; i < 3; ++i)
    CHECK(addCrash(history, "s1", 5000 * i));
  CHECK(history.refusedFor(Cause, at(10000)).has_value());
}

// A process that was paused reports with an age from before the pause.
TEST_CASE(
    "CrashHistory counts the end of one process once, whenever reported") {
  CrashHistory history;
  CrashRecord crash{Cause, "s1", "g1", Milliseconds(0), SuspectKind::Content,
                    100};
  CHECK(history.addCrash(crash, at(0)));
  CHECK_FALSE(history.addCrash(crash, at(20000)));
  crash.ServerStartedAt = 200; // it started again under its id
  CHECK(history.addCrash(crash, at(20000)));
}

TEST_CASE("CrashHistory lets a content run again and then refuses it longer") {
  CrashHistory history = refusing();
  int64_t ended = 200 + 2 * MinuteMs;
  CHECK(history.refusedFor(Cause, at(ended - 1)).has_value());
  CHECK_FALSE(history.refusedFor(Cause, at(ended)).has_value());
  addCrash(history, "s4", ended);
  CHECK(history.refusedFor(Cause, at(ended)) == std::chrono::minutes(8));
}

TEST_CASE("CrashHistory forgets crashes after an hour") {
  CrashHistory history = refusing();
  history.expire(at(60 * MinuteMs + 200));
  CHECK(history.size() == 0);
  CHECK(history.digest() == CrashHistory().digest());
}

// Servers end with about ten requests running, which are sent again.
TEST_CASE("CrashHistory drops the crashes of a content that completed") {
  CrashHistory history = refusing();
  CHECK(history.onCompleted(Cause, at(400)));
  CHECK_FALSE(history.refusedFor(Cause, at(400)).has_value());
  CHECK(history.size() == 0);
  // A late report of the same crashes counts no more.
  CHECK_FALSE(
      history.addCrash({Cause, "s1", "g2", Milliseconds(400)}, at(500)));
}

// One body that many callers send runs on all servers of a failure domain when
// they are lost together.
TEST_CASE(
    "CrashHistory ignores crashes of a content that completes elsewhere") {
  CrashHistory history;
  history.onCompleted(Cause, at(0));
  for (int i = 0; i < 9; ++i)
    addCrash(history, "s" + std::to_string(i), 1000 + i);
  CHECK_FALSE(history.refusedFor(Cause, at(2000)).has_value());
  // Another instance, where it hasn't run, learns that it does.
  CrashHistory other;
  for (int i = 0; i < 3; ++i)
    addCrash(other, "s" + std::to_string(i), 1000 + i);
  CHECK(other.refusedFor(Cause, at(2000)).has_value());
  exchange(history, other, 2000);
  CHECK_FALSE(other.refusedFor(Cause, at(2000)).has_value());
}

// A new version of a server may crash under a content that ran before.
TEST_CASE("CrashHistory counts crashes long after a content completed") {
  CrashHistory history;
  history.onCompleted(Cause, at(0));
  for (int i = 0; i < 3; ++i)
    addCrash(history, "s" + std::to_string(i), 2 * MinuteMs + i);
  CHECK(history.refusedFor(Cause, at(2 * MinuteMs + 10)).has_value());
}

TEST_CASE("Histories that exchange their changes become equal") {
  CrashHistory left;
  CrashHistory right;
  addCrash(left, "s1", 0);
  addCrash(right, "s2", 100);
  addCrash(right, "s3", 200);
  addCrash(left, "s1", 300, Cause + 1);
  right.onCompleted(Cause + 1, at(400));
  CHECK(left.digest() != right.digest());
  exchange(left, right, 500);
  exchange(left, right, 510);
  CHECK(left.digest() == right.digest());
  CHECK(left.refusedFor(Cause, at(510)).has_value());
  CHECK(right.refusedFor(Cause, at(510)).has_value());
  CHECK(left.crashes(Cause + 1, at(510)) == 0);
}

TEST_CASE("CrashHistory returns only what changed after a known change") {
  CrashHistory history;
  addCrash(history, "s1", 0);
  uint64_t known = history.lastChange();
  CHECK(history.changesAfter(known, at(1)).empty());
  addCrash(history, "s2", 100);
  CrashHistory::Update update = history.changesAfter(known, at(150));
  REQUIRE(update.Crashes.size() == 1);
  CHECK(update.Crashes[0].ServerId == "s2");
  CHECK(update.Crashes[0].Age == Milliseconds(50));
}

// Digests of peers always differ a little while servers keep crashing, and the
// exchanges of each second mustn't carry whole tables then.
TEST_CASE("A peer that differs gets the latest changes, a new one gets all") {
  CrashHistory history;
  for (int i = 0; i < 1000; ++i)
    addCrash(history, "s1", i, 1000 + static_cast<uint64_t>(i));
  CHECK(history.updateFor(history.digest(), at(1000)).empty());
  CHECK(history.updateFor(0, at(1000)).Crashes.size() == 1000);
  CHECK(history.updateFor(1, at(1000)).Crashes.size() == 128);
}

// A caller that sends ever new contents must neither fill the memory nor let
// refused ones run again.
TEST_CASE("CrashHistory stays bounded and keeps contents with more crashes") {
  CrashHistory history = refusing();
  for (int i = 0; i < 10000; ++i)
    addCrash(history, "s1", 1000 + i, 1000 + static_cast<uint64_t>(i));
  CHECK(history.size() <= 2048);
  CHECK(history.refusedFor(Cause, at(11000)).has_value());
}
