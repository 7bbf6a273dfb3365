#include "event_splitter.h"

#include <doctest/doctest.h>
#include <vector>

using namespace crocusspur::internal;

namespace {

struct Split {
  std::vector<std::string> Events;
  std::string Rest;
  bool InsideEvent = false;
};

Split split(const std::vector<std::string> &Parts) {
  EventSplitter events;
  Split result;
  std::string event;
  for (const std::string &part : Parts) {
    events.add(part);
    while (events.next(event))
      result.Events.push_back(event);
  }
  result.Rest = events.rest();
  result.InsideEvent = events.insideEvent();
  return result;
}

} // namespace

TEST_CASE("EventSplitter returns whole events wherever the bytes are split") {
  const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    CAPTURE(cut);
    Split found = split({text.substr(0, cut), text.substr(cut)});
    REQUIRE(found.Events.size() == 2);
    CHECK(found.Events[0] == "id: 1\ndata: a\n\n");
    // An event that ends with the CR of CRLF isn't held back for the LF.
    bool betweenCrLf = text.substr(0, cut).ends_with("\r\n\r");
    CHECK(found.Events[1] == (betweenCrLf ? "id: 2\r\ndata: b\r\n\r"
                                          : "id: 2\r\ndata: b\r\n\r\n"));
    CHECK(found.Rest == (betweenCrLf ? "\nid: 3\n" : "id: 3\n"));
    CHECK(found.InsideEvent);
  }
}

TEST_CASE("EventSplitter accepts every line end that the format allows") {
  for (const std::string &end :
       {"\n\n", "\r\r", "\r\n\r\n", "\n\r\n", "\r\n\n", "\n\r", "\r\r\n"}) {
    CAPTURE(end);
    Split found = split({"id: 1\ndata: a" + end + "id: 2\ndata: b" + end});
    REQUIRE(found.Events.size() == 2);
    CHECK(found.Events[1] == "id: 2\ndata: b" + end);
    CHECK(found.Rest.empty());
    CHECK_FALSE(found.InsideEvent);
  }
}

TEST_CASE("EventSplitter tells a part of an event from the space between") {
  const std::string whole = "id: 1\ndata: a\n\n";
  for (const std::string &rest :
       {"", "\n", "\r\n\r\n", ": comment\n", "\n: comment\r"}) {
    CAPTURE(rest);
    CHECK_FALSE(split({whole + rest}).InsideEvent);
  }
  for (const std::string &rest : {"i", "id: 2", "id: 2\n", "data: b\r\n",
                                  ": comm", "\n\nd", ": comment\nid: 2\n"}) {
    CAPTURE(rest);
    CHECK(split({whole + rest}).InsideEvent);
  }
}

TEST_CASE("EventSplitter keeps every byte") {
  const std::string text = "\n\nid: 1\r\n\r\n\n: ping\n\nid: 2\r\r\ndata\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    Split found = split({text.substr(0, cut), text.substr(cut)});
    std::string all;
    for (const std::string &it : found.Events)
      all += it;
    CHECK(all + found.Rest == text);
  }
}
