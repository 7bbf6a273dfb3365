#include "process_fixture.h"

#include "digest.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <xxhash.h>

namespace crocusspur::test {
namespace {

const char OperatorToken[] = "operator-token";
const char Region[] = "ie-west";

std::string program(const std::string &Name) {
  return std::string(CROCUSSPUR_BUILD_DIR) + "/" + Name;
}

std::string toJson(const Poco::JSON::Object &Object) {
  std::ostringstream text;
  Object.stringify(text);
  return text.str();
}

Poco::JSON::Array arrayOf(const std::vector<std::string> &Texts) {
  Poco::JSON::Array array;
  for (const std::string &it : Texts)
    array.add(it);
  return array;
}

std::string failureDomainOf(size_t Index) {
  static const char *const Domains[] = {"hall-a", "hall-b", "hall-c"};
  return Domains[Index % 3];
}

Poco::JSON::Object groupJson(const FleetGroup &Group) {
  Poco::JSON::Object object;
  object.set("name", Group.Name);
  object.set("share", Group.Share);
  object.set("class", Group.Class);
  object.set("first_output_ms", Group.FirstOutputMs);
  object.set("may_wait", Group.MayWait);
  object.set("token_digests",
             arrayOf({crocusspur::internal::sha256Hex(Group.Token)}));
  return object;
}

std::string makeTempDirectory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "crocusspur-test-XXXXXX")
          .string();
  if (!mkdtemp(name.data()))
    throw std::runtime_error("can't create directory " + name);
  return name;
}

} // namespace

Poco::JSON::Object::Ptr parseJson(const std::string &Text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    throw std::runtime_error("not a JSON object: " + Text);
  }
}

std::string timedKey() {
  static std::atomic<uint64_t> Count{0};
  auto milliseconds = [] {
    return static_cast<uint64_t>(
        std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
  };
  // A key's timestamp has a resolution of 1 ms. A key from the millisecond in
  // which a home lease began counts as issued before the lease, so wait for the
  // next millisecond.
  uint64_t start = milliseconds();
  uint64_t now = start;
  while (now == start)
    now = milliseconds();
  constexpr uint64_t LastGroup = 0xffffffffffff; // 12 hexadecimal digits
  char text[64];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(now >> 16 & 0xffffffff),
                static_cast<unsigned long long>(now & 0xffff),
                static_cast<unsigned long long>(++Count & LastGroup));
  return text;
}

std::string expectedTokens(const std::string &Prompt, uint32_t Count) {
  char hash[9];
  std::snprintf(hash, sizeof hash, "%08x",
                XXH32(Prompt.data(), Prompt.size(), 0));
  std::string text;
  for (uint32_t i = 0; i < Count; ++i)
    text += std::to_string(i) + ":" + hash + " ";
  return text;
}

ProcessFixture::ProcessFixture(FleetOptions Values)
    : Options(std::move(Values)), Directory(makeTempDirectory()) {
  if (Options.ProxyPeers)
    Proxy = std::make_unique<PeerProxy>();
  startPlatform();
  startServers();
  for (uint32_t i = 0; i < Options.Routers; ++i) {
    Routers.push_back(std::make_unique<FleetRouter>());
    Routers.back()->Name = "e" + std::to_string(i + 1);
    Routers.back()->SettingsFile =
        Directory + "/" + Routers.back()->Name + ".toml";
    startRouter(*Routers.back());
  }
  publishConfig();
  publishList();
  for (size_t i = 0; i < Routers.size(); ++i)
    if (!waitForReady(i))
      throw std::runtime_error(Routers[i]->Name + " did not become ready:\n" +
                               Routers[i]->Process->output());
}

ProcessFixture::~ProcessFixture() {
  Routers.clear();
  Servers.clear();
  Platform.Process.reset();
  std::error_code ignored;
  std::filesystem::remove_all(Directory, ignored);
}

void ProcessFixture::startPlatform() {
  Platform.Name = "platform";
  Platform.Role = "platform";
  startServer(Platform, 0);
}

void ProcessFixture::startServers() {
  auto add = [this](const char *Prefix, const char *Role, uint32_t Count) {
    for (uint32_t i = 1; i <= Count; ++i) {
      Servers.push_back(std::make_unique<FleetServer>());
      Servers.back()->Name = Prefix + std::to_string(i);
      Servers.back()->Role = Role;
      startServer(*Servers.back(), 0);
    }
  };
  add("p", "prefill", Options.PrefillServers);
  add("d", "decode", Options.DecodeServers);
  add("s", "service", Options.ServiceServers);
}

