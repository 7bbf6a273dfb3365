#include "core_state.h"

#include <boost/leaf/handle_errors.hpp>

namespace crocusspur {
namespace {

// Time after which a version is requested from another peer, in case the
// response was lost with a link. Only one request is open at a time: with 400
// peers, requests to every peer with a newer version returned 120 copies of the
// document.
constexpr Milliseconds RequestInterval{400};

bool mayRequest(const std::optional<TimePoint> &LastAsked, TimePoint Now) {
  return !LastAsked || Now - *LastAsked >= RequestInterval;
}

// Runs a parse function. Returns null if the text doesn't parse.
template <typename Pointer>
Pointer parsedOrNull(boost::leaf::result<Pointer> (*Parse)(const std::string &),
                     const std::string &Text) {
  return boost::leaf::try_handle_all([&] { return Parse(Text); },
                                     [] { return Pointer(); });
}

DecisionRecord versionRecord(DecisionKind Kind, uint64_t Version) {
  return {Kind,
          {},
          "",
          std::to_string(Version),
          ErrorKind::Internal,
          static_cast<double>(Version)};
}

} // namespace

using internal::ConfigOutcome;
using internal::CoreContext;
using internal::Peer;

void DecisionCore::State::onConfigPublished(const ConfigPtr &Document,
                                            ActionList &Out) {
  bool first = !Config.current();
  switch (Config.evaluatePublished(Document)) {
  case ConfigOutcome::Activated:
    if (first && !Ready)
      Config.setProvisional();
    useConfig(Out);
    break;
  case ConfigOutcome::Rejected:
    Out.push_back(
        versionRecord(DecisionKind::ConfigRefused, Document->Version));
    break;
  case ConfigOutcome::VersionGap:
    Out.push_back(SetPlatformReading{ReadingPlatform.value_or(true),
                                     Config.lastEvaluated()});
    break;
  case ConfigOutcome::AlreadySeen:
    break;
  }
}

void DecisionCore::State::onConfigOffer(const std::string &,
                                        const ConfigOffer &Message,
                                        ActionList &Out) {
  ConfigPtr document = parsedOrNull(parseConfigDocument, Message.Text);
  if (!document)
    return;
  bool restart = Config.provisional();
  if (Config.adoptFromPeer(document) != ConfigOutcome::Activated)
    return;
  useConfig(Out);
  if (restart)
    Out.push_back(SetPlatformReading{ReadingPlatform.value_or(true),
                                     Config.lastEvaluated()});
}

// Returns zero while there is no version that may be announced to peers.
uint64_t DecisionCore::State::activeVersion() const {
  return Config.current() && !Config.provisional() ? Config.current()->Version
                                                   : 0;
}

void DecisionCore::State::useConfig(ActionList &Out) {
  ConfigRequestedAt.reset();
  MembershipChanged = true;
  AssignmentsStale = true;
  Out.push_back(UseConfig{Config.current()});
  Out.push_back(
      versionRecord(DecisionKind::ConfigInForce, Config.current()->Version));
}

void DecisionCore::State::onList(const InstanceListPtr &Newer,
                                 ActionList &Out) {
  if (!Newer || (List && Newer->Sequence <= List->Sequence))
    return;
  List = Newer;
  ListRequestedAt.reset();
  MembershipChanged = true;
  AssignmentsStale = true;
  Out.push_back(UseList{List});
  Out.push_back(versionRecord(DecisionKind::ListInForce, List->Sequence));
  CoreContext context = this->context(Out);
  Keys.onListChanged(context);
}

void DecisionCore::State::onListOffer(const ListOffer &Message,
                                      ActionList &Out) {
  onList(parsedOrNull(parseInstanceList, Message.Text), Out);
}

void DecisionCore::State::onVersionRequest(const std::string &To,
                                           const PeerMessage &Message,
                                           ActionList &Out) {
  if (auto *config = std::get_if<ConfigRequest>(&Message)) {
    if (Config.current() && !Config.provisional() &&
        Config.current()->Version > config->HaveVersion)
      Out.push_back(SendToPeer{To, ConfigOffer{Config.current()->Text}});
  } else if (auto *list = std::get_if<ListRequest>(&Message)) {
    if (List && List->Sequence > list->HaveSequence)
      Out.push_back(SendToPeer{To, ListOffer{List->Text}});
  }
}

// The peer may have what this instance lacks, even before its first heartbeat
// has arrived. If it doesn't, heartbeats of other peers show which one does.
void DecisionCore::State::requestInitialVersions(const std::string &Peer,
                                                 ActionList &Out) {
  if (!Config.current() && mayRequest(ConfigRequestedAt, Now)) {
    ConfigRequestedAt = Now;
    Out.push_back(SendToPeer{Peer, ConfigRequest{0}});
  }
  if (!List && mayRequest(ListRequestedAt, Now)) {
    ListRequestedAt = Now;
    Out.push_back(SendToPeer{Peer, ListRequest{0}});
  }
}

// Requests what is newer at the peer according to its last heartbeat.
void DecisionCore::State::requestNewerVersions(const std::string &From,
                                               ActionList &Out) {
  Peer *peer = Peers.find(From);
  if (!peer)
    return;
  uint64_t version = activeVersion();
  uint64_t digest = Config.current() ? Config.current()->Digest : 0;
  const Heartbeat &last = peer->Last;
  // If two documents have the same version, every instance uses the one with
  // the lower digest.
  bool conflict = version != 0 && last.ConfigVersion == version &&
                  last.ConfigDigest < digest;
  if ((last.ConfigVersion > version || conflict) &&
      mayRequest(ConfigRequestedAt, Now)) {
    ConfigRequestedAt = Now;
    Out.push_back(
        SendToPeer{From, ConfigRequest{conflict ? version - 1 : version}});
  }
  uint64_t sequence = List ? List->Sequence : 0;
  if (last.ListSequence > sequence && mayRequest(ListRequestedAt, Now)) {
    ListRequestedAt = Now;
    Out.push_back(SendToPeer{From, ListRequest{sequence}});
  }
}

// An elected reader always reads the platform; other instances only while no
// reader is heard from.
void DecisionCore::State::updatePlatformReading(ActionList &Out) {
  bool reads = !List || Shards.isPlatformReader();
  if (!reads && !Peers.hasPlatformReader(Now)) {
    if (!NoReaderSince)
      NoReaderSince = Now;
    reads = Now - *NoReaderSince >= internal::PeerTimeout;
  } else {
    NoReaderSince.reset();
  }
  if (ReadingPlatform == reads)
    return;
  ReadingPlatform = reads;
  Out.push_back(SetPlatformReading{reads, Config.lastEvaluated()});
}

} // namespace crocusspur
