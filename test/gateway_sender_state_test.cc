#include "gateway/decisions/streams/sender_state.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

TEST_CASE("Any response of the named server shows that it lives") {
  for (uint32_t status : {200U, 400U, 404U, 503U}) {
    CAPTURE(status);
    CHECK(judgeSender({.Status = status}) == SenderState::Lives);
  }
  CHECK(judgeSender({.Status = 200, .ReportedStart = 7, .KnownStart = 7}) ==
        SenderState::Lives);
  // Plain servers don't report a start, and some entries state none.
  CHECK(judgeSender({.Status = 200, .KnownStart = 7}) == SenderState::Lives);
  CHECK(judgeSender({.Status = 200, .ReportedStart = 7}) == SenderState::Lives);
}

// An answer that was cut must not look complete.
TEST_CASE("Without a response the sender isn't taken to live") {
  CHECK(judgeSender({.Refused = true}) == SenderState::Ended);
  // A busy server closes connections too.
  CHECK(judgeSender({.Unanswered = 1}) == SenderState::Silent);
  CHECK(judgeSender({}) == SenderState::Silent);
  CHECK(judgeSender({.TimedOut = true}) == SenderState::Silent);
  for (size_t i = 0; i < SenderStateCount; ++i)
    CHECK(isWholeAfter(static_cast<SenderState>(i)) ==
          (static_cast<SenderState>(i) == SenderState::Lives));
  for (bool timedOut : {false, true})
    for (int64_t start : {0, 7})
      for (uint32_t left : {0U, 1U})
        for (uint32_t unanswered : {0U, 1U, 9U})
          CHECK(decideOnSender({.TimedOut = timedOut,
                                .KnownStart = start,
                                .LeftAtEnd = left,
                                .Unanswered = unanswered})
                    .Step == (timedOut || (start == 0 && left == 0)
                                  ? SenderStep::Cut
                                  : SenderStep::Ask));
}

TEST_CASE("Another process that responds doesn't speak for the sender") {
  CHECK(judgeSender({.Status = 421}) == SenderState::Replaced);
  CHECK(judgeSender({.Status = 200, .ReportedStart = 8, .KnownStart = 7}) ==
        SenderState::Replaced);
  CHECK(judgeSender({.EntryChanged = true, .Status = 200}) ==
        SenderState::Replaced);
  CHECK(judgeSender({.EntryChanged = true}) == SenderState::Replaced);
}

// A server that is killed is back at its address before it is asked again.
TEST_CASE("A response on a later connection without a start is no proof") {
  SenderEvidence later{.Status = 200, .OpenedAtEnd = false, .LeftAtEnd = 0};
  CHECK(decideOnSender(later).State == SenderState::Unidentified);
  CHECK(decideOnSender(later).Step == SenderStep::Cut);
  later.KnownStart = 7;
  CHECK(decideOnSender(later).Step == SenderStep::Cut);
  // A refusal states no start; a report may follow.
  later.Status = 503;
  CHECK(decideOnSender(later).Step == SenderStep::Ask);
  later.TimedOut = true;
  CHECK(decideOnSender(later).Step == SenderStep::Cut);
  later = {
      .Status = 200, .ReportedStart = 7, .KnownStart = 7, .OpenedAtEnd = false};
  CHECK(decideOnSender(later).Step == SenderStep::Whole);
  later.ReportedStart = 8;
  CHECK(decideOnSender(later).Step == SenderStep::Cut);
}

// Sound servers whose report was slow, or whose connection closed once, lost
// their answers.
TEST_CASE("A sender without a response is asked until it is known to end") {
  SenderEvidence evidence{.KnownStart = 7, .LeftAtEnd = 2};
  CHECK(decideOnSender(evidence).Step == SenderStep::Ask);
  CHECK(decideOnSender(evidence).Pause == Milliseconds(0));
  evidence.LeftAtEnd = 0;
  Milliseconds before{0};
  for (evidence.Unanswered = 1; evidence.Unanswered < 100;
       ++evidence.Unanswered) {
    SenderDecision decision = decideOnSender(evidence);
    CHECK(decision.Step == SenderStep::Ask);
    CHECK(decision.Pause >= std::max(before, Milliseconds(50)));
    CHECK(decision.Pause <= Milliseconds(1000));
    before = decision.Pause;
  }
  SenderEvidence gone = evidence;
  gone.EntryGoneFor = Milliseconds(1500); // written again by a heartbeat
  CHECK(decideOnSender(gone).Step == SenderStep::Ask);
  gone.EntryGoneFor = Milliseconds(2500);
  CHECK(decideOnSender(gone).Step == SenderStep::Cut);
  CHECK(decideOnSender(gone).State == SenderState::Ended);
  SenderEvidence changed = evidence;
  changed.EntryChanged = true;
  CHECK(decideOnSender(changed).Step == SenderStep::Cut);
  SenderEvidence refused = evidence;
  refused.Refused = true;
  CHECK(decideOnSender(refused).Step == SenderStep::Cut);
  evidence.TimedOut = true;
  CHECK(decideOnSender(evidence).Step == SenderStep::Cut);
}

TEST_CASE("The wait for proof leaves time for the end and for another run") {
  for (int left : {0, 1, 50, 1000, 20000}) {
    Milliseconds time(left);
    CHECK(proofTime(time, false) <= time);
    CHECK(proofTime(time, true) <= proofTime(time, false));
    CHECK(proofTime(time, true) == time / 2);
  }
  CHECK(proofTime(Milliseconds(20000), false) == Milliseconds(19900));
}
