#include "capacity_documents.h"

#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <stdexcept>

namespace crocusspur::bench {
namespace {

constexpr int DomainCount = 5;

std::string formatIndex(const char *Format, int Index) {
  char text[160];
  std::snprintf(text, sizeof text, Format, Index);
  return text;
}

std::string locationFields(int Index) {
  int domain = Index % DomainCount;
  return std::string(R"("region":")") +
         (domain < 3 ? "ie-west" : "kr-central") +
         R"(","failure_domain":"fd-)" + std::to_string(domain) + '"';
}

std::string serverName(int Index) { return formatIndex("srv-%03d", Index); }

// All members of a shard are in the same failure domain.
std::string serverText(int Index) {
  bool prefill = Index % 4 == 0;
  return R"({"name":")" + serverName(Index) + R"(","role":")" +
         (prefill ? "prefill" : "decode") + R"(","address":"10.20.)" +
         std::to_string(Index / 250) + "." + std::to_string(1 + Index % 250) +
         R"(:9100",)" + locationFields(Index / 4) + R"(,"slots":)" +
         (prefill ? "16" : "128") +
         R"(,"checks_fencing":true,"prefill_tokens_per_second":100000)"
         R"(,"link_bytes_per_second":20000000000,"token_interval_ms":29})";
}

// Each account has one token. One in ten is interactive, one in ten is batch.
std::string groupText(int Index) {
  const char *className = Index % 10 == 0   ? "interactive"
                          : Index % 10 == 1 ? "batch"
                                            : "normal";
  return R"({"name":")" + groupName(Index) + R"(","class":")" + className +
         R"(","first_output_ms":510,"pace_ms":29,"token_digests":[")" +
         formatIndex("%064x", Index + 1) + R"("]})";
}

std::string modelText(const FleetSize &Size, int Index) {
  std::string shards;
  for (int i = Index; i < Size.shards(); i += Size.models()) {
    std::string servers;
    for (int k = 0; k < 4; ++k)
      servers += (k ? ",\"" : "\"") + serverName(4 * i + k) + '"';
    shards += (shards.empty() ? "" : ",") +
              formatIndex(R"({"name":"shard-%03d")", i) + R"(,"servers":[)" +
              servers + "]}";
  }
  return R"({"name":")" + modelName(Index) +
         R"(","kv_bytes_per_token":131072,"shards":[)" + shards + "]}";
}

template <typename F> std::string joinItems(int Count, F MakeItem) {
  std::string text;
  for (int i = 0; i < Count; ++i)
    text += (i ? "," : "") + MakeItem(i);
  return text;
}

template <typename Pointer>
Pointer parseOrThrow(boost::leaf::result<Pointer> (*Parse)(const std::string &),
                     const std::string &Text) {
  return boost::leaf::try_handle_all(
      [&] { return Parse(Text); },
      [](const DiagnosticList &List) -> Pointer {
        throw std::runtime_error(List.Diagnostics.front().str());
      },
      []() -> Pointer { throw std::runtime_error("document doesn't parse"); });
}

} // namespace

std::string instanceName(int Index) { return formatIndex("node-%03d", Index); }
std::string groupName(int Index) { return formatIndex("account-%04d", Index); }
std::string modelName(int Index) { return formatIndex("model-%02d", Index); }

std::string configText(const FleetSize &Size, uint64_t Version) {
  return R"({"version":)" + std::to_string(Version) + R"(,"base":)" +
         std::to_string(Version - 1) + R"(,"patch_id":"change-)" +
         std::to_string(Version) + R"(","groups":[)" +
         joinItems(Size.Groups, groupText) + R"(],"models":[)" +
         joinItems(Size.models(), [&](int I) { return modelText(Size, I); }) +
         R"(],"services":[],"servers":[)" +
         joinItems(Size.servers(), serverText) + "]}";
}

std::string listText(const FleetSize &Size, uint64_t Sequence, int Leaving) {
  auto instance = [&](int I) {
    return R"({"name":")" + instanceName(I) + R"(","state":")" +
           (I == Leaving ? "leaving" : "live") + R"(",)" + locationFields(I) +
           R"(,"peer_address":"10.10.)" + std::to_string(I / 250) + "." +
           std::to_string(1 + I % 250) + R"(:8082"})";
  };
  auto server = [](int I) {
    return R"({"name":")" + serverName(I) + R"(","state":"live"})";
  };
  return R"({"sequence":)" + std::to_string(Sequence) + R"(,"instances":[)" +
         joinItems(Size.Instances, instance) + R"(],"servers":[)" +
         joinItems(Size.servers(), server) + "]}";
}

ConfigPtr parseConfig(const std::string &Text) {
  return parseOrThrow(parseConfigDocument, Text);
}

InstanceListPtr parseList(const std::string &Text) {
  return parseOrThrow(parseInstanceList, Text);
}

} // namespace crocusspur::bench
