#include "json_text.h"

#include <doctest/doctest.h>

using namespace crocusspur::internal;

TEST_CASE("JsonString escapes every special byte") {
  CHECK(jsonString("a\"b\\c\n\x01z") == "\"a\\\"b\\\\c\\n\\u0001z\"");
  CHECK(jsonString("") == "\"\"");
  CHECK(jsonString("\xc3\xa9") == "\"\xc3\xa9\"");
}

TEST_CASE("ParseEngineEvent leaves the token text escaped") {
  EngineEvent event;
  REQUIRE(parseEngineEvent(
      R"( {"index": 12, "x":{"y":[1,"}",{}]}, "token":"a\"\u00e9\\"} )",
      event));
  CHECK(event.HasIndex);
  CHECK(event.Index == 12);
  CHECK(event.RawToken == R"(a\"\u00e9\\)");
  CHECK_FALSE(event.Done);

  EngineEvent done;
  REQUIRE(parseEngineEvent(R"({"done":true,"tokens":7,"n":-1.5e3})", done));
  CHECK(done.Done);
  CHECK(done.Tokens == 7);

  EngineEvent imported;
  REQUIRE(parseEngineEvent(R"({"imported":true})", imported));
  CHECK(imported.Imported);
}

TEST_CASE("ParseEngineEvent rejects malformed events") {
  // Guards against forwarding text that breaks out of the caller's JSON string.
  for (const char *it :
       {"", "[]", "{", R"({"index":"1"})", R"({"index":1.5})", R"({"token":5})",
        R"({"token":"a)", R"({"token":"\x"})", R"({"token":"\u12g4"})",
        "{\"token\":\"a\nb\"}", R"({"index":1} x)", R"({"index":1,})",
        R"({"index":-1})", R"({"done":1})"}) {
    EngineEvent event;
    CHECK_MESSAGE(!parseEngineEvent(it, event), it);
  }
}
