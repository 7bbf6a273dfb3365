// Random configurations, valid ones and damaged ones.
#include "platform/published_entries.h"

#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::platform;

namespace {

class DocumentMaker {
public:
  explicit DocumentMaker(uint64_t Seed) : Random(Seed) {}

  size_t below(size_t Count) { return Random() % Count; }

  // A JSON string of characters that JSON allows, in all notations.
  std::string text(size_t MaxParts = 6) {
    static const std::vector<std::string> Parts{"a",
                                                "route-7",
                                                " ",
                                                "/",
                                                "\\\"",
                                                "\\\\",
                                                "\\n",
                                                "\\r\\n",
                                                "\\u0000",
                                                "\\u001f",
                                                "\\u00e9",
                                                "\xc3\xa9",
                                                "\\ud83d\\ude00",
                                                "{",
                                                "}",
                                                ":",
                                                ",",
                                                "%0d%0a"};
    std::string out = "\"";
    for (size_t i = below(MaxParts) + 1; i > 0; --i)
      out += Parts[below(Parts.size())];
    return out + "\"";
  }

  std::string number() {
    static const std::vector<std::string> Numbers{"0",
                                                  "1",
                                                  "2",
                                                  "3000",
                                                  "14000",
                                                  "14000.0",
                                                  "2147483648",
                                                  "4294967295",
                                                  "4294967296",
                                                  "9007199254740992",
                                                  "9223372036854775807",
                                                  "18446744073709551615"};
    return Numbers[below(Numbers.size())];
  }

  std::string more() {
    switch (below(4)) {
    case 0:
      return ",\"x-" + std::to_string(below(9)) + "\":" + text();
    case 1:
      return ",\"y\":{\"z\":[1,null,true]}";
    default:
      return "";
    }
  }

  std::string route() {
    static const std::vector<std::string> Types{"idempotent", "non_idempotent",
                                                "streaming", "batch"};
    std::string service = below(2) == 0 ? "\"service\":" + text()
                                        : "\"split\":[{\"service\":" + text() +
                                              ",\"weight\":" + number() + "}]";
    return "{\"name\":" + text() + ",\"host\":" + text() +
           ",\"path-prefix\":" + text() + ",\"type\":\"" +
           Types[below(Types.size())] + "\",\"timeout-ms\":" + number() +
           ",\"priority\":" + number() + ",\"max-attempts\":" + number() + "," +
           service + more() + "}";
  }

  std::string account(size_t Number) {
    std::string id = std::to_string(Number);
    std::string out = "{\"name\":\"t" + id + "\"" + more();
    if (below(3) > 0)
      out += ",\"api-keys\":[\"k" + id + "\"]";
    if (below(2) == 0)
      out += ",\"rate-per-s\":" + number() + ",\"burst\":" + number();
    return out + "}";
  }

  // `Filler`: bytes of a field that isn't known.
  std::string document(uint64_t Version, size_t Routes, size_t Accounts,
                       size_t Filler = 0) {
    std::string out = "{\"version\":" + std::to_string(Version) + more();
    if (Filler > 0)
      out += ",\"notes\":\"" + std::string(Filler, 'n') + "\"";
    out += ",\"routes\":[";
    for (size_t i = 0; i < Routes; ++i)
      out += (i > 0 ? "," : "") + route();
    out += "],\"services\":[{\"name\":" + text() + more() +
           "}],\"limits\":{\"max-header-bytes\":" + number() +
           ",\"idle-timeout-ms\":" + number() + "},\"tenants\":[";
    for (size_t i = 0; i < Accounts; ++i)
      out += (i > 0 ? "," : "") + account(i);
    return out + "]}";
  }

  std::string damaged(std::string Text) {
    for (size_t i = below(3) + 1; i > 0 && !Text.empty(); --i) {
      size_t at = below(Text.size());
      switch (below(4)) {
      case 0:
        Text[at] = static_cast<char>(Random());
        break;
      case 1:
        Text.erase(at, below(20) + 1);
        break;
      case 2:
        Text.insert(at, Text.substr(below(Text.size()), below(40)));
        break;
      default:
        Text.resize(at);
      }
    }
    return Text;
  }

private:
  std::mt19937_64 Random;
};

} // namespace

// Guards against a configuration that the store accepts and an instance
// refuses, and keeps refusing.
TEST_CASE("Each valid configuration is accepted with all its entries") {
  DocumentMaker maker(1);
  for (uint64_t version = 1; version <= 3000; ++version) {
    size_t routes = maker.below(8);
    size_t accounts = maker.below(5);
    std::string text = maker.document(version, routes, accounts);
    std::vector<Diagnostic> faults;
    RouteDocumentPtr document = readRouteDocument(text, faults);
    CAPTURE(text);
    REQUIRE(document);
    CHECK(document->Version == version);
    CHECK(document->Routes.size() == routes);
    CHECK(document->Accounts.size() == accounts);
    CHECK(document->Text == text); // what peers get is what was published
    for (const PathRoute &it : document->Routes) {
      CHECK(it.Supported == !it.Services.empty());
      CHECK(it.Timeout >= Milliseconds(0));
    }
    CHECK(document->Limits.IdleTimeout >= Milliseconds(0));
  }
}

TEST_CASE("A configuration of a megabyte is accepted") {
  DocumentMaker maker(2);
  std::string text = maker.document(7, 2000, 1000, 500000);
  CHECK(text.size() > 900000);
  RouteDocumentPtr document = parseRouteDocument(text);
  REQUIRE(document);
  CHECK(document->Routes.size() == 2000);
}

// Guards against damage that ends a process, or that is taken for a
// configuration in part.
TEST_CASE("A damaged configuration is refused, or read the same twice") {
  DocumentMaker maker(3);
  int accepted = 0;
  constexpr int Documents = 20000;
  for (int i = 0; i < Documents; ++i) {
    std::string text =
        maker.damaged(maker.document(5, maker.below(4), maker.below(3)));
    std::vector<Diagnostic> faults;
    RouteDocumentPtr document = readRouteDocument(text, faults);
    CHECK((document == nullptr) == !faults.empty());
    if (!document)
      continue;
    ++accepted;
    RouteDocumentPtr again = parseRouteDocument(document->Text);
    REQUIRE(again);
    CHECK(again->Version == document->Version);
    CHECK(again->Routes.size() == document->Routes.size());
    CHECK(again->Accounts.size() == document->Accounts.size());
    CHECK(document->Version > 0);
  }
  MESSAGE("accepted " << accepted << " of " << Documents);
  CHECK(accepted < Documents / 2);
}
