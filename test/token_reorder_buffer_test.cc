#include "token_reorder_buffer.h"

#include <doctest/doctest.h>
#include <utility>
#include <vector>

using namespace crocusspur::internal;

namespace {

struct Collected {
  TokenReorderBuffer Sequence;
  std::string Text;

  bool accept(uint64_t Index, const std::string &Token) {
    return Sequence.accept(Index, Token,
                           [&](std::string_view It) { Text += It; });
  }
};

} // namespace

TEST_CASE("Tokens are delivered once and in order") {
  // Guards against duplicated or reordered text when an engine repeats or
  // reorders events.
  Collected out;
  for (const auto &it : std::vector<std::pair<uint64_t, std::string>>{{0, "a"},
                                                                      {0, "a"},
                                                                      {2, "c"},
                                                                      {3, "d"},
                                                                      {2, "c"},
                                                                      {1, "b"},
                                                                      {1, "b"}})
    REQUIRE(out.accept(it.first, it.second));
  CHECK(out.Text == "abcd");
  CHECK(out.Sequence.next() == 4);
  CHECK(out.Sequence.complete());
}

TEST_CASE("A gap leaves the token sequence incomplete") {
  // Guards against a response that counts as complete although tokens are
  // missing.
  Collected out;
  REQUIRE(out.accept(0, "a"));
  REQUIRE(out.accept(2, "c"));
  CHECK(out.Text == "a");
  CHECK(out.Sequence.next() == 1);
  CHECK_FALSE(out.Sequence.complete());
}

TEST_CASE("An index far ahead ends the stream") {
  Collected out;
  CHECK(out.accept(64, "x"));
  CHECK_FALSE(out.accept(65, "y"));
}

TEST_CASE("A new attempt continues after the last delivered token") {
  // Guards against buffered tokens of a broken stream that replace those of the
  // resumed one.
  Collected out;
  REQUIRE(out.accept(0, "a"));
  REQUIRE(out.accept(2, "old"));
  out.Sequence.discardBuffered();
  REQUIRE(out.accept(1, "b"));
  CHECK(out.Text == "ab");
  REQUIRE(out.accept(2, "c"));
  CHECK(out.Text == "abc");
}