std::vector<std::string>
ProcessFixture::serverArguments(const FleetServer &Server) const {
  if (Server.Role == "platform")
    return {program("standin_platform")};
  if (Server.Role == "service") {
    std::vector<std::string> arguments = {program("standin_service")};
    if (Options.ChecksFencing)
      arguments.push_back("--checks-fencing");
    arguments.insert(arguments.end(), Options.ServiceFlags.begin(),
                     Options.ServiceFlags.end());
    return arguments;
  }
  std::vector<std::string> arguments = {
      program("standin_engine"),
      "--role",
      Server.Role,
      "--model",
      "summary",
      "--slots",
      std::to_string(Options.Slots),
      "--prefill-tokens-per-second",
      std::to_string(Options.PrefillTokensPerSecond),
      "--token-interval-ms",
      std::to_string(Options.TokenIntervalMs),
      "--link-bytes-per-second",
      std::to_string(Options.LinkBytesPerSecond),
      "--eviction-ms",
      std::to_string(Options.EvictionMs),
      "--kv-bytes-per-token",
      std::to_string(Options.KvBytesPerToken),
      "--report-lag-ms",
      std::to_string(Options.ReportLagMs)};
  if (Options.ChecksFencing)
    arguments.push_back("--checks-fencing");
  arguments.insert(arguments.end(), Options.EngineFlags.begin(),
                   Options.EngineFlags.end());
  return arguments;
}

void ProcessFixture::startServer(FleetServer &Server, uint16_t Port) {
  std::vector<std::string> arguments = serverArguments(Server);
  arguments.insert(arguments.end(), {"--port", std::to_string(Port)});
  Server.Process = std::make_unique<ChildProcess>(std::move(arguments));
  auto line = Server.Process->waitForLine(
      [](const std::string &Line) { return Line.rfind("listening ", 0) == 0; },
      WaitTimeout);
  if (!line)
    throw std::runtime_error(Server.Name + " did not start:\n" +
                             Server.Process->output());
  Server.Address = line->substr(10);
}

std::string ProcessFixture::settingsText(const FleetRouter &Router) const {
  size_t index = std::stoul(Router.Name.substr(1)) - 1;
  std::ostringstream text;
  text << "[instance]\nname = \"" << Router.Name << "\"\nregion = \"" << Region
       << "\"\nfailure_domain = \"" << failureDomainOf(index) << "\"\n"
       << "[callers]\naddress = \"127.0.0.1:0\"\nidle_timeout_ms = "
       << Options.CallerIdleTimeout.count() << "\n"
       << "[operators]\naddress = \"127.0.0.1:0\"\ntoken_digest = \""
       << crocusspur::internal::sha256Hex(OperatorToken) << "\"\n"
       << "[peers]\naddress = \"127.0.0.1:0\"\n"
       << "key = \"key-shared-by-the-test-fleet\"\n"
       << "[platform]\naddress = \"" << Platform.Address << "\"\n"
       << "[timing]\nheartbeat_period_ms = " << Options.Heartbeat.count()
       << "\nlease_period_ms = " << Options.Lease.count()
       << "\nprogress_timeout_ms = " << Options.ProgressTimeout.count()
       << "\nshutdown_limit_ms = " << Options.ShutdownLimit.count()
       << "\nclock_margin_ms = " << Options.ClockMargin.count()
       << "\n[log]\nlevel = \"" << Options.LogLevel << "\"\n"
       << Options.ExtraSettings;
  return text.str();
}

void ProcessFixture::startRouter(FleetRouter &Router) {
  std::ofstream(Router.SettingsFile) << settingsText(Router);
  Router.Process = std::make_unique<ChildProcess>(std::vector<std::string>{
      program("crocusspur"), "serve", "--settings", Router.SettingsFile});
  Router.CallerAddress = waitForListener(Router, "callers");
  Router.OperatorAddress = waitForListener(Router, "operators");
  Router.PeerAddress = waitForListener(Router, "peers");
  if (Proxy) {
    Proxy->setTarget(Router.Name, Router.PeerAddress);
    Router.PeerAddress = Proxy->publishedAddress(Router.Name);
  }
}

