// Measures what the parsing of texts of 1 MB takes that other processes wrote:
// as a tree of all values, and with parseJson(), where the values stand in a
// member that isn't read. Prints MB/s and the memory held for each byte read.
#include "json_document.h"

#include <Poco/JSON/Parser.h>
#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <string>
#include <utility>
#include <vector>

using namespace crocusspur::internal;

namespace {

constexpr size_t TextBytes = 1000000;
constexpr int Rounds = 5;
constexpr std::string_view Names[] = {"service", "address", "state"};

std::string textOf(const std::string &Unit) {
  std::string all = R"({"service":"s","other":[)" + Unit;
  while (all.size() + Unit.size() + 3 < TextBytes)
    all += "," + Unit;
  return all + "]}";
}

// `Parse` returns what it has parsed, so that its memory is still held.
template <typename Parsed>
void measure(const char *Name, const char *Kind, const std::string &Text,
             const std::function<Parsed(const std::string &)> &Parse) {
  size_t before = mallinfo2().uordblks;
  size_t held = 0;
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < Rounds; ++i) {
    Parsed parsed = Parse(Text);
    held = mallinfo2().uordblks - before;
  }
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  double bytes = static_cast<double>(Text.size());
  std::printf("%-16s %-9s %6.1f MB/s, %8.3f bytes held a byte\n", Name, Kind,
              bytes * Rounds / took.count() / 1e6,
              static_cast<double>(held) / bytes);
}

} // namespace

int main() {
  const std::pair<const char *, std::string> texts[] = {
      {"empty objects", textOf("{}")},
      {"nested lists", textOf("[[[[]]]]")},
      {"numbers", textOf("1")},
      {"short strings", textOf("\"ab\"")},
      {"members", textOf(R"({"key":1,"other":[{}]})")}};
  for (const auto &[name, text] : texts) {
    measure<Poco::Dynamic::Var>(name, "tree", text, [](const std::string &It) {
      return Poco::JSON::Parser().parse(It);
    });
    measure<JsonDocument>(name, "parseJson", text, [](const std::string &It) {
      return parseJson(It, {.Kept = Names});
    });
  }
}
