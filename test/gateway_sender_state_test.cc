#include "gateway/decisions/streams/sender_state.h"

#include <doctest/doctest.h>

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
  CHECK(judgeSender({}) == SenderState::Ended);
  CHECK(judgeSender({.TimedOut = true}) == SenderState::Silent);
  for (size_t i = 0; i < SenderStateCount; ++i)
    CHECK(isWholeAfter(static_cast<SenderState>(i)) ==
          (static_cast<SenderState>(i) == SenderState::Lives));
}

TEST_CASE("Another process that responds doesn't speak for the sender") {
  CHECK(judgeSender({.Status = 421}) == SenderState::Replaced);
  CHECK(judgeSender({.Status = 200, .ReportedStart = 8, .KnownStart = 7}) ==
        SenderState::Replaced);
  CHECK(judgeSender({.EntryChanged = true, .Status = 200}) ==
        SenderState::Replaced);
  CHECK(judgeSender({.EntryChanged = true}) == SenderState::Replaced);
}