std::string ProcessFixture::waitForListener(FleetRouter &Router,
                                            const std::string &Listener) {
  auto matches = [&](const std::string &Line) {
    return Line.find("\"listening\"") != std::string::npos &&
           Line.find("\"" + Listener + "\"") != std::string::npos;
  };
  auto line = Router.Process->waitForLine(matches, WaitTimeout);
  if (!line)
    throw std::runtime_error(Router.Name + " did not open the listener " +
                             Listener + ":\n" + Router.Process->output());
  auto object = parseJson(*line);
  auto fields = object->getObject("context_map");
  return (fields ? fields : object)->getValue<std::string>("address");
}

void ProcessFixture::restartRouter(size_t Index) { startRouter(router(Index)); }

void ProcessFixture::restartServer(const std::string &Name) {
  FleetServer &server = Name == "platform" ? Platform : this->server(Name);
  server.Process.reset();
  size_t colon = server.Address.rfind(':');
  startServer(server, static_cast<uint16_t>(
                          std::stoul(server.Address.substr(colon + 1))));
}

FleetServer &ProcessFixture::server(const std::string &Name) {
  for (const auto &it : Servers)
    if (it->Name == Name)
      return *it;
  throw std::runtime_error("unknown server " + Name);
}

std::string ProcessFixture::configText(uint64_t Version, uint64_t Base) const {
  Poco::JSON::Array groups;
  for (const FleetGroup &it : Options.Groups)
    groups.add(groupJson(it));
  Poco::JSON::Array servers;
  std::vector<std::string> engines;
  std::vector<std::string> services;
  for (const auto &it : Servers) {
    Poco::JSON::Object server;
    server.set("name", it->Name);
    server.set("role", it->Role);
    server.set("address", it->Address);
    server.set("region", Region);
    server.set("failure_domain",
               failureDomainOf(std::stoul(it->Name.substr(1)) - 1));
    server.set("slots", it->Role == "service" ? 16 : Options.Slots);
    server.set("checks_fencing", Options.ChecksFencing);
    server.set("prefill_tokens_per_second", Options.PrefillTokensPerSecond);
    server.set("link_bytes_per_second", Options.LinkBytesPerSecond);
    server.set("token_interval_ms", Options.TokenIntervalMs);
    servers.add(server);
    (it->Role == "service" ? services : engines).push_back(it->Name);
  }
  Poco::JSON::Object shard;
  shard.set("name", "summary-0");
  shard.set("servers", arrayOf(engines));
  Poco::JSON::Array shards;
  shards.add(shard);
  Poco::JSON::Object model;
  model.set("name", "summary");
  model.set("kv_bytes_per_token", Options.KvBytesPerToken);
  model.set("eviction_ms", Options.EvictionMs);
  model.set("shards", shards);
  Poco::JSON::Array models;
  models.add(model);
  Poco::JSON::Object service;
  service.set("name", "bays");
  service.set("servers", arrayOf(services));
  service.set("idempotent_methods", arrayOf(Options.IdempotentMethods));
  Poco::JSON::Array serviceList;
  serviceList.add(service);
  Poco::JSON::Object document;
  document.set("version", Version);
  document.set("base", Base);
  document.set("patch_id", "fixture-" + std::to_string(Version));
  document.set("groups", groups);
  document.set("models", models);
  document.set("services", serviceList);
  document.set("servers", servers);
  return toJson(document);
}

std::string ProcessFixture::listText(uint64_t Sequence) const {
  Poco::JSON::Array instances;
  for (size_t i = 0; i < Routers.size(); ++i) {
    if (Routers[i]->State.empty())
      continue;
    Poco::JSON::Object instance;
    instance.set("name", Routers[i]->Name);
    instance.set("state", Routers[i]->State);
    instance.set("region", Region);
    instance.set("failure_domain", failureDomainOf(i));
    instance.set("peer_address", Routers[i]->PeerAddress);
    instances.add(instance);
  }
  Poco::JSON::Array servers;
  for (const auto &it : Servers) {
    Poco::JSON::Object server;
    server.set("name", it->Name);
    server.set("state", it->State);
    servers.add(server);
  }
  Poco::JSON::Object list;
  list.set("sequence", Sequence);
  list.set("instances", instances);
  list.set("servers", servers);
  return toJson(list);
}

uint64_t ProcessFixture::publishConfig() {
  uint64_t version = LastVersion + 1;
  publishConfigText(configText(version, LastVersion));
  return LastVersion = version;
}

