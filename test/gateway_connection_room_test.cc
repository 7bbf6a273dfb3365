// Crowds of connections: those whose request may be under way aren't closed.
#include "gateway/decisions/connection_room.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr Milliseconds Long{60000};

RoomAction decide(size_t Connections, std::optional<Milliseconds> Used,
                  std::optional<Milliseconds> Unused) {
  return makeRoomFor({Connections, 768, std::nullopt, Used, Unused});
}

} // namespace

TEST_CASE("Connections take at most half of the memory budget") {
  for (size_t mb : {1, 8, 16, 36, 49, 64, 1000}) {
    CAPTURE(mb);
    size_t most = maxConnections(mb * 1048576);
    CHECK(most >= 64);
    CHECK(most <= 768);
    if (mb >= 16)
      CHECK(most * ConnectionBytes <= mb * 1048576 / 2);
  }
}

TEST_CASE("Few connections all stay open") {
  CHECK(decide(576, Long, Long) == RoomAction::None);
}

TEST_CASE("A connection whose caller has its response gives way first") {
  ConnectionCrowd crowd{705, 768, Milliseconds(100), Long, Long};
  CHECK(makeRoomFor(crowd) == RoomAction::EndLinger);
  crowd.Lingering = Milliseconds(99);
  CHECK(makeRoomFor(crowd) == RoomAction::CloseUsed);
  crowd.Used = crowd.Unused = std::nullopt;
  CHECK(makeRoomFor(crowd) == RoomAction::None);
}

TEST_CASE("A connection that has had a response gives way next") {
  CHECK(decide(577, Milliseconds(0), Long) == RoomAction::CloseUsed);
  CHECK(decide(768, Milliseconds(0), Long) == RoomAction::CloseUsed);
}

// The one that had waited longest was closed, though its request was under way.
TEST_CASE("A connection that was just opened isn't closed for a new one") {
  CHECK(decide(577, std::nullopt, Milliseconds(999)) == RoomAction::None);
  CHECK(decide(704, std::nullopt, Milliseconds(999)) == RoomAction::None);
  CHECK(decide(705, std::nullopt, Milliseconds(9)) == RoomAction::None);
  CHECK(decide(1152, std::nullopt, Milliseconds(9)) == RoomAction::None);
}

TEST_CASE("If all connections have requests, new ones are refused") {
  CHECK(decide(704, std::nullopt, std::nullopt) == RoomAction::None);
  CHECK(decide(705, std::nullopt, std::nullopt) == RoomAction::RefuseNew);
  CHECK(decide(2000, std::nullopt, std::nullopt) == RoomAction::RefuseNew);
}

TEST_CASE("Connections that are never used give way") {
  CHECK(decide(577, std::nullopt, Milliseconds(1000)) ==
        RoomAction::CloseUnused);
  CHECK(decide(705, std::nullopt, Milliseconds(10)) == RoomAction::CloseUnused);
  CHECK(decide(1153, std::nullopt, Milliseconds(0)) == RoomAction::CloseUnused);
}
