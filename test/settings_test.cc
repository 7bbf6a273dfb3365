#include "crocusspur/settings.h"

#include "address.h"
#include "command_check.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

using namespace crocusspur;

namespace {

const std::string Digest =
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

const std::string Required = "[instance]\n"
                             "name = \"e1\"\n"
                             "region = \"ie-west\"\n"
                             "failure_domain = \"hall-a\"\n"
                             "[operators]\n"
                             "token_digest = \"" +
                             Digest +
                             "\"\n"
                             "[peers]\n"
                             "key = \"0123456789abcdef\"\n"
                             "[platform]\n"
                             "address = \"127.0.0.1:8090\"\n";

struct Outcome {
  std::optional<Settings> Values;
  std::vector<Diagnostic> Diagnostics;

  std::vector<std::string> keys() const {
    std::vector<std::string> found;
    for (const Diagnostic &it : Diagnostics)
      found.push_back(std::to_string(it.Line) + " " + it.Key);
    return found;
  }
};

template <typename F> Outcome outcomeOf(F Read) {
  Outcome outcome;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(outcome.Values, Read());
        return {};
      },
      [&](const DiagnosticList &List) {
        outcome.Diagnostics = List.Diagnostics;
      },
      [] { FAIL("the error carries no list of diagnostics"); });
  return outcome;
}

Outcome parsed(const std::string &Text) {
  return outcomeOf([&] { return parseSettings(Text, "s.toml"); });
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  size_t at = Text.find(From);
  REQUIRE(at != std::string::npos);
  return Text.replace(at, From.size(), To);
}

std::string fileText(const std::string &Path) {
  std::ifstream in(Path);
  REQUIRE(in);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Redirects a standard stream for the life of the object.
class Capture {
public:
  explicit Capture(std::ostream &Stream)
      : Stream(Stream), Saved(Stream.rdbuf(Buffer.rdbuf())) {}
  ~Capture() { Stream.rdbuf(Saved); }
  std::string text() const { return Buffer.str(); }

private:
  std::ostringstream Buffer;
  std::ostream &Stream;
  std::streambuf *Saved;
};

const std::string ExamplePath =
    CROCUSSPUR_TEST_DATA "/../docs/example-settings.toml";

} // namespace

// Guards against a minimal file that needs more than the documented keys.
TEST_CASE("Settings with only the required keys have the defaults") {
  Outcome outcome = parsed(Required);
  CHECK(outcome.keys() == std::vector<std::string>{});
  REQUIRE(outcome.Values);
  CHECK(outcome.Values->Core.Instance == "e1");
  CHECK(outcome.Values->Core.FailureDomain == "hall-a");
  CHECK(outcome.Values->MaxFrameBytes == Settings().MaxFrameBytes);
  CHECK(outcome.Values->Core.LeasePeriod == CoreOptions().LeasePeriod);
  CHECK(outcome.Values->Core.TicketKey != 0);
}

// Guards against a reader that stops at the first error or loses its line.
TEST_CASE("Settings report five errors of one file with their lines") {
  std::string text =
      replaced(Required, "region = \"ie-west\"", "regoin = \"x\"");
  text = replaced(text, "127.0.0.1:8090", "platform.example:8090");
  text += "[timing]\n"
          "heartbeat_period_ms = \"fast\"\n"
          "clock_margin_ms = -1\n";
  Outcome outcome = parsed(text);
  std::vector<std::string> expected = {
      "1 instance.region", "3 instance.regoin", "10 platform.address",
      "12 timing.heartbeat_period_ms", "13 timing.clock_margin_ms"};
  CHECK(outcome.keys() == expected);
  REQUIRE(outcome.Diagnostics.size() == 5);
  CHECK(outcome.Diagnostics[3].str() ==
        "s.toml:12: timing.heartbeat_period_ms: expected whole milliseconds "
        "from 10 to 1000");
}

// Guards against a command that shows only some errors or exits with 0.
TEST_CASE("Check lists all five errors on standard error") {
  Capture errors(std::cerr);
  int code =
      internal::runCheck(CROCUSSPUR_TEST_DATA "/data/five-mistakes.toml");
  CHECK(code == 2);
  std::string text = errors.text();
  CHECK(std::count(text.begin(), text.end(), '\n') == 5);
  for (const char *it : {"five-mistakes.toml:3: instance.zone: ",
                         "five-mistakes.toml:7: callers.max_connections: ",
                         "five-mistakes.toml:10: operators.token_digest: ",
                         "five-mistakes.toml:14: peers.address: ",
                         "five-mistakes.toml:19: queue: "}) {
    CAPTURE(it);
    CHECK(text.find(it) != std::string::npos);
  }
}

