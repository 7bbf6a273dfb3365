// The configuration that the platform publishes: groups, models, services and
// backend servers. Its version number only increases.
#ifndef CROCUSSPUR_CONFIG_DOCUMENT_H
#define CROCUSSPUR_CONFIG_DOCUMENT_H

#include "crocusspur/errors.h"
#include "crocusspur/types.h"

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur {

enum class ServerRole : uint8_t { Prefill, Decode, Service };

const char *toString(ServerRole Role);

struct GroupConfig {
  std::string Name;
  double Share = 1.0; // weight against the other groups, greater than 0
  RequestClass Class = RequestClass::Normal;
  Milliseconds FirstOutputTarget{2000};   // deadline of the first output
  Milliseconds OutputIntervalTarget{100}; // maximum mean time between tokens
  bool MayWait = false;      // queued past FirstOutputTarget instead of refused
  uint32_t MaxQueued = 1000; // limit of the group's queue
  std::vector<std::string> Regions;        // empty: any
  std::vector<std::string> FailureDomains; // empty: any
  std::vector<std::string> TokenDigests;   // SHA-256, lower-case hexadecimal
};

struct ServerConfig {
  std::string Name;
  ServerRole Role = ServerRole::Service;
  std::string Address; // "IP:port"
  std::string Region;
  std::string FailureDomain;
  uint32_t Slots = 4; // concurrent decodes, prefills or service calls
  bool ChecksFencing = false;
  double PrefillTokensPerSecond = 20000; // prefill and decode servers
  double LinkBytesPerSecond = 1e9;       // KV import or export rate
  Milliseconds TokenInterval{25};        // decode servers: time per token
};

struct ShardConfig {
  std::string Name;
  std::vector<std::string> Servers;
};

struct ModelConfig {
  std::string Name;
  uint32_t KvBytesPerToken = 131072;
  Milliseconds EvictionTime{800}; // lifetime of an unused prefill result
  std::vector<ShardConfig> Shards;
};

struct ServiceConfig {
  std::string Name;
  std::vector<std::string> Servers;
  std::vector<std::string> IdempotentMethods; // HTTP methods safe to repeat
};

struct ConfigDocument {
  uint64_t Version = 0;
  uint64_t Base = 0; // version that the change was written against
  std::string PatchId;
  uint64_t MembershipEpoch = 0;
  std::vector<GroupConfig> Groups;
  std::vector<ModelConfig> Models;
  std::vector<ServiceConfig> Services;
  std::vector<ServerConfig> Servers;
  uint64_t Digest = 0; // xxHash64 of Text
  std::string Text;    // the document as published
  // Positions in Groups and Servers in order of name, and of every token digest
  // (group, position) in order of digest. Filled by buildIndex(); while their
  // sizes differ from those of the indexed vectors, the find functions search
  // linearly.
  std::vector<uint32_t> GroupsByName;
  std::vector<uint32_t> ServersByName;
  std::vector<std::pair<uint32_t, uint32_t>> GroupsByTokenDigest;

  // Must be called again after a name or digest has changed.
  void buildIndex();

  const GroupConfig *findGroup(const std::string &Name) const;
  const GroupConfig *findGroupByTokenDigest(const std::string &Digest) const;
  const ModelConfig *findModel(const std::string &Name) const;
  const ServiceConfig *findService(const std::string &Name) const;
  const ServerConfig *findServer(const std::string &Name) const;
  // Returns the model that owns the shard, or null.
  const ModelConfig *findModelOfShard(const std::string &Shard) const;
};

using ConfigPtr = std::shared_ptr<const ConfigDocument>;

// Parses and checks a published JSON document as a whole. On failure the LEAF
// error carries a DiagnosticList with every error (the key is a JSON path).
boost::leaf::result<ConfigPtr> parseConfigDocument(const std::string &Text);

// Returns true unless the group is restricted to other regions or failure
// domains.
bool isAllowedIn(const GroupConfig &Group, const std::string &Region,
                 const std::string &FailureDomain);

} // namespace crocusspur

#endif
