#include "gateway/decisions/prompt_parts.h"
#include "platform/http_codec.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

using Keys = std::vector<PromptPartKey>;

// The shared parts of a request whose fields have these values.
Keys partsOf(const std::vector<std::string> &Values) {
  internal::HttpHead head;
  for (const std::string &it : Values)
    head.Fields.emplace_back("Prefix-Hash", it);
  return platform::makeHttpCodec().ParseRequestHead(head).PromptParts;
}

} // namespace

TEST_CASE("The last part of a prompt isn't shared") {
  CHECK(partsOf({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"}) ==
        Keys{0x5c1e07a2, 0x91bd3f06});
  CHECK(partsOf({"5c1e07a2:800"}).empty());
  CHECK(partsOf({}).empty());
}

TEST_CASE("One id of a prompt's part has one key, however it is written") {
  CHECK(promptPartKey("00AB") == promptPartKey("ab"));
  CHECK(promptPartKey("00ABCDEF0123456789abcdef") ==
        promptPartKey("abcdef0123456789ABCDEF"));
  CHECK(promptPartKey("abcdef0123456789abcdef") !=
        promptPartKey("abcdef0123456789abcdee"));
}

TEST_CASE("Repeated fields of a prompt's parts are one list") {
  CHECK(partsOf({"a:1, b:2", "c:3,d:4"}) == Keys{0xa, 0xb, 0xc});
}

// Callers write the field.
TEST_CASE("Malformed lists of a prompt's parts keep what can be read") {
  CHECK(partsOf({"a,zz:5,:7,b:x,a:1,,c:9"}) == Keys{0xa, 0xb});
  CHECK(partsOf({",,,"}).empty());
  CHECK(partsOf({":::"}).empty());
}

TEST_CASE("A prompt with very many parts is cut") {
  std::string list;
  for (int i = 1; i <= 10000; ++i)
    list += std::to_string(i) + ":1,";
  CHECK(partsOf({list}).size() == MaxPromptParts);
  CHECK(promptPartsText(partsOf({list})) == "1,2,3,4,5,6,7,8,...");
}
