// The soak's judge of streams. Guards against a judge that passes what it is
// there to find.
#include "received_stream.h"

#include <doctest/doctest.h>

using namespace crocusspur::soak;

namespace {

StreamEvent event(int Number, uint64_t Run = 1) {
  return {Number, "c1-2", "i-3", "v1", Run};
}

std::string events(int From, int To, uint64_t Run = 1) {
  std::string text;
  for (int i = From; i <= To; ++i)
    text += textOf(event(i, Run));
  return text;
}

// What is wrong with the second answer of a caller that has events 1 to 5.
std::string faultAfterFive(const std::string &Body, bool WholeBody = false) {
  ReceivedStream stream("c1-2");
  CHECK(stream.add(events(1, 5), false) == "");
  return stream.add(Body, WholeBody);
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("The soak passes a stream that is joined from answers in order") {
  ReceivedStream stream("c1-2");
  CHECK(stream.add(events(1, 3) + events(4, 5, 2), false) == "");
  CHECK(stream.add("", false) == "");
  CHECK_FALSE(stream.isOver());
  CHECK(stream.add(events(6, StreamEvents, 3), true) == "");
  CHECK(stream.isOver());
  CHECK(stream.events() == StreamEvents);
  CHECK(stream.versionChange() == "");
}

TEST_CASE("The soak finds each fault of a stream") {
  std::string first = events(6, 6, 2);
  CHECK(faultAfterFive(events(7, 8, 2)) ==
        "a missing event in answer 2 of c1-2: 5 of c1-2 (server i-3 v1, run "
        "1), then 7 of c1-2 (server i-3 v1, run 2), then 8 of c1-2 (server "
        "i-3 v1, run 2)");
  CHECK(contains(faultAfterFive(first + events(8, 8, 2)), "missing"));
  CHECK(contains(faultAfterFive(events(5, 6, 2)), "twice or out of order"));
  CHECK(contains(faultAfterFive(first + first), "twice or out of order"));
  CHECK(contains(faultAfterFive(events(1, 6, 2)), "twice or out of order"));
  CHECK(contains(faultAfterFive(first + events(7, 7, 1)), "run that was left"));
  CHECK(contains(faultAfterFive(first + "{\"error\":\"failed\"}"), "foreign"));
  CHECK(contains(faultAfterFive(first.substr(0, first.size() - 1)), "foreign"));
  CHECK(contains(faultAfterFive(events(6, StreamEvents + 1, 2)), "beyond"));
  StreamEvent other = event(6);
  other.RequestId = "c1-3";
  CHECK(contains(faultAfterFive(textOf(other)), "another stream"));
  CHECK(contains(faultAfterFive(events(6, 11, 2), true), "looks complete"));
  CHECK(contains(faultAfterFive("", true), "looks complete"));
}

TEST_CASE("The soak finds events of two software versions") {
  StreamEvent other = event(6, 2);
  other.Version = "v1.1";
  ReceivedStream stream("c1-2");
  CHECK(stream.add(events(1, 5), false) == "");
  CHECK(stream.add(textOf(other) + events(7, 7, 3), false) == "");
  CHECK(stream.versionChange() ==
        "answer 2 of c1-2: 5 of c1-2 (server i-3 v1, run 1), then 6 of c1-2 "
        "(server i-3 v1.1, run 2)");
}
