#include "gateway/event_splitter.h"

#include <doctest/doctest.h>
#include <vector>

using namespace crocusspur::gateway;

TEST_CASE("EventSplitter returns whole events wherever the bytes are split") {
  const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter events;
    std::vector<std::string> found;
    std::string event;
    for (const std::string &part : {text.substr(0, cut), text.substr(cut)}) {
      events.add(part);
      while (events.next(event))
        found.push_back(event);
    }
    REQUIRE(found.size() == 2);
    CHECK(found[0] == "id: 1\ndata: a\n\n");
    CHECK(found[1] == "id: 2\r\ndata: b\r\n\r\n");
    CHECK(events.rest() == "id: 3\n");
  }
}
