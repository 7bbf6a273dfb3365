#include "crocusspur/instance_list.h"

#include "crocusspur/errors.h"
#include "json_reader.h"
#include "name_index.h"
#include "rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace crocusspur {
namespace {

using internal::JsonReader;

MemberState readState(JsonReader &Reader) {
  std::string state = Reader.text("state");
  if (state != "live" && state != "leaving")
    Reader.addDiagnostic("state", "\"live\" or \"leaving\"");
  return state == "leaving" ? MemberState::Leaving : MemberState::Live;
}

uint64_t digestOfLiveNames(const InstanceList &List) {
  std::vector<std::string> names;
  for (const InstanceEntry &it : List.Instances)
    if (it.State == MemberState::Live)
      names.push_back(it.Name);
  std::sort(names.begin(), names.end());
  std::string joined;
  for (const std::string &it : names)
    joined += it + '\n';
  return XXH64(joined.data(), joined.size(), 0);
}

} // namespace

void InstanceList::buildIndex() {
  InstancesByName = internal::indexByName(Instances);
  ServersByName = internal::indexByName(Servers);
}

const InstanceEntry *InstanceList::findInstance(const std::string &Name) const {
  return internal::findByName(Instances, InstancesByName, Name);
}

bool InstanceList::isLive(const std::string &Instance) const {
  const InstanceEntry *it = findInstance(Instance);
  return it && it->State == MemberState::Live;
}

bool InstanceList::serverIsLive(const std::string &Server) const {
  const ServerEntry *it = internal::findByName(Servers, ServersByName, Server);
  return it && it->State == MemberState::Live;
}

boost::leaf::result<InstanceListPtr>
parseInstanceList(const std::string &Text) {
  auto list = std::make_shared<InstanceList>();
  list->Text = Text;
  DiagnosticList diagnostics;
  JsonReader root(Text, "instances", diagnostics);
  list->Sequence = root.number("sequence");
  root.forEach("instances", [&](JsonReader &Reader) {
    InstanceEntry entry;
    entry.Name = Reader.text("name");
    entry.State = readState(Reader);
    entry.Region = Reader.text("region");
    entry.FailureDomain = Reader.text("failure_domain");
    entry.PeerAddress = Reader.text("peer_address");
    list->Instances.push_back(std::move(entry));
  });
  root.forEach("servers", [&](JsonReader &Reader) {
    ServerEntry entry;
    entry.Name = Reader.text("name");
    entry.State = readState(Reader);
    list->Servers.push_back(std::move(entry));
  });
  if (!diagnostics.Diagnostics.empty())
    return boost::leaf::new_error(std::move(diagnostics));
  list->Digest = digestOfLiveNames(*list);
  list->buildIndex();
  return InstanceListPtr(std::move(list));
}

std::vector<std::string> rankByRendezvous(const std::string &Key,
                                          std::vector<std::string> Names) {
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(Names.size());
  internal::RendezvousWeight weightOf(Key);
  for (std::string &it : Names) {
    uint64_t weight = weightOf(it);
    weighted.emplace_back(weight, std::move(it));
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  Names.clear();
  for (auto &it : weighted)
    Names.push_back(std::move(it.second));
  return Names;
}

} // namespace crocusspur
