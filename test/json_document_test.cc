// Tests the parser of JSON text from other processes: what it keeps, and that
// it takes a bounded amount of memory for texts of any form.
#include "json_document.h"

#include "heap_meter.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>
#include <random>
#include <sstream>
#include <string>
#include <vector>

using namespace crocusspur::internal;
using crocusspur::test::HeapMeter;
using Poco::JSON::Object;

namespace {

constexpr size_t TextBytes = 1000000;

std::string textOf(const Object::Ptr &Value) {
  std::ostringstream out;
  if (Value)
    Value->stringify(out);
  return out.str();
}

// "[unit,unit,...]" of nearly 1 MB.
std::string longList(const std::string &Unit) {
  std::string all = "[" + Unit;
  while (all.size() + Unit.size() + 2 < TextBytes)
    all += "," + Unit;
  return all + "]";
}

// Texts that take much memory as trees of values.
std::vector<std::string> largeValues() {
  std::string members = "{\"k0\":{}";
  for (int i = 1; i < 85000; ++i)
    members += ",\"k" + std::to_string(i) + "\":{}";
  return {longList("{}"),
          longList("[[[[]]]]"),
          longList("1"),
          longList("\"\""),
          longList("{\"a\":{\"a\":[{}]}}"),
          members + "}",
          "\"" + std::string(TextBytes, 'x') + "\""};
}

class RandomText {
public:
  explicit RandomText(uint64_t Seed) : Random(Seed) {}

  size_t below(size_t Count) { return Random() % Count; }

  std::string value(int Depth) {
    static const std::vector<std::string> Simple{
        "1",         "-7",   "2.5",  "18446744073709551615",
        "true",      "null", "\"\"", "\"x\\n\\u00e9\"",
        "\"{}[],:\""};
    size_t kind = below(Depth > 0 ? 4 : 2);
    if (kind < 2)
      return Simple[below(Simple.size())];
    std::string all;
    for (size_t i = below(4); i > 0; --i)
      all += (all.empty() ? "" : ",") + (kind == 2 ? name() + ":" : "") +
             value(Depth - 1);
    return kind == 2 ? "{" + all + "}" : "[" + all + "]";
  }

  std::string object() {
    std::string all;
    for (size_t i = below(6); i > 0; --i)
      all += (all.empty() ? "" : ",") + name() + ":" + value(3);
    return "{" + all + "}";
  }

private:
  std::string name() {
    return std::string(1, "\""[0]) + Names[below(6)] + "\"";
  }

  static constexpr const char *Names[] = {"a", "b", "c", "d", "items", ""};
  std::mt19937_64 Random;
};

// The value without members of other names.
Poco::Dynamic::Var selected(const Poco::Dynamic::Var &Value, JsonNames Names) {
  if (Value.type() == typeid(Object::Ptr)) {
    Object::Ptr out = new Object;
    for (const auto &[name, it] : *Value.extract<Object::Ptr>())
      for (std::string_view kept : Names)
        if (kept == name)
          out->set(name, selected(it, Names));
    return out;
  }
  if (Value.type() == typeid(Poco::JSON::Array::Ptr)) {
    Poco::JSON::Array::Ptr out = new Poco::JSON::Array;
    for (const auto &it : *Value.extract<Poco::JSON::Array::Ptr>())
      out->add(selected(it, Names));
    return out;
  }
  return Value;
}

} // namespace

// A tree of a list of empty objects takes 300 times its text.
TEST_CASE("A member that isn't read takes no memory") {
  static constexpr std::string_view Names[] = {"name"};
  for (const std::string &it : largeValues()) {
    std::string text = "{\"name\":\"s1\",\"other\":" + it + "}";
    HeapMeter meter;
    JsonDocument document = parseJson(text, {.Kept = Names});
    CAPTURE(text.substr(0, 40));
    REQUIRE(document.Root);
    CHECK(document.Root->getValue<std::string>("name") == "s1");
    CHECK(document.Root->size() == 1);
    // A string is read whole before it is known what it is for.
    CHECK(meter.peak() < 3 * TextBytes);
  }
}

TEST_CASE("What is kept of a text is bounded") {
  static constexpr std::string_view Names[] = {"name"};
  constexpr size_t MaxBytes = 100000;
  for (const std::string &it : largeValues()) {
    std::string text = "{\"name\":" + it + "}";
    HeapMeter meter;
    JsonDocument document =
        parseJson(text, {.Kept = Names, .MaxBytes = MaxBytes});
    CAPTURE(text.substr(0, 40));
    CHECK(document.Fault ==
          (text[8] == '{' ? JsonFault::None : JsonFault::TooLarge));
    CHECK(meter.peak() < 3 * TextBytes + 2 * MaxBytes);
    document = parseJson(text, {.MaxBytes = MaxBytes});
    CHECK(document.Fault == JsonFault::TooLarge);
    CHECK_FALSE(document.Root);
    CHECK(meter.peak() < 3 * TextBytes + 2 * MaxBytes);
  }
}

