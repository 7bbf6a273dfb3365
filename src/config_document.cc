#include "crocusspur/config_document.h"

#include "json_reader.h"
#include "name_index.h"

#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>
#include <utility>
#include <xxhash.h>

namespace crocusspur {
namespace {

using internal::JsonReader;

// Name of the input in diagnostics.
const char *const InputName = "config";

// Longest duration in a document, so that sums of durations can't overflow.
constexpr uint64_t MaxMilliseconds = 86400000;

uint64_t readBounded(JsonReader &Reader, const std::string &Key,
                     uint64_t Default, uint64_t Min, uint64_t Max) {
  uint64_t value = Reader.number(Key, Default);
  if (value >= Min && value <= Max)
    return value;
  Reader.addDiagnostic(Key, "a whole number from " + std::to_string(Min) +
                                " to " + std::to_string(Max));
  return Default;
}

uint32_t readCount(JsonReader &Reader, const std::string &Key, uint32_t Default,
                   uint32_t Min) {
  return static_cast<uint32_t>(
      readBounded(Reader, Key, Default, Min, UINT32_MAX));
}

Milliseconds readDuration(JsonReader &Reader, const std::string &Key,
                          Milliseconds Default) {
  auto ms = static_cast<uint64_t>(Default.count());
  return Milliseconds(readBounded(Reader, Key, ms, 1, MaxMilliseconds));
}

double readPositive(JsonReader &Reader, const std::string &Key,
                    double Default) {
  double value = Reader.real(Key, Default);
  if (value > 0 && std::isfinite(value))
    return value;
  Reader.addDiagnostic(Key, "a finite number greater than 0");
  return Default;
}

RequestClass readClass(JsonReader &Reader) {
  std::string name = Reader.text("class");
  for (RequestClass it :
       {RequestClass::Interactive, RequestClass::Normal, RequestClass::Batch})
    if (name == toString(it))
      return it;
  if (!name.empty())
    Reader.addDiagnostic("class", "\"interactive\", \"normal\" or \"batch\"");
  return RequestClass::Normal;
}

ServerRole readRole(JsonReader &Reader) {
  std::string name = Reader.text("role");
  for (ServerRole it :
       {ServerRole::Prefill, ServerRole::Decode, ServerRole::Service})
    if (name == toString(it))
      return it;
  if (!name.empty())
    Reader.addDiagnostic("role", "\"prefill\", \"decode\" or \"service\"");
  return ServerRole::Service;
}

bool isAddress(const std::string &Text) {
  size_t colon = Text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return false;
  std::string host = Text.substr(0, colon);
  bool bracketed = host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  if (bracketed != (host.find(':') != std::string::npos))
    return false;
  unsigned port = 0;
  const char *end = Text.data() + Text.size();
  auto read = std::from_chars(Text.data() + colon + 1, end, port);
  Poco::Net::IPAddress ip;
  return read.ec == std::errc() && read.ptr == end && port > 0 &&
         port <= 65535 && Poco::Net::IPAddress::tryParse(host, ip);
}

// Returns the digest in lower case, or an empty string if it's malformed.
std::string normalizeDigest(std::string Text) {
  if (Text.size() != 64)
    return "";
  for (char &it : Text) {
    if (it >= 'A' && it <= 'F')
      it = static_cast<char>(it - 'A' + 'a');
    if (!((it >= '0' && it <= '9') || (it >= 'a' && it <= 'f')))
      return "";
  }
  return Text;
}

// A reference to a server by name, checked after all servers have been read.
struct ServerReference {
  std::string Path;
  std::string Server;
  bool FromShard = false;
};

class DocumentParser {
public:
  DocumentParser(const std::string &Text, DiagnosticList &Diagnostics)
      : Diagnostics(Diagnostics), Root(Text, InputName, Diagnostics) {
    Document.Text = Text;
    Document.Digest = XXH64(Text.data(), Text.size(), 0);
  }

