#include "crocusspur/settings.h"

#include "address.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <string_view>
#include <toml++/toml.h>
#include <utility>
#include <xxhash.h>

namespace crocusspur {
namespace {

// Room in a peer frame for the other fields of a forwarded request or a
// configuration offer, in addition to the largest body.
constexpr uint32_t FrameHeadroom = 65536;
constexpr uint32_t Mebibyte = 1048576;

constexpr std::pair<const char *, PlacementPolicy> PolicyNames[] = {
    {"pool", PlacementPolicy::Pool},
    {"hold_slot", PlacementPolicy::HoldSlot},
    {"split_slots", PlacementPolicy::SplitSlots},
    {"least_load", PlacementPolicy::LeastLoad},
    {"round_robin", PlacementPolicy::RoundRobin}};

int lineOf(const toml::node &Node) {
  return static_cast<int>(Node.source().begin.line);
}

// Reads the keys of one section and records every error. Keys that have been
// read count as known; finish() reports the others.
class SectionReader {
public:
  SectionReader(const toml::table &Root, std::string File, std::string Section,
                std::vector<Diagnostic> &Diagnostics)
      : File(std::move(File)), Section(std::move(Section)),
        Diagnostics(Diagnostics) {
    const toml::node *node = Root.get(this->Section);
    Table = node ? node->as_table() : nullptr;
    if (node && !Table)
      Diagnostics.push_back(
          {this->File, lineOf(*node), this->Section, "a table"});
  }

  void addDiagnostic(const std::string &Key, const std::string &Expected) {
    const toml::node *node = Table ? Table->get(Key) : nullptr;
    int line = node ? lineOf(*node) : Table ? lineOf(*Table) : 0;
    Diagnostics.push_back({File, line, Section + "." + Key, Expected});
  }

  // `Valid` is only called for strings.
  void text(const std::string &Key, std::string &Out, bool Required,
            const std::string &Expected, bool (*Valid)(const std::string &)) {
    const toml::node *node = take(Key, Required, Expected);
    if (!node)
      return;
    const toml::value<std::string> *value = node->as_string();
    if (!value || !Valid(value->get()))
      return addDiagnostic(Key, Expected);
    Out = value->get();
  }

  void number(const std::string &Key, uint32_t &Out, int64_t Min, int64_t Max) {
    int64_t value = Out;
    whole(Key, value, Min, Max, "a whole number");
    Out = static_cast<uint32_t>(value);
  }

  void time(const std::string &Key, Milliseconds &Out, int64_t Min,
            int64_t Max) {
    int64_t value = Out.count();
    whole(Key, value, Min, Max, "whole milliseconds");
    Out = Milliseconds(value);
  }

  void ratio(const std::string &Key, double &Out, double Min, double Max) {
    std::ostringstream expected;
    expected << "a number from " << Min << " to " << Max;
    const toml::node *node = take(Key, false, expected.str());
    if (!node)
      return;
    std::optional<double> value = node->value<double>();
    if (!node->is_number() || !value || !(*value >= Min && *value <= Max))
      return addDiagnostic(Key, expected.str());
    Out = *value;
  }

  template <typename T, size_t N>
  void choice(const std::string &Key, T &Out,
              const std::pair<const char *, T> (&Choices)[N]) {
    std::string expected = "one of";
    for (const auto &it : Choices)
      expected += std::string(expected.back() == 'f' ? " " : ", ") + it.first;
    const toml::node *node = take(Key, false, expected);
    if (!node)
      return;
    for (const auto &it : Choices)
      if (node->is_string() && node->as_string()->get() == it.first) {
        Out = it.second;
        return;
      }
    addDiagnostic(Key, expected);
  }

  // Reports keys that haven't been read.
  void finish() {
    if (!Table)
      return;
    for (const auto &[key, node] : *Table)
      if (!KnownKeys.count(std::string(key.str())))
        addDiagnostic(std::string(key.str()),
                      "a key of this section; this one is unknown");
  }

private:
  const toml::node *take(const std::string &Key, bool Required,
                         const std::string &Expected) {
    KnownKeys.insert(Key);
    const toml::node *node = Table ? Table->get(Key) : nullptr;
    if (!node && Required)
      addDiagnostic(Key, Expected + "; it is missing and has no default");
    return node;
  }

  void whole(const std::string &Key, int64_t &Out, int64_t Min, int64_t Max,
             const std::string &What) {
    std::string expected =
        What + " from " + std::to_string(Min) + " to " + std::to_string(Max);
    const toml::node *node = take(Key, false, expected);
    if (!node)
      return;
    const toml::value<int64_t> *value = node->as_integer();
    if (!value || value->get() < Min || value->get() > Max)
      return addDiagnostic(Key, expected);
    Out = value->get();
  }

