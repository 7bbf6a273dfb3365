// Tests of the program's commands, each run as a process.
#include "process_fixture.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

const std::string Program = std::string(CROCUSSPUR_BUILD_DIR) + "/crocusspur";
const std::string Data = CROCUSSPUR_TEST_DATA;

struct CommandResult {
  int Code = -1;
  std::string Output; // of both standard output and error
};

CommandResult runCommand(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), Program);
  ChildProcess child(std::move(Arguments));
  CommandResult result;
  result.Code = child.waitForExit(WaitTimeout).value_or(-1);
  // No line matches, so this waits for the end of the output.
  child.waitForLine([](const std::string &) { return false; }, WaitTimeout);
  result.Output = child.output();
  return result;
}

size_t linesIn(const std::string &Text) {
  return static_cast<size_t>(std::count(Text.begin(), Text.end(), '\n'));
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string contentOf(const std::string &File) {
  std::ifstream in(File);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

// A temporary directory for the files of one test.
class ScratchDirectory {
public:
  ScratchDirectory() {
    std::string name =
        (std::filesystem::temp_directory_path() / "crocusspur-command-XXXXXX")
            .string();
    REQUIRE(mkdtemp(name.data()));
    Directory = name;
  }
  ~ScratchDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(Directory, ignored);
  }
  ScratchDirectory(const ScratchDirectory &) = delete;
  ScratchDirectory &operator=(const ScratchDirectory &) = delete;

  std::string write(const std::string &Name, const std::string &Text) const {
    std::string path = Directory + "/" + Name;
    std::ofstream(path) << Text;
    return path;
  }

private:
  std::string Directory;
};

std::string document(int Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"base":0,"groups":[{"name":"drivers","class":"interactive",)"
         R"("share":1,"token_digests":[]}],"models":[],"services":[],)"
         R"("servers":[]})";
}

std::string patch(uint64_t Base, const std::string &Share) {
  return R"({"base":)" + std::to_string(Base) +
         R"(,"patch_id":"t","changes":{"groups":[{"name":"drivers","share":)" +
         Share + "}]}}";
}

} // namespace

// Guards against a help text that omits a command or the meaning of its exit
// codes.
TEST_CASE("Command help names every command and the exit codes") {
  CommandResult help = runCommand({"--help"});
  CHECK(help.Code == 0);
  for (const char *it : {"serve", "check", "replay", "record", "patch", "state",
                         "version", "Exit codes"})
    CHECK_MESSAGE(contains(help.Output, it), std::string(it)
                                                 << " is missing in:\n"
                                                 << help.Output);
  for (const char *it : {"serve", "check", "replay", "state", "version"}) {
    CommandResult one = runCommand({it, "--help"});
    CHECK(one.Code == 0);
    CHECK_MESSAGE(contains(one.Output, "exit code"), one.Output);
  }
}

// Guards against wrong usage that succeeds, or whose error is buried in the
// help text.
TEST_CASE("Command exits with 2 and one line on wrong usage") {
  for (const auto &arguments : std::vector<std::vector<std::string>>{
           {}, {"bogus"}, {"serve"}, {"check"}, {"patch"}, {"replay", "-x"}}) {
    CommandResult result = runCommand(arguments);
    CHECK(result.Code == 2);
    CHECK_MESSAGE(linesIn(result.Output) == 1, result.Output);
    CHECK_MESSAGE(contains(result.Output, "crocusspur: "), result.Output);
  }
}

TEST_CASE("Command version prints name and number") {
  CommandResult result = runCommand({"version"});
  CHECK(result.Code == 0);
  CHECK_MESSAGE(result.Output.rfind("crocusspur ", 0) == 0, result.Output);
  CHECK(linesIn(result.Output) == 1);
}

// Guards against settings that serve refuses although check accepts them, and
// against an example that doesn't work.
TEST_CASE("Command check reports errors and serve refuses the same file") {
  std::string wrong = Data + "/data/five-mistakes.toml";
  CommandResult check = runCommand({"check", wrong});
  CHECK(check.Code == 2);
  CommandResult serve = runCommand({"serve", "--settings", wrong});
  CHECK(serve.Code == 2);
  CHECK(serve.Output == check.Output);
  CommandResult missing = runCommand({"check", "/nonexistent.toml"});
  CHECK(missing.Code == 2);
  CHECK(linesIn(missing.Output) == 1);
  // The example is refused until both of its placeholders are replaced.
  std::string text = contentOf(Data + "/../docs/example-settings.toml");
  ScratchDirectory scratch;
  CommandResult unedited =
      runCommand({"check", scratch.write("as-is.toml", text)});
  CHECK(unedited.Code == 2);
  CHECK_MESSAGE(linesIn(unedited.Output) == 2, unedited.Output);
  const std::string placeholder = "\"CHANGE-ME\"";
  text.replace(text.find(placeholder), placeholder.size(),
               "\"0123456789abcdef0123456789abcdef"
               "0123456789abcdef0123456789abcdef\"");
  text.replace(text.find(placeholder), placeholder.size(),
               "\"a-key-of-this-fleet\"");
  CommandResult good = runCommand({"check", scratch.write("ok.toml", text)});
  CHECK_MESSAGE(good.Code == 0, good.Output);
}

// Guards against a settings file of the gateway that check accepts although the
// gateway refuses it, or the reverse.
TEST_CASE("Command check reads the gateway's settings as the gateway does") {
  ScratchDirectory scratch;
  std::string good = scratch.write("good.toml", R"(
node-name = "edge-1"
zone = "hall-a"
[listen]
frontend = "127.0.0.1:8149"
ready = "127.0.0.1:8141"
[platform]
address = "127.0.0.1:8142"
)");
  CommandResult ok = runCommand({"check", "--adapter", "platform", good});
  CHECK_MESSAGE(ok.Code == 0, ok.Output);
  std::string wrong = scratch.write("wrong.toml", "node-name = 5\n");
  CommandResult check = runCommand({"check", "--adapter", "platform", wrong});
  CHECK(check.Code == 2);
  CHECK_MESSAGE(linesIn(check.Output) > 1, check.Output);
  CommandResult run = runCommand({"gateway", "--settings", wrong});
  CHECK(run.Code == 2);
  CHECK(run.Output == check.Output);
  CHECK(runCommand({"check", "--adapter", "none", good}).Code == 2);
}

// Guards against a faulty account that the operator learns of only when
// instances reject the configuration, and against a key in the output.
TEST_CASE("Command check reports faulty accounts of a configuration") {
  ScratchDirectory scratch;
  const std::string start =
      R"({"version":1,"routes":[],"services":[],"tenants":[)";
  std::string good = scratch.write(
      "good.json", start + R"({"name":"a","api-keys":["secret-1"]}]})");
  CommandResult ok =
      runCommand({"check", "--adapter", "platform", "--published", good});
  CHECK_MESSAGE(ok.Code == 0, ok.Output);
  std::string wrong = scratch.write(
      "wrong.json", start + R"({"name":"a","api-keys":["secret-1"]},)"
                            R"({"name":"a","api-keys":["secret-1"]},)"
                            R"({"name":"","rate-per-s":-1}]})");
  CommandResult check =
      runCommand({"check", "--adapter", "platform", "--published", wrong});
  CHECK(check.Code == 2);
  for (const char *it : {"tenants[1].name", "tenants[1].api-keys[0]",
                         "tenants[2].name", "tenants[2].rate-per-s"})
    CHECK_MESSAGE(check.Output.find(it) != std::string::npos, check.Output);
  CHECK(linesIn(check.Output) == 4);
  CHECK(check.Output.find("secret") == std::string::npos);
  CHECK(runCommand(
            {"check", "--adapter", "platform", "--published", "/nonexistent"})
            .Code == 2);
  // Settings are no configuration, and the format depends on the adapter.
  CHECK(runCommand({"check", "--adapter", "platform", good}).Code == 2);
  CHECK(runCommand({"check", "--published", good}).Code == 2);
}

// Guards against a replay that accepts a decision other than the recorded one.
TEST_CASE("Command replay detects a modified trace") {
  std::string golden = Data + "/golden/plain_model_request.jsonl";
  CommandResult same = runCommand({"replay", golden});
  CHECK(same.Code == 0);
  CHECK_MESSAGE(contains(same.Output, " 0 differences"), same.Output);
  std::string text = contentOf(golden);
  size_t at = text.find("\"action\":\"StartPrefill\"");
  REQUIRE(at != std::string::npos);
  at = text.find("\"server\":\"p", at);
  REQUIRE(at != std::string::npos);
  text.replace(at, 11, "\"server\":\"x");
  ScratchDirectory scratch;
  CommandResult changed =
      runCommand({"replay", scratch.write("changed.jsonl", text)});
  CHECK(changed.Code == 3);
  CHECK_MESSAGE(contains(changed.Output, " 1 differences"), changed.Output);
  CommandResult other =
      runCommand({"replay", scratch.write("other", "not a trace\n")});
  CHECK(other.Code == 2);
  CHECK(runCommand({"replay", "/nonexistent"}).Code == 2);
}

// Guards against a patch that is refused when published although the check
// accepts it, or the reverse.
TEST_CASE("Command patch check evaluates a patch against a document") {
  ScratchDirectory scratch;
  std::string base = scratch.write("base.json", document(7));
  std::string good = scratch.write("good.json", patch(7, "4"));
  std::string stale = scratch.write("stale.json", patch(6, "4"));
  std::string wrong = scratch.write("wrong.json", patch(7, "-1"));
  CommandResult accepted =
      runCommand({"patch", "check", good, "--against", base});
  CHECK_MESSAGE(accepted.Code == 0, accepted.Output);
  auto result = parseJson(accepted.Output);
  CHECK(result->getValue<int>("version") == 8);
  CHECK(result->getValue<int>("base") == 7);
  CommandResult old = runCommand({"patch", "check", stale, "--against", base});
  CHECK(old.Code == 3);
  CHECK_MESSAGE(contains(old.Output, "version 7 is in force"), old.Output);
  CHECK(linesIn(old.Output) == 1);
  CommandResult bad = runCommand({"patch", "check", wrong, "--against", base});
  CHECK(bad.Code == 3);
  CHECK_MESSAGE(contains(bad.Output, "share"), bad.Output);
  CHECK(
      runCommand({"patch", "check", "/nonexistent", "--against", base}).Code ==
      2);
  CHECK(
      runCommand({"patch", "check", good, "--against", "/nonexistent"}).Code ==
      2);
}

// Guards against commands that don't reach a process or ignore its refusal.
TEST_CASE("Command state and patch check query a running process") {
  FleetOptions options;
  options.Routers = 1;
  ProcessFixture fleet(options);
  std::string address = fleet.router(0).OperatorAddress;
  ScratchDirectory scratch;
  std::string good = scratch.write("good.json", patch(1, "4"));
  std::string stale = scratch.write("stale.json", patch(0, "4"));
  ::setenv("CROCUSSPUR_OPERATOR_TOKEN", "operator-token", 1);
  CommandResult state = runCommand({"state", "--address", address});
  CHECK_MESSAGE(state.Code == 0, state.Output);
  CHECK(parseJson(state.Output)->getValue<std::string>("instance") == "e1");
  CommandResult accepted =
      runCommand({"patch", "check", good, "--address", address});
  CHECK_MESSAGE(accepted.Code == 0, accepted.Output);
  CommandResult old =
      runCommand({"patch", "check", stale, "--address", address});
  CHECK(old.Code == 3);
  CHECK_MESSAGE(contains(old.Output, "\"current_version\":1"), old.Output);
  ::setenv("CROCUSSPUR_OPERATOR_TOKEN", "wrong", 1);
  CommandResult refused = runCommand({"state", "--address", address});
  CHECK(refused.Code == 1);
  CHECK(linesIn(refused.Output) == 1);
  CHECK(runCommand({"patch", "check", good, "--address", address}).Code == 1);
  ::unsetenv("CROCUSSPUR_OPERATOR_TOKEN");
  // Nothing listens there.
  CommandResult none = runCommand({"state", "--address", "127.0.0.1:1"});
  CHECK(none.Code == 1);
  CHECK(linesIn(none.Output) == 1);
}

// Guards against traces that don't replay to the recorded decisions: times
// finer than the trace's, or an incarnation that isn't in its header.
TEST_CASE("Command record writes a session that replays without differences") {
  FleetOptions options;
  options.Routers = 1;
  ProcessFixture fleet(options);
  FleetRouter &router = fleet.router(0);
  ScratchDirectory scratch;
  std::string trace = scratch.write("trace.jsonl", "");
  router.Process.reset();
  // A second process with the fixture's settings, which binds new ports.
  ChildProcess recorder(
      {Program, "record", "--settings", router.SettingsFile, "--trace", trace});
  auto addressOf = [&](const std::string &Listener) {
    auto line = recorder.waitForLine(
        [&](const std::string &Line) {
          return contains(Line, "\"listening\"") &&
                 contains(Line, "\"" + Listener + "\"");
        },
        WaitTimeout);
    REQUIRE_MESSAGE(line, recorder.output());
    return parseJson(*line)
        ->getObject("context_map")
        ->getValue<std::string>("address");
  };
  router.CallerAddress = addressOf("callers");
  router.OperatorAddress = addressOf("operators");
  router.PeerAddress = addressOf("peers");
  fleet.publishList();
  REQUIRE(fleet.waitForReady(0));
  REQUIRE(fleet.waitForKeyHome(0));
  std::string key = timedKey();
  for (int i = 0; i < 2; ++i) {
    HttpRequest call = fleet.call(0, "POST", "/services/bays/book", "{}");
    call.Headers["Idempotency-Key"] = key;
    HttpResponse answer = send(call);
    CHECK_MESSAGE(answer.Status == 200, answer.Body);
  }
  for (int i = 0; i < 5; ++i) {
    HttpResponse answer = send(fleet.completion(0, "marked-prompt", 10, i % 2));
    CHECK_MESSAGE(answer.Status == 200, answer.Body);
  }
  recorder.signal(SIGTERM);
  REQUIRE(recorder.waitForExit(WaitTimeout) == 0);
  CommandResult replay = runCommand({"replay", trace});
  std::string last =
      replay.Output.substr(std::min(replay.Output.size(), // NOLINT
                                    replay.Output.find(" differences") - 60));
  CHECK_MESSAGE(replay.Code == 0, last);
  CHECK_MESSAGE(contains(replay.Output, ", 0 differences"), last);
  CHECK(contains(contentOf(trace), "StartDecode"));
  CHECK_FALSE(contains(contentOf(trace), "marked-prompt"));
}