  ConfigDocument parse();

private:
  void readHeader();
  void readGroup(JsonReader &Reader);
  void readDigests(JsonReader &Reader, GroupConfig &Group);
  void readModel(JsonReader &Reader);
  void readShard(JsonReader &Reader, ModelConfig &Model);
  void readService(JsonReader &Reader);
  void readServer(JsonReader &Reader);
  std::vector<std::string> readReferences(JsonReader &Reader, bool FromShard);
  std::string uniqueName(JsonReader &Reader, const char *Kind);
  void checkReference(const ServerReference &Reference);
  void checkDecodeServers();
  void addDiagnostic(std::string Path, std::string Expected);

  DiagnosticList &Diagnostics;
  JsonReader Root;
  ConfigDocument Document;
  std::set<std::pair<std::string, std::string>> Names;     // kind and name
  std::set<std::string> Digests;                           // across all groups
  std::vector<ServerReference> References;                 // in reading order
  std::map<std::string, std::string> ShardPathOfServer;    // first reference
  std::vector<std::pair<std::string, ShardConfig>> Shards; // with their paths
};

ConfigDocument DocumentParser::parse() {
  readHeader();
  Root.forEach("groups", [&](JsonReader &Reader) { readGroup(Reader); });
  Root.forEach("models", [&](JsonReader &Reader) { readModel(Reader); });
  Root.forEach("services", [&](JsonReader &Reader) { readService(Reader); });
  Root.forEach("servers", [&](JsonReader &Reader) { readServer(Reader); });
  Document.buildIndex();
  for (const ServerReference &it : References)
    checkReference(it);
  checkDecodeServers();
  return std::move(Document);
}

void DocumentParser::readHeader() {
  Document.Version = Root.number("version");
  if (Root.has("version") && Document.Version == 0)
    Root.addDiagnostic("version", "a whole number of 1 or more");
  Document.Base = Root.number("base", 0);
  if (Document.Version > 0 && Document.Base >= Document.Version)
    Root.addDiagnostic("base", "a number below the version");
  Document.PatchId = Root.text("patch_id", "");
  Document.MembershipEpoch = Root.number("membership_epoch", 0);
}

void DocumentParser::readGroup(JsonReader &Reader) {
  GroupConfig group;
  group.Name = uniqueName(Reader, "group");
  group.Share = readPositive(Reader, "share", group.Share);
  group.Class = readClass(Reader);
  group.FirstOutputTarget =
      readDuration(Reader, "first_output_ms", group.FirstOutputTarget);
  group.OutputIntervalTarget =
      readDuration(Reader, "pace_ms", group.OutputIntervalTarget);
  group.MayWait = Reader.flag("may_wait", group.MayWait);
  group.MaxQueued = readCount(Reader, "max_queued", group.MaxQueued, 0);
  group.Regions = Reader.texts("regions");
  group.FailureDomains = Reader.texts("failure_domains");
  readDigests(Reader, group);
  Document.Groups.push_back(std::move(group));
}

void DocumentParser::readDigests(JsonReader &Reader, GroupConfig &Group) {
  if (!Reader.has("token_digests"))
    Reader.addDiagnostic("token_digests", "an array of strings");
  std::vector<std::string> digests = Reader.texts("token_digests");
  for (size_t i = 0; i < digests.size(); ++i) {
    std::string key = "token_digests[" + std::to_string(i) + "]";
    std::string digest = normalizeDigest(digests[i]);
    if (digest.empty())
      Reader.addDiagnostic(key, "a SHA-256 of 64 hexadecimal digits");
    else if (!Digests.insert(digest).second)
      Reader.addDiagnostic(key,
                           "a digest that occurs only once in the document");
    Group.TokenDigests.push_back(std::move(digest));
  }
}

void DocumentParser::readModel(JsonReader &Reader) {
  ModelConfig model;
  model.Name = uniqueName(Reader, "model");
  model.KvBytesPerToken =
      readCount(Reader, "kv_bytes_per_token", model.KvBytesPerToken, 1);
  model.EvictionTime = readDuration(Reader, "eviction_ms", model.EvictionTime);
  Reader.forEach("shards", [&](JsonReader &Shard) { readShard(Shard, model); });
  Document.Models.push_back(std::move(model));
}

void DocumentParser::readShard(JsonReader &Reader, ModelConfig &Model) {
  ShardConfig shard;
  shard.Name = uniqueName(Reader, "shard");
  shard.Servers = readReferences(Reader, true);
  Shards.emplace_back(Reader.path("servers"), shard);
  Model.Shards.push_back(std::move(shard));
}

void DocumentParser::readService(JsonReader &Reader) {
  ServiceConfig service;
  service.Name = uniqueName(Reader, "service");
  service.Servers = readReferences(Reader, false);
  service.IdempotentMethods = Reader.texts("idempotent_methods");
  Document.Services.push_back(std::move(service));
}

void DocumentParser::readServer(JsonReader &Reader) {
  ServerConfig server;
  server.Name = uniqueName(Reader, "server");
  server.Role = readRole(Reader);
  server.Address = Reader.text("address");
  if (!server.Address.empty() && !isAddress(server.Address))
    Reader.addDiagnostic("address", "IP:port with a port from 1 to 65535");
  server.Region = Reader.text("region", "");
  server.FailureDomain = Reader.text("failure_domain", "");
  server.Slots = readCount(Reader, "slots", server.Slots, 1);
  server.ChecksFencing = Reader.flag("checks_fencing", server.ChecksFencing);
  server.PrefillTokensPerSecond = readPositive(
      Reader, "prefill_tokens_per_second", server.PrefillTokensPerSecond);
  server.LinkBytesPerSecond =
      readPositive(Reader, "link_bytes_per_second", server.LinkBytesPerSecond);
  server.TokenInterval =
      readDuration(Reader, "token_interval_ms", server.TokenInterval);
  Document.Servers.push_back(std::move(server));
}

std::vector<std::string> DocumentParser::readReferences(JsonReader &Reader,
                                                        bool FromShard) {
  std::vector<std::string> names = Reader.texts("servers");
  std::set<std::string> seen;
  for (size_t i = 0; i < names.size(); ++i) {
    std::string key = "servers[" + std::to_string(i) + "]";
    if (!seen.insert(names[i]).second)
      Reader.addDiagnostic(key, "a server that occurs only once in this list");
    else
      References.push_back({Reader.path(key), names[i], FromShard});
  }
  return names;
}

std::string DocumentParser::uniqueName(JsonReader &Reader, const char *Kind) {
  std::string name = Reader.text("name");
  if (!name.empty() && !Names.insert({Kind, name}).second)
    Reader.addDiagnostic("name",
                         std::string("a name that no other ") + Kind + " has");
  return name;
}

void DocumentParser::checkReference(const ServerReference &Reference) {
  const ServerConfig *server = Document.findServer(Reference.Server);
  if (!server)
    return addDiagnostic(Reference.Path,
                         "the name of a server in the document");
  bool isService = server->Role == ServerRole::Service;
  if (Reference.FromShard && isService)
    return addDiagnostic(Reference.Path,
                         "a server with role prefill or decode");
  if (!Reference.FromShard && !isService)
    return addDiagnostic(Reference.Path, "a server with role service");
  if (!Reference.FromShard)
    return;
  auto [first, added] =
      ShardPathOfServer.emplace(Reference.Server, Reference.Path);
  if (!added)
    addDiagnostic(Reference.Path,
                  "a server that is in one shard only; it is also "
                  "at " +
                      first->second);
}

void DocumentParser::checkDecodeServers() {
  for (const auto &[path, shard] : Shards) {
    bool found =
        std::any_of(shard.Servers.begin(), shard.Servers.end(),
                    [&](const std::string &Name) {
                      const ServerConfig *server = Document.findServer(Name);
                      return server && server->Role == ServerRole::Decode;
                    });
    if (!found)
      addDiagnostic(path, "at least one server with role decode");
  }
}

void DocumentParser::addDiagnostic(std::string Path, std::string Expected) {
  Diagnostics.Diagnostics.push_back(
      {InputName, 0, std::move(Path), std::move(Expected)});
}

template <typename T>
const T *findByName(const std::vector<T> &Items, const std::string &Name) {
  for (const T &it : Items)
    if (it.Name == Name)
      return &it;
  return nullptr;
}

bool contains(const std::vector<std::string> &Items, const std::string &Item) {
  return std::find(Items.begin(), Items.end(), Item) != Items.end();
}

} // namespace

const char *toString(ServerRole Role) {
  switch (Role) {
  case ServerRole::Prefill:
    return "prefill";
  case ServerRole::Decode:
    return "decode";
  case ServerRole::Service:
    return "service";
  }
  return "service";
}

void ConfigDocument::buildIndex() {
  GroupsByName = internal::indexByName(Groups);
  ServersByName = internal::indexByName(Servers);
  GroupsByTokenDigest.clear();
  for (uint32_t i = 0; i < Groups.size(); ++i)
    for (uint32_t k = 0; k < Groups[i].TokenDigests.size(); ++k)
      GroupsByTokenDigest.emplace_back(i, k);
  std::sort(GroupsByTokenDigest.begin(), GroupsByTokenDigest.end(),
            [this](const auto &A, const auto &B) {
              return Groups[A.first].TokenDigests[A.second] <
                     Groups[B.first].TokenDigests[B.second];
            });
}

const GroupConfig *ConfigDocument::findGroup(const std::string &Name) const {
  return internal::findByName(Groups, GroupsByName, Name);
}

const GroupConfig *
ConfigDocument::findGroupByTokenDigest(const std::string &Digest) const {
  if (GroupsByTokenDigest.empty()) {
    for (const GroupConfig &it : Groups)
      if (contains(it.TokenDigests, Digest))
        return &it;
    return nullptr;
  }
  auto digestAt = [this](const auto &At) -> const std::string & {
    return Groups[At.first].TokenDigests[At.second];
  };
  auto it =
      std::lower_bound(GroupsByTokenDigest.begin(), GroupsByTokenDigest.end(),
                       Digest, [&](const auto &At, const auto &Wanted) {
                         return digestAt(At) < Wanted;
                       });
  bool found = it != GroupsByTokenDigest.end() && digestAt(*it) == Digest;
  return found ? &Groups[it->first] : nullptr;
}

const ModelConfig *ConfigDocument::findModel(const std::string &Name) const {
  return findByName(Models, Name);
}

const ServiceConfig *
ConfigDocument::findService(const std::string &Name) const {
  return findByName(Services, Name);
}

const ServerConfig *ConfigDocument::findServer(const std::string &Name) const {
  return internal::findByName(Servers, ServersByName, Name);
}

const ModelConfig *
ConfigDocument::findModelOfShard(const std::string &Shard) const {
  for (const ModelConfig &it : Models)
    if (findByName(it.Shards, Shard))
      return &it;
  return nullptr;
}

boost::leaf::result<ConfigPtr> parseConfigDocument(const std::string &Text) {
  DiagnosticList diagnostics;
  auto document = std::make_shared<ConfigDocument>(
      DocumentParser(Text, diagnostics).parse());
  if (!diagnostics.Diagnostics.empty())
    return boost::leaf::new_error(std::move(diagnostics));
  return ConfigPtr(std::move(document));
}

bool isAllowedIn(const GroupConfig &Group, const std::string &Region,
                 const std::string &FailureDomain) {
  bool region = Group.Regions.empty() || contains(Group.Regions, Region);
  bool domain = Group.FailureDomains.empty() ||
                contains(Group.FailureDomains, FailureDomain);
  return region && domain;
}

} // namespace crocusspur
