// The platform's list of instances and backend servers that are live or
// leaving, and the rendezvous ranking that every instance derives from it.
#ifndef CROCUSSPUR_INSTANCE_LIST_H
#define CROCUSSPUR_INSTANCE_LIST_H

#include "crocusspur/types.h"

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <vector>

namespace crocusspur {

enum class MemberState : uint8_t { Live, Leaving };

struct InstanceEntry {
  std::string Name;
  MemberState State = MemberState::Live;
  std::string Region;
  std::string FailureDomain;
  std::string PeerAddress; // "IP:port"
};

struct ServerEntry {
  std::string Name;
  MemberState State = MemberState::Live;
};

struct InstanceList {
  uint64_t Sequence = 0; // increases with every published change
  uint64_t Digest = 0;   // xxHash64 of the sorted live instance names
  std::vector<InstanceEntry> Instances;
  std::vector<ServerEntry> Servers;
  std::string Text;
  // Positions in order of name. Filled by buildIndex(); while their sizes
  // differ from those of the indexed vectors, the find functions search
  // linearly.
  std::vector<uint32_t> InstancesByName;
  std::vector<uint32_t> ServersByName;

  // Must be called again after a name has changed.
  void buildIndex();
  const InstanceEntry *findInstance(const std::string &Name) const;
  bool isLive(const std::string &Instance) const;
  // Servers that aren't in the list count as leaving: they get no new work.
  bool serverIsLive(const std::string &Server) const;
};

using InstanceListPtr = std::shared_ptr<const InstanceList>;

// Parses a published JSON list. On failure the LEAF error carries a
// DiagnosticList.
boost::leaf::result<InstanceListPtr> parseInstanceList(const std::string &Text);

// Returns the names in descending rendezvous weight for the key (xxHash64 of
// key and name). The same on every instance that has the same names.
std::vector<std::string> rankByRendezvous(const std::string &Key,
                                          std::vector<std::string> Names);

} // namespace crocusspur

#endif
