// Tests when a part of prompts is suspected, refused and on probation.
#include "gateway/crash_monitor.h"
#include "gateway/decisions/crash_history.h"
#include "virtual_time.h"

#include <array>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

using PartVerdict = CrashHistory::PartVerdict;

constexpr PromptPartKey Bad = 1;
constexpr PromptPartKey First = 2; // of the prompts with the bad part
constexpr PromptPartKey Other = 3; // of a sound prompt
constexpr int64_t ConfirmationMs = 1000;
constexpr int64_t MinuteMs = 60000;

// Ends a server under a run with these parts that had just begun.
void crash(CrashHistory &History, int64_t Ms,
           std::initializer_list<PromptPartKey> Parts) {
  for (PromptPartKey it : Parts)
    History.addCrash({it, "s" + std::to_string(Ms), "g1", Milliseconds(0),
                      SuspectKind::PromptPart},
                     at(Ms));
}

void crashes(CrashHistory &History, int Count,
             std::initializer_list<PromptPartKey> Parts) {
  for (int i = 0; i < Count; ++i)
    crash(History, 1000 * i, Parts);
}

PartVerdict verdict(const CrashHistory &History, int64_t Ms,
                    std::initializer_list<PromptPartKey> Parts) {
  return History.stateOf(std::vector(Parts), at(Ms)).Verdict;
}

} // namespace

TEST_CASE(
    "A part is suspected from its third crash on, refused from the fifth") {
  CrashHistory history;
  crashes(history, 2, {Bad});
  CHECK(verdict(history, 1000, {Bad}) == PartVerdict::Unsuspected);
  crashes(history, 3, {Bad});
  CHECK(verdict(history, 2000, {Bad}) == PartVerdict::Suspected);
  crashes(history, 5, {Bad});
  int64_t confirmed = 4000 + ConfirmationMs;
  CHECK(verdict(history, confirmed - 1, {Bad}) == PartVerdict::Suspected);
  CHECK(verdict(history, confirmed, {Bad}) == PartVerdict::Refused);
  CHECK(verdict(history, confirmed, {Other}) == PartVerdict::Unsuspected);
}

// A run that began after a crash and went on shows that the part didn't cause
// it; one that began before proves nothing, as a part may become bad.
TEST_CASE("A part is cleared of the crashes before a run that survived began") {
  CrashHistory history;
  history.onPartSurvived(Bad, at(-10));
  crashes(history, 5, {Bad});
  CHECK(history.crashes(Bad, at(4000), SuspectKind::PromptPart) == 5);
  CHECK(history.onPartSurvived(Bad, at(3000)));
  CHECK(history.crashes(Bad, at(4000), SuspectKind::PromptPart) == 1);
  // A late report of a crash before it.
  crash(history, 2999, {Bad});
  CHECK(history.crashes(Bad, at(4000), SuspectKind::PromptPart) == 1);
}

TEST_CASE("Servers that end at the same moment don't get a part refused") {
  CrashHistory history;
  history.onPartSurvived(Bad, at(-10));
  for (int i = 0; i < 9; ++i)
    crash(history, 10 * i, {Bad});
  CHECK(verdict(history, 5000, {Bad}) != PartVerdict::Refused);
}

TEST_CASE("Parts of a crashing prompt are served in other prompts") {
  CrashHistory history;
  history.onPartSurvived(First, at(-10));
  crashes(history, 6, {First, Bad});
  CHECK(verdict(history, 7000, {First, Bad}) == PartVerdict::Refused);
  CHECK(verdict(history, 7000, {First, Other}) == PartVerdict::Unsuspected);
  // The bad part isn't excused by one that has run without a crash.
  CHECK(verdict(history, 7000, {Other, Bad}) == PartVerdict::Refused);
}