// Guards against a deployment that runs with publicly known secrets.
TEST_CASE("Settings refuse missing and placeholder secrets") {
  for (const char *it :
       {"", "short", "aaaaaaaaaaaaaaaaaaaa", "CHANGE-ME-CHANGE-ME"}) {
    CAPTURE(it);
    CHECK(parsed(replaced(Required, "0123456789abcdef\"\n[platform]",
                          std::string(it) + "\"\n[platform]"))
              .keys() == std::vector<std::string>{"8 peers.key"});
  }
  std::string empty =
      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
  for (const std::string &it :
       {std::string(), std::string(64, '0'), empty, std::string("CHANGE-ME")}) {
    CAPTURE(it);
    CHECK(parsed(replaced(Required, Digest, it)).keys() ==
          std::vector<std::string>{"6 operators.token_digest"});
  }
  std::string missing = replaced(Required, "key = \"0123456789abcdef\"\n", "");
  CHECK(parsed(missing).keys() == std::vector<std::string>{"7 peers.key"});
}

// Guards against an example that lacks a key or shows a wrong default.
TEST_CASE("Settings example is complete and shows the defaults") {
  std::string text = fileText(ExamplePath);
  CHECK(parsed(text).Diagnostics.size() == 2);
  text = replaced(text, "token_digest = \"CHANGE-ME\"",
                  "token_digest = \"" + Digest + "\"");
  text = replaced(text, "key = \"CHANGE-ME\"", "key = \"0123456789abcdef\"");
  Outcome outcome = parsed(text);
  CHECK(outcome.keys() == std::vector<std::string>{});
  Outcome minimal = parsed(Required);
  REQUIRE(outcome.Values);
  REQUIRE(minimal.Values);
  CHECK(outcome.Values->CallerAddress == minimal.Values->CallerAddress);
  CHECK(outcome.Values->MaxBodyBytes == minimal.Values->MaxBodyBytes);
  CHECK(outcome.Values->WatchWait == minimal.Values->WatchWait);
  CHECK(outcome.Values->Core.Policy == minimal.Values->Core.Policy);
  CHECK(outcome.Values->Core.KeyRetention == minimal.Values->Core.KeyRetention);
  CHECK(outcome.Values->ShutdownLimit == minimal.Values->ShutdownLimit);
  std::string page = fileText(CROCUSSPUR_TEST_DATA "/../docs/SETTINGS.md");
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);)
    if (size_t at = line.find(" = ");
        at != std::string::npos && line[0] != '#') {
      CAPTURE(line);
      CHECK(page.find("`" + line.substr(0, at) + "`") != std::string::npos);
    }
}

// Guards against crashes on input that isn't a settings file.
TEST_CASE("Settings report syntax errors and unreadable files") {
  CHECK(parsed("[instance\nname = 1").keys() ==
        std::vector<std::string>{"1 (syntax)"});
  Outcome absent =
      outcomeOf([] { return loadSettings("/nonexistent/x.toml"); });
  CHECK(absent.keys() == std::vector<std::string>{"0 (file)"});
  Outcome folder = outcomeOf([] { return loadSettings(CROCUSSPUR_TEST_DATA); });
  CHECK(folder.keys() == std::vector<std::string>{"0 (file)"});
}

// Guards against values that are valid alone but not together.
TEST_CASE("Settings check relations between values") {
  CHECK(parsed(Required + "[timing]\nlease_period_ms = 1000\n").keys() ==
        std::vector<std::string>{"12 timing.lease_period_ms"});
  CHECK(parsed(Required + "[callers]\nmax_body_bytes = 2097152\n").keys() ==
        std::vector<std::string>{"12 callers.max_body_bytes"});
}

// Guards against host names, which would need a resolver, and invalid ports.
TEST_CASE("IsAddress accepts only numeric addresses") {
  using internal::isAddress;
  CHECK(isAddress("127.0.0.1:1", false));
  CHECK(isAddress("[::1]:65535", false));
  CHECK(isAddress("0.0.0.0:0", true));
  for (const char *it :
       {"127.0.0.1:0", "127.0.0.1", "127.0.0.1:", "host:1", "127.0.0.1:65536",
        "::1:80", "[127.0.0.1]:80", "127.0.0.1:8x", ":80", ""}) {
    CAPTURE(it);
    CHECK_FALSE(isAddress(it, false));
  }
}
