#include "core_samples.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <stdexcept>

namespace crocusspur::test {
namespace {

struct SampleServer {
  std::string Name;
  std::string Role;
  int Slots;
};

std::vector<SampleServer> sampleServers(const SampleOptions &Options) {
  std::vector<SampleServer> servers;
  for (int i = 1; i <= Options.Prefills; ++i)
    servers.push_back({"p" + std::to_string(i), "prefill", 2});
  for (int i = 1; i <= Options.Decodes; ++i)
    servers.push_back({"d" + std::to_string(i), "decode", Options.Slots});
  for (int i = 1; i <= Options.ServiceServers; ++i)
    servers.push_back({"s" + std::to_string(i), "service", 8});
  return servers;
}

std::string quoted(const std::string &Text) { return '"' + Text + '"'; }

std::string joined(const std::vector<std::string> &Parts) {
  std::string text;
  for (const std::string &it : Parts)
    text += (text.empty() ? "" : ",") + it;
  return text;
}

std::string groupText(const std::string &Name, const std::string &Class,
                      const std::string &Rest) {
  return R"({"name":")" + Name + R"(","class":")" + Class +
         R"(","token_digests":[])" + Rest + "}";
}

std::string domainOf(int Index) {
  return std::string("hall-") + "abc"[Index % 3];
}

template <typename Pointer>
Pointer checked(boost::leaf::result<Pointer> (*Parse)(const std::string &),
                const std::string &Text) {
  return boost::leaf::try_handle_all(
      [&] { return Parse(Text); },
      [](const DiagnosticList &List) -> Pointer {
        std::string text;
        for (const Diagnostic &it : List.Diagnostics)
          text += it.str() + "\n";
        throw std::runtime_error(text);
      },
      []() -> Pointer { throw std::runtime_error("unknown parse error"); });
}

} // namespace

std::string sampleConfigText(const SampleOptions &Options) {
  std::vector<std::string> servers;
  std::vector<std::string> shard;
  std::vector<std::string> service;
  int index = 0;
  for (const SampleServer &it : sampleServers(Options)) {
    servers.push_back(
        R"({"name":")" + it.Name + R"(","role":")" + it.Role +
        R"(","address":"127.0.0.1:)" + std::to_string(9100 + index) +
        R"(","region":"ie-west","failure_domain":")" + domainOf(index) +
        R"(","slots":)" + std::to_string(it.Slots) +
        R"(,"link_bytes_per_second":10000000000})");
    ++index;
    (it.Role == "service" ? service : shard).push_back(quoted(it.Name));
  }
  std::string groups =
      groupText("drivers", "interactive", R"(,"share":3)") + "," +
      groupText("dispatch", "batch", R"(,"may_wait":true)") + "," +
      groupText("bound", "normal", R"(,"regions":["elsewhere"])");
  return R"({"version":)" + std::to_string(Options.Version) + R"(,"base":)" +
         std::to_string(Options.Base) + R"(,"groups":[)" + groups +
         R"(],"models":[{"name":"summary","shards":[{"name":"summary-0",)" +
         R"("servers":[)" + joined(shard) + R"(]}]}],)" +
         R"("services":[{"name":"bays","servers":[)" + joined(service) +
         R"(],"idempotent_methods":["GET"]}],"servers":[)" + joined(servers) +
         "]}";
}

std::string sampleListText(uint64_t Sequence, int Instances,
                           const SampleOptions &Options,
                           const std::vector<std::string> &Leaving) {
  auto stateOf = [&](const std::string &Name) {
    bool leaving =
        std::find(Leaving.begin(), Leaving.end(), Name) != Leaving.end();
    return quoted(leaving ? "leaving" : "live");
  };
  std::vector<std::string> instances;
  for (int i = 1; i <= Instances; ++i) {
    std::string name = "e" + std::to_string(i);
    instances.push_back(
        R"({"name":")" + name + R"(","state":)" + stateOf(name) +
        R"(,"region":"ie-west","failure_domain":")" + domainOf(i - 1) +
        R"(","peer_address":"127.0.0.1:)" + std::to_string(9000 + i) + R"("})");
  }
  std::vector<std::string> servers;
  for (const SampleServer &it : sampleServers(Options))
    servers.push_back(R"({"name":")" + it.Name + R"(","state":)" +
                      stateOf(it.Name) + "}");
  return R"({"sequence":)" + std::to_string(Sequence) + R"(,"instances":[)" +
         joined(instances) + R"(],"servers":[)" + joined(servers) + "]}";
}

ConfigPtr parsedConfig(const std::string &Text) {
  return checked(parseConfigDocument, Text);
}

InstanceListPtr parsedList(const std::string &Text) {
  return checked(parseInstanceList, Text);
}

CoreOptions sampleCoreOptions(const std::string &Instance,
                              uint64_t Incarnation) {
  CoreOptions options;
  options.Instance = Instance;
  options.Region = "ie-west";
  options.FailureDomain = "hall-a";
  options.Incarnation = Incarnation;
  options.TicketKey = 77;
  return options;
}

RequestSpec modelSpec() {
  RequestSpec spec;
  spec.Group = "drivers";
  spec.Kind = RequestKind::Model;
  spec.Target = "summary";
  spec.PromptTokens = 400;
  spec.MaxOutputTokens = 64;
  spec.PrefixHashes = {11, 12};
  spec.Fingerprint = 99;
  return spec;
}

RequestSpec serviceSpec(bool Idempotent) {
  RequestSpec spec;
  spec.Group = "drivers";
  spec.Kind = RequestKind::Service;
  spec.Target = "bays";
  spec.Idempotent = Idempotent;
  spec.Fingerprint = 55;
  return spec;
}

} // namespace crocusspur::test
