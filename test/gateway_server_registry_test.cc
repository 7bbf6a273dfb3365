#include "gateway/decisions/server_registry.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

namespace {

ServerEntry entryOf(const std::string &Id, int64_t StartedAt = 1) {
  ServerEntry entry;
  entry.Id = Id;
  entry.Service = "bays";
  entry.Address = "10.0.0.1:80";
  entry.FailureDomain = "hall-a";
  entry.Slots = 6;
  entry.StartedAt = StartedAt;
  return entry;
}

ServerRegistry bookOf(const std::vector<std::string> &Ids) {
  ServerRegistry book("hall-a", 7);
  for (const std::string &it : Ids)
    book.apply(entryOf(it), Start);
  return book;
}

std::string chosen(ServerRegistry &Book, TimePoint Now) {
  auto choice = Book.choose({"bays", ServerStage::Whole, {}}, Now);
  return choice ? choice->Id : "none";
}

} // namespace

TEST_CASE("A leaving server gets nothing new") {
  ServerRegistry book = bookOf({"s1"});
  REQUIRE(chosen(book, Start) == "s1");
  ServerEntry leaving = entryOf("s1");
  leaving.Leaving = true;
  book.apply(leaving, Start);
  CHECK(chosen(book, Start) == "none");
  CHECK_FALSE(book.usable("s1", 1, Start));
}

TEST_CASE("A lapsed entry is a last resort until its last use") {
  ServerRegistry book = bookOf({"s1", "s2"});
  book.remove("s1", at(1500));
  for (int i = 0; i < 20; ++i)
    CHECK(chosen(book, at(i)) == "s2");
  ServerEntry leaving = entryOf("s2");
  leaving.Leaving = true;
  book.apply(leaving, at(100));
  CHECK(chosen(book, at(1500)) == "s1");
  CHECK(chosen(book, at(1501)) == "none");
  book.expire(at(1501));
  CHECK(book.find("s1") == nullptr);
}

TEST_CASE("A server that announced its leaving is gone with its entry") {
  ServerRegistry book = bookOf({"s1"});
  ServerEntry leaving = entryOf("s1");
  leaving.Leaving = true;
  book.apply(leaving, Start);
  book.remove("s1", at(1500));
  CHECK(book.find("s1") == nullptr);
}

TEST_CASE("A restart under the same id is a new server") {
  ServerRegistry book = bookOf({"s1", "s2"});
  for (int i = 0; i < 5; ++i) {
    book.callStarted("s1", 1);
    book.callEnded("s1", 1, CallResult::TimedOut, at(i));
  }
  REQUIRE(chosen(book, at(10)) == "s2");
  book.apply(entryOf("s1", 2), at(10));
  CHECK_FALSE(book.usable("s1", 1, at(10)));
  CHECK(book.usable("s1", 2, at(10)));
  book.callStarted("s2", 1);
  CHECK(chosen(book, at(10)) == "s1");
}

TEST_CASE("An unreachable server is tried again after a pause that grows") {
  ServerRegistry book = bookOf({"s1"});
  book.apply(entryOf("s2"), Start);
  book.callEnded("s1", 0, CallResult::Unreachable, Start);
  for (int i = 0; i < 3; ++i)
    book.callStarted("s2", 1);
  CHECK(chosen(book, at(249)) == "s2");
  CHECK(chosen(book, at(251)) == "s1");
  book.callEnded("s1", 0, CallResult::Unreachable, at(251));
  CHECK(chosen(book, at(251 + 499)) == "s2");
}

TEST_CASE("A served call ends the pause at once") {
  ServerRegistry book = bookOf({"s1"});
  book.callEnded("s1", 0, CallResult::Unreachable, Start);
  book.callEnded("s1", 0, CallResult::Succeeded, at(1));
  book.apply(entryOf("s2"), Start);
  for (int i = 0; i < 3; ++i)
    book.callStarted("s2", 1);
  CHECK(chosen(book, at(2)) == "s1");
}

TEST_CASE("A server that fails part of its calls gets less of the work") {
  ServerRegistry book = bookOf({"bad", "good"});
  int bad = 0;
  for (int i = 0; i < 200; ++i) {
    std::string id = chosen(book, at(i));
    bad += id == "bad" ? 1 : 0;
    book.callStarted(id, 1);
    book.callEnded(id, 1,
                   id == "bad" && i % 2 == 0 ? CallResult::Failed
                                             : CallResult::Succeeded,
                   at(i));
  }
  CHECK(bad < 40);
}

TEST_CASE("Reported load of others counts, and fades") {
  ServerRegistry book = bookOf({"s1", "s2"});
  book.onLoadReport("s1", {5, 2, 6}, Start);
  for (int i = 0; i < 10; ++i)
    CHECK(chosen(book, at(10)) == "s2");
  book.callStarted("s2", 1);
  CHECK(chosen(book, at(1000)) == "s1");
}

TEST_CASE("The own failure domain decides between equal servers") {
  ServerRegistry book = bookOf({"near"});
  ServerEntry far = entryOf("far");
  far.FailureDomain = "hall-b";
  book.apply(far, Start);
  for (int i = 0; i < 20; ++i)
    CHECK(chosen(book, at(i)) == "near");
}

TEST_CASE("Servers of another stage are not chosen") {
  ServerRegistry book = bookOf({"s1"});
  auto choice = book.choose({"bays", ServerStage::Prefill, {}}, Start);
  CHECK_FALSE(choice.has_value());
}

TEST_CASE("An excluded server isn't chosen even as the last one") {
  ServerRegistry book = bookOf({"s1"});
  book.exclude("s1", at(8000));
  CHECK(chosen(book, at(7999)) == "none");
  CHECK(chosen(book, at(8001)) == "s1");
}

TEST_CASE("A server that registers another stage is no longer excluded") {
  ServerRegistry book = bookOf({"s1"});
  book.exclude("s1", at(8000));
  ServerEntry changed = entryOf("s1");
  changed.Stage = ServerStage::Decode;
  book.apply(changed, at(6000));
  CHECK(book.choose({"bays", ServerStage::Decode, {}}, at(6000)).has_value());
}