  std::string File;
  std::string Section;
  std::vector<Diagnostic> &Diagnostics;
  const toml::table *Table = nullptr;
  std::set<std::string> KnownKeys;
};

bool isName(const std::string &Text) {
  auto allowed = [](char It) {
    return (It >= 'a' && It <= 'z') || (It >= 'A' && It <= 'Z') ||
           (It >= '0' && It <= '9') || It == '-' || It == '_' || It == '.';
  };
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(), allowed);
}

bool isListenAddress(const std::string &Text) {
  return internal::isAddress(Text, true);
}

bool isTargetAddress(const std::string &Text) {
  return internal::isAddress(Text, false);
}

// Placeholders of example files are refused, so that a deployment can't run
// with a publicly known secret.
bool isSecret(const std::string &Text) {
  auto differs = [&](char It) { return It != Text.front(); };
  return Text.size() >= 16 && Text.size() <= 1024 &&
         std::any_of(Text.begin(), Text.end(), differs) &&
         Text.find("CHANGE-ME") == std::string::npos;
}

bool isTokenDigest(const std::string &Text) {
  // SHA-256 of the empty string: an empty token.
  constexpr std::string_view EmptyDigest =
      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
  auto digit = [](char It) {
    return (It >= '0' && It <= '9') || (It >= 'a' && It <= 'f');
  };
  auto differs = [&](char It) { return It != Text.front(); };
  return Text.size() == 64 && std::all_of(Text.begin(), Text.end(), digit) &&
         std::any_of(Text.begin(), Text.end(), differs) && Text != EmptyDigest;
}

bool isAnyText(const std::string &) { return true; }

class SettingsReader {
public:
  SettingsReader(const toml::table &Root, const std::string &File)
      : Root(Root), File(File) {}

  Settings read() {
    readInstance();
    readCallers();
    readOperators();
    readPeers();
    readPlatform();
    readBackend();
    readPolicy();
    readTiming();
    readLogAndTrace();
    reportUnknownSections();
    checkRelations();
    auto byLine = [](const Diagnostic &Left, const Diagnostic &Right) {
      return Left.Line < Right.Line;
    };
    std::stable_sort(Diagnostics.begin(), Diagnostics.end(), byLine);
    return std::move(Values);
  }

  std::vector<Diagnostic> Diagnostics;

private:
  SectionReader open(const std::string &Section) {
    KnownKeys.insert(Section);
    return SectionReader(Root, File, Section, Diagnostics);
  }

  void readInstance() {
    const std::string expected =
        "1 to 64 letters, digits, dots, hyphens or underscores";
    SectionReader it = open("instance");
    it.text("name", Values.Instance, true, expected, isName);
    it.text("region", Values.Region, true, expected, isName);
    it.text("failure_domain", Values.FailureDomain, true, expected, isName);
    it.finish();
    Values.Core.Instance = Values.Instance;
    Values.Core.Region = Values.Region;
    Values.Core.FailureDomain = Values.FailureDomain;
  }

  void readCallers() {
    SectionReader it = open("callers");
    it.text("address", Values.CallerAddress, false, ListenExpected,
            isListenAddress);
    it.number("max_connections", Values.MaxConnections, 1, 65536);
    it.number("max_header_fields", Values.MaxHeaderFields, 8, 1024);
    it.number("max_body_bytes", Values.MaxBodyBytes, 1024, 16 * Mebibyte);
    it.time("idle_timeout_ms", Values.IdleTimeout, 100, 600000);
    it.finish();
  }

  void readOperators() {
    SectionReader it = open("operators");
    it.text("address", Values.OperatorAddress, false, ListenExpected,
            isListenAddress);
    it.text("token_digest", Values.OperatorTokenDigest, true,
            "the SHA-256 of a token that isn't empty, as 64 lower-case "
            "hexadecimal digits",
            isTokenDigest);
    it.finish();
  }

  void readPeers() {
    SectionReader it = open("peers");
    it.text("address", Values.PeerAddress, false, ListenExpected,
            isListenAddress);
    it.text("key", Values.PeerKey, true,
            "a secret of 16 to 1024 characters, not one repeated character "
            "and not the example's placeholder",
            isSecret);
    it.number("max_frame_bytes", Values.MaxFrameBytes, Mebibyte + FrameHeadroom,
              32 * Mebibyte);
    it.finish();
    Values.Core.TicketKey =
        XXH64(Values.PeerKey.data(), Values.PeerKey.size(), 0);
  }

  void readPlatform() {
    SectionReader it = open("platform");
    it.text("address", Values.PlatformAddress, true,
            "IP:port with a port from 1 to 65535", isTargetAddress);
    it.time("timeout_ms", Values.PlatformTimeout, 10, 60000);
    it.time("watch_wait_ms", Values.WatchWait, 100, 60000);
    it.finish();
  }

