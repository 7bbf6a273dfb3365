// Frames exchanged between two gateway instances.
#ifndef CROCUSSPUR_GATEWAY_MEMBER_CODEC_H
#define CROCUSSPUR_GATEWAY_MEMBER_CODEC_H

#include "gateway/decisions/accounts/quota_bucket.h"
#include "gateway/decisions/crash_history.h"
#include "gateway/decisions/fleet/config_age.h"
#include "gateway/decisions/member_table.h"
#include "gateway/decisions/placement/pace_table.h"
#include "gateway/decisions/placement/prefill_dispatcher.h"
#include "gateway/decisions/store_revision.h"
#include "gateway/forward_codec.h"
#include "gateway/server_limits.h"
#include "gateway/stream_origins.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Instances with different protocol versions refuse each other's frames.
inline constexpr uint16_t MemberProtocol = 1;

// Summaries of servers' paces in one frame, some 70 bytes each.
inline constexpr size_t MaxPacesPerFrame = 32;

// Reports and excluded servers in one request for a prefill, each.
inline constexpr size_t MaxPrefillReports = 16;

// A server's entry as published; the receiver decodes it.
struct PublishedText {
  std::string Id;
  StoreRevision Revision;
  bool Removed = false;
  std::string Text;
};

// An exchange is one request and one response of this type.
struct MemberFrame {
  Member Sender;
  std::vector<Member> Members; // known to the sender; all or some of them
  // digestOf() the sender's members and itself; 0: of an earlier build, which
  // expects and sends all members.
  uint64_t MembersDigest = 0;
  std::vector<MemberHeard> Heard; // members without their state
  // Whether the sender has discovered the fleet; see FleetDiscovery. True for
  // earlier builds.
  bool Discovered = true;
  // How long the fleet has been discovered; nothing: for long.
  std::optional<Milliseconds> DiscoveredAgo;
  // How many members the receiver lacks that aren't in this response; nothing:
  // not known.
  std::optional<uint32_t> MembersOmitted;
  bool WantsRoutes = false;  // if the receiver has a newer version
  bool WantsServers = false; // if the receiver has newer changes
  uint64_t ConfigVersion = 0;
  StoreRevision ConfigRevision; // of the change that wrote it
  ConfigAge ConfigTimes;        // of that configuration
  StoreRevision ServersRevision;
  uint64_t StoreEra = 0;  // the highest that the sender knows
  std::string RoutesText; // empty: not in this frame
  // `Servers` is the list of all servers.
  bool HasServers = false;
  std::vector<PublishedText> Servers;
  // Whether the sender accepts changes in place of the list.
  bool AcceptsChanges = false;
  // `Servers` are all changes after this revision up to ServersRevision.
  std::optional<StoreRevision> ChangesSince;
  // How long ago the store had what the sender knows, by PublishedKind;
  // nothing: not known.
  std::array<std::optional<Milliseconds>, 2> ConfirmedAgo;
  uint64_t CrashDigest = 0; // see CrashHistory::digest()
  CrashHistory::Update Crashes;
  // A request that notifies a peer at once of crashes, limits, leaving servers,
  // changed paces, an era or published changes, or one that asks for published
  // changes only: neither it nor its response lists the members. If their
  // sender has no state version, they say nothing of its state.
  bool IsNotification = false;
  std::vector<ServerLimit> Limits; // that the sender knows
  // Servers that leave, and LeavingServers::digest() of all that the sender
  // knows.
  std::vector<LeavingServer> Leaving;
  uint64_t LeavingDigest = 0;
  // What is new of servers' paces; at most MaxPacesPerFrame. None in frames of
  // earlier builds.
  std::vector<PaceSummary> Paces;
  // A request to the owner of a server's limit and its response. Such frames
  // hold nothing else but the sender's name.
  std::optional<PermitRequest> WantedPermit;
  std::optional<PaceDecision> Permit;
  // A request to the home of a client account and its response, which has no
  // lease if the home doesn't know the account. Such frames hold nothing else
  // but the sender's name.
  std::optional<QuotaAsk> WantedLease;
  std::optional<QuotaGrant> Lease;
  // A request to the owner of a shard of prefill servers and its response. Such
  // frames hold nothing else but the sender's name. A response without an
  // assignment is of an earlier build.
  std::optional<PrefillAsk> WantedPrefill;
  std::optional<PrefillAssignment> Prefill;
  // Records of streams that the receiver keeps, or what an instance asks a
  // keeper and its response. Such frames hold nothing else but the sender's
  // name.
  std::vector<StreamOrigin> Origins;
  std::optional<StreamKey> WantedOrigin;
  std::optional<OriginKnowledge> Origin;
  // A request that is passed on. The response are frames of their own; see
  // ForwardResponse.
  std::optional<ForwardedRequest> Forwarded;
};

// Returns the frame without its length prefix.
std::vector<uint8_t> encode(const MemberFrame &Frame);
// Returns nullopt if the bytes aren't a valid frame of this version.
std::optional<MemberFrame> decodeMemberFrame(std::span<const uint8_t> Bytes);

} // namespace crocusspur::gateway

#endif