TEST_CASE("Elements of a list are handed over one by one") {
  static constexpr std::string_view Names[] = {"items", "key", "at"};
  static constexpr std::string_view List = "items";
  std::string text = R"({"at":7,"other":[{"key":0}],"items":)" +
                     longList(R"({"key":"a","value":[{"key":1}]})") + "}";
  size_t count = 0;
  JsonElements elements{{&List, 1}, [&](const Object::Ptr &It) {
                          count += textOf(It) == R"({"key":"a"})" ? 1 : 0;
                        }};
  HeapMeter meter;
  JsonDocument document =
      parseJson(text, {.Kept = Names, .MaxBytes = 4096}, elements);
  REQUIRE(document.Root);
  CHECK(document.HasElements);
  CHECK(count > 30000);
  CHECK(document.Root->getValue<int>("at") == 7);
  CHECK(document.Root->size() == 1);
  CHECK(meter.peak() < 20000);
}

// The bound began anew after each element, so that a text could take it as
// often as it has elements.
TEST_CASE("The bound on what is kept beside a list holds over its elements") {
  static constexpr std::string_view Names[] = {"items", "at"};
  static constexpr std::string_view List = "items";
  std::string text = "{\"items\":[]";
  for (int i = 0; i < 20; ++i)
    text += ",\"at\":\"" + std::string(3000, 'x') + "\",\"items\":[{}]";
  JsonElements elements{{&List, 1}, [](const Object::Ptr &) {}};
  JsonBounds bounds{.Kept = Names, .MaxBytes = 20000};
  CHECK(parseJson(text + "}", bounds, elements).Fault == JsonFault::TooLarge);
  bounds.MaxBytes = 100000;
  CHECK(parseJson(text + "}", bounds, elements).Fault == JsonFault::None);
}

TEST_CASE("A list that isn't one of objects is reported") {
  static constexpr std::string_view Names[] = {"items", "at"};
  static constexpr std::string_view List = "items";
  for (const char *it :
       {R"({"at":1})", R"({"items":null,"at":1})",
        R"({"items":{"at":2},"at":1})", R"({"items":[{},1],"at":1})",
        R"({"items":[[]],"at":1})", R"({"items":"x","at":1})",
        R"({"at":1,"items":[[{"at":3}]]})"}) {
    JsonElements elements{{&List, 1}, [](const Object::Ptr &) {}};
    JsonDocument document = parseJson(it, {.Kept = Names}, elements);
    CAPTURE(it);
    REQUIRE(document.Root);
    CHECK_FALSE(document.HasElements);
    CHECK(document.Root->getValue<int>("at") == 1);
  }
}

TEST_CASE("Texts that are no JSON object are invalid") {
  for (const char *it : {"", "1", "[]", "{", "{\"a\":}", "{}{}", "{\"a\":1,}"})
    CHECK(parseJson(it, {}).Fault == JsonFault::Invalid);
  std::string deep(200, '[');
  std::string text = "{\"a\":" + deep + std::string(200, ']') + "}";
  CHECK(parseJson(text, {}).Fault == JsonFault::Invalid);
  static constexpr std::string_view Names[] = {"b"};
  CHECK(parseJson(text, {.Kept = Names}).Fault == JsonFault::Invalid);
}

// With seeds 1 to 20,000: what is kept is what a tree of all values has under
// these names, and damaged texts end no process.
TEST_CASE("Random texts are read as a tree of all values would be") {
  static constexpr std::string_view Names[] = {"a", "c", ""};
  for (uint64_t seed = 1; seed <= 20000; ++seed) {
    RandomText random(seed);
    std::string text = random.object();
    CAPTURE(text);
    Poco::Dynamic::Var whole = Poco::JSON::Parser().parse(text);
    CHECK(textOf(parseJson(text, {}).Root) ==
          textOf(whole.extract<Object::Ptr>()));
    CHECK(textOf(parseJson(text, {.Kept = Names}).Root) ==
          textOf(selected(whole, Names).extract<Object::Ptr>()));
    static constexpr std::string_view List = "items";
    JsonElements elements{{&List, 1}, [](const Object::Ptr &) {}};
    text[random.below(text.size())] = "{}[],:\"\\x"[random.below(9)];
    parseJson(text, {.Kept = Names, .MaxBytes = 3000}, elements);
  }
}