// Which of two parts that were always together crashes servers shows when one
// of them comes alone.
TEST_CASE("Two parts that were always together are refused together at first") {
  CrashHistory history;
  crashes(history, 5, {First, Bad});
  CHECK(verdict(history, 6000, {First, Bad}) == PartVerdict::Refused);
  CHECK(verdict(history, 6000, {First}) == PartVerdict::Unsuspected);
  CHECK(verdict(history, 6000, {Bad}) == PartVerdict::Unsuspected);
  crash(history, 6500, {Bad});
  crash(history, 7500, {Bad});
  CHECK(verdict(history, 8500, {Bad}) == PartVerdict::Refused);
  CHECK(verdict(history, 8500, {First}) == PartVerdict::Unsuspected);
}

TEST_CASE("A refused part may run again and is then refused for longer") {
  CrashHistory history;
  crashes(history, 5, {Bad});
  history.onPartSurvived(Other, at(4500));
  int64_t end = 4000 + 2 * MinuteMs;
  CHECK(verdict(history, end - 1, {Bad}) == PartVerdict::Refused);
  CHECK(verdict(history, end, {Bad}) == PartVerdict::Probation);
  crash(history, end, {Bad});
  CrashHistory::PartState state = history.stateOf(std::array{Bad}, at(end));
  CHECK(state.Verdict == PartVerdict::Refused);
  CHECK(state.RefusedFor == std::chrono::minutes(8));
  history.onPartSurvived(Bad, at(end + 1));
  CHECK(verdict(history, end + 2, {Bad}) == PartVerdict::Unsuspected);
}

// Unless another part has shown that servers work, all of them may have ended.
TEST_CASE("A part that has survived before is soon on probation") {
  CrashHistory history;
  history.onPartSurvived(Bad, at(-10));
  crashes(history, 5, {Bad});
  CHECK(verdict(history, 5000, {Bad}) == PartVerdict::Refused);
  CHECK(verdict(history, 9000, {Bad}) == PartVerdict::Probation);
}

// A part of a prompt may be on probation while another is still refused.
TEST_CASE("A prompt is refused if one of its parts is, whatever the others") {
  CrashHistory history;
  history.onPartSurvived(First, at(-10));
  crashes(history, 5, {First, Bad});
  CHECK(verdict(history, 15000, {First, Bad}) == PartVerdict::Refused);
}

TEST_CASE("Histories that exchange crashes of parts become equal") {
  CrashHistory left;
  CrashHistory right;
  crashes(left, 3, {Bad, First});
  crash(right, 3000, {Bad, First});
  right.onPartSurvived(First, at(3100));
  for (int round = 0; round < 2; ++round)
    for (auto [from, to] :
         {std::pair(&left, &right), std::pair(&right, &left)}) {
      CrashHistory::Update update = from->changesAfter(0, at(4000));
      for (const ClearedSuspect &it : update.Cleared)
        to->addCleared(it, at(4000));
      for (const CrashRecord &it : update.Crashes)
        to->addCrash(it, at(4000));
    }
  CHECK(left.digest() == right.digest());
  CHECK(left.crashes(Bad, at(4000), SuspectKind::PromptPart) == 4);
  CHECK(left.crashes(First, at(4000), SuspectKind::PromptPart) == 0);
}

// The probe may end a server, so one request of the fleet has to do.
TEST_CASE("On probation one request at one instance may run with a part") {
  CrashMonitor monitor("g1");
  CrashHistory::Update update;
  for (int i = 0; i < 5; ++i)
    update.Crashes.push_back({Bad, "s" + std::to_string(i), "g2",
                              Milliseconds(200000 - 1000 * i),
                              SuspectKind::PromptPart});
  monitor.merge(update, "g2");
  std::array parts{Bad};
  bool isOwner = false;
  monitor.setProbationOwner([&](PromptPartKey) { return isOwner; });
  CHECK(monitor.partsRefusedFor(parts, "a1").has_value());
  isOwner = true;
  CHECK_FALSE(monitor.partsRefusedFor(parts, "a1").has_value());
  CHECK(monitor.partsRefusedFor(parts, "a2").has_value());
  CHECK_FALSE(monitor.partsRefusedFor(parts, "a1").has_value());
}