  void readBackend() {
    SectionReader it = open("backend");
    it.time("connect_timeout_ms", Values.ConnectTimeout, 10, 60000);
    it.time("load_poll_period_ms", Values.LoadPollPeriod, 10, 60000);
    it.finish();
  }

  void readPolicy() {
    CoreOptions &core = Values.Core;
    SectionReader it = open("policy");
    it.choice("placement", core.Policy, PolicyNames);
    it.ratio("prefill_waste_bound", core.PrefillWasteBound, 0.0001, 1);
    it.time("interactive_wait_bound_ms", core.InteractiveWaitBound, 0, 60000);
    it.ratio("retry_budget_ratio", core.RetryBudgetRatio, 0, 1);
    it.number("retry_budget_floor", core.RetryBudgetFloor, 0, 100000);
    it.number("max_requests", core.MaxRequests, 1, 1000000);
    it.number("max_remembered_keys", core.MaxRememberedKeys, 1, 10000000);
    it.number("watchers_per_domain", core.WatchersPerDomain, 1, 100);
    it.finish();
  }

  void readTiming() {
    CoreOptions &core = Values.Core;
    SectionReader it = open("timing");
    it.time("heartbeat_period_ms", core.HeartbeatPeriod, 10, 1000);
    it.time("lease_period_ms", core.LeasePeriod, 40, 60000);
    it.time("progress_timeout_ms", core.ProgressTimeout, 50, 600000);
    it.time("key_retention_ms", core.KeyRetention, 1000, 86400000);
    it.time("clock_margin_ms", core.ClockMargin, 0, 600000);
    it.time("shutdown_limit_ms", Values.ShutdownLimit, 0, 3600000);
    // Half a lease period must cover one lost heartbeat.
    if (core.LeasePeriod < 4 * core.HeartbeatPeriod)
      it.addDiagnostic("lease_period_ms",
                       "at least four times heartbeat_period_ms");
    it.finish();
  }

  void readLogAndTrace() {
    constexpr std::pair<const char *, int> Levels[] = {
        {"debug", 0}, {"info", 1}, {"warn", 2}, {"error", 3}};
    int level = 1;
    SectionReader logs = open("log");
    logs.choice("level", level, Levels);
    logs.finish();
    Values.LogLevel = Levels[level].first;
    SectionReader trace = open("trace");
    trace.text("record_path", Values.RecordPath, false, "a string", isAnyText);
    trace.finish();
  }

  void reportUnknownSections() {
    for (const auto &[key, node] : Root)
      if (!KnownKeys.count(std::string(key.str())))
        Diagnostics.push_back({File, lineOf(node), std::string(key.str()),
                               "a section; this one is unknown"});
  }

  void checkRelations() {
    if (Values.MaxBodyBytes + FrameHeadroom > Values.MaxFrameBytes)
      open("callers").addDiagnostic(
          "max_body_bytes",
          "at most peers.max_frame_bytes less 65536, because a request with "
          "an idempotency key has to fit a peer frame");
  }

  static constexpr const char *ListenExpected =
      "IP:port; port 0 lets the kernel choose";

  const toml::table &Root;
  std::string File;
  Settings Values;
  std::set<std::string> KnownKeys;
};

DiagnosticList singleDiagnostic(const std::string &File, int Line,
                                const std::string &Key,
                                const std::string &Expected) {
  return DiagnosticList{{{File, Line, Key, Expected}}};
}

} // namespace

boost::leaf::result<Settings> parseSettings(const std::string &Text,
                                            const std::string &File) {
  toml::table root;
  try {
    root = toml::parse(std::string_view(Text), std::string_view(File));
  } catch (const toml::parse_error &error) {
    int line = static_cast<int>(error.source().begin.line);
    return boost::leaf::new_error(singleDiagnostic(
        File, line, "(syntax)",
        "valid TOML (" + std::string(error.description()) + ")"));
  }
  SettingsReader reader(root, File);
  Settings values = reader.read();
  if (!reader.Diagnostics.empty())
    return boost::leaf::new_error(
        DiagnosticList{std::move(reader.Diagnostics)});
  return values;
}

boost::leaf::result<Settings> loadSettings(const std::string &File) {
  std::ifstream in(File, std::ios::binary);
  std::ostringstream text;
  // A directory can be opened but not read, so the stream is checked after
  // reading.
  if (in)
    text << in.rdbuf();
  if (!in || text.fail())
    return boost::leaf::new_error(singleDiagnostic(
        File, 0, "(file)", "a readable file that isn't empty"));
  return parseSettings(text.str(), File);
}

} // namespace crocusspur