HttpResponse ProcessFixture::publishConfigText(const std::string &Text,
                                               const std::string &Query) {
  return send({Platform.Address, "POST", "/control/config" + Query, Text, {}});
}

uint64_t ProcessFixture::publishList() {
  ++LastSequence;
  send({Platform.Address,
        "POST",
        "/control/instances",
        listText(LastSequence),
        {}});
  return LastSequence;
}

bool ProcessFixture::waitForReady(size_t Index, Milliseconds Limit) {
  return eventually(
      [&] {
        return send({router(Index).OperatorAddress, "GET", "/readyz", "", {}})
                   .Status == 200;
      },
      Limit);
}

// The timestamps of keys have a resolution of 1 ms, and a key from the
// millisecond in which the list became active counts as issued earlier. So more
// than 2 ms have to pass.
bool ProcessFixture::waitForKeyHome(size_t Index, Milliseconds Limit) {
  bool active = eventually(
      [&] {
        return state(Index)->getObject("keys")->getObject("list")->optValue(
            "active", false);
      },
      Limit);
  auto seen = std::chrono::system_clock::now();
  return active &&
         eventually(
             [&] {
               return std::chrono::system_clock::now() - seen > Milliseconds(2);
             },
             Limit);
}

HttpRequest ProcessFixture::call(size_t Router, const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body) const {
  HttpRequest request;
  request.Address = Routers.at(Router)->CallerAddress;
  request.Method = Method;
  request.Path = Path;
  request.Body = Body;
  request.Headers["Authorization"] = "Bearer " + Options.Groups.front().Token;
  if (!Body.empty())
    request.Headers["Content-Type"] = "application/json";
  return request;
}

HttpRequest ProcessFixture::completion(size_t Router, const std::string &Prompt,
                                       uint32_t MaxTokens, bool Stream) const {
  Poco::JSON::Object body;
  body.set("model", "summary");
  body.set("prompt", Prompt);
  body.set("max_tokens", MaxTokens);
  body.set("stream", Stream);
  return call(Router, "POST", "/v1/completions", toJson(body));
}

HttpResponse ProcessFixture::control(const std::string &Server,
                                     const std::string &Path) {
  const std::string &address =
      Server == "platform" ? Platform.Address : server(Server).Address;
  return send({address, "POST", "/control/" + Path, "", {}});
}

Poco::JSON::Object::Ptr
ProcessFixture::executionLog(const std::string &Server) {
  HttpResponse response = control(Server, "books");
  return response.Status == 200 ? parseJson(response.Body) : nullptr;
}

void ProcessFixture::forEachEngineEntry(
    const std::string &List,
    const std::function<void(const std::string &, Poco::JSON::Object &)>
        &Each) {
  for (const auto &it : Servers) {
    auto log = it->Role == "service" ? nullptr : this->executionLog(it->Name);
    if (!log)
      continue;
    auto array = log->getArray(List);
    for (size_t i = 0; i < array->size(); ++i)
      Each(it->Name, *array->getObject(static_cast<unsigned>(i)));
  }
}

std::vector<std::string> ProcessFixture::heldRequests() {
  std::vector<std::string> found;
  forEachEngineEntry(
      "held", [&](const std::string &Server, Poco::JSON::Object &Entry) {
        found.push_back(Server + ":" + Entry.getValue<std::string>("kind") +
                        ":" + Entry.getValue<std::string>("request"));
      });
  return found;
}

size_t ProcessFixture::countRuns(const std::string &Kind,
                                 const std::string &Outcome) {
  size_t count = 0;
  forEachEngineEntry("runs", [&](const std::string &, Poco::JSON::Object &Run) {
    if ((Kind.empty() || Run.getValue<std::string>("kind") == Kind) &&
        (Outcome.empty() || Run.getValue<std::string>("outcome") == Outcome))
      ++count;
  });
  return count;
}

HttpResponse ProcessFixture::sendOperatorRequest(size_t Router,
                                                 const std::string &Method,
                                                 const std::string &Path,
                                                 const std::string &Body) {
  HttpRequest request;
  request.Address = router(Router).OperatorAddress;
  request.Method = Method;
  request.Path = Path;
  request.Body = Body;
  request.Headers["Authorization"] = std::string("Bearer ") + OperatorToken;
  return send(request);
}

Poco::JSON::Object::Ptr ProcessFixture::state(size_t Router) {
  return parseJson(sendOperatorRequest(Router, "GET", "/admin/v1/state").Body);
}

} // namespace crocusspur::test
