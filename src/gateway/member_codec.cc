#include "gateway/member_codec.h"

#include "gateway/decisions/fleet/member_deltas.h"
#include "gateway/knee_codec.h"
#include "gateway/wire_text.h"
#include "gateway_peer_generated.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusspur::gateway {
namespace {

// The default of ages of which nothing is known.
constexpr Milliseconds LongAgo{0xffffffff};
// The default of weights that aren't known.
constexpr WeightVersion UnknownWeights = 0xffffffffffffffff;

using Builder = flatbuffers::FlatBufferBuilder;

uint32_t ageField(std::optional<Milliseconds> Age) {
  return static_cast<uint32_t>(
      std::min(Age.value_or(LongAgo), LongAgo).count());
}

std::optional<Milliseconds> ageOf(uint32_t Field) {
  Milliseconds age(Field);
  return age == LongAgo ? std::nullopt : std::optional(age);
}

// Bounds on what a peer may ask for at once; the gateway asks for two calls.
constexpr uint32_t MaxCallsPerPermit = 16;
constexpr int32_t MaxCharged = 64;
constexpr uint64_t MaxForwardedMs = 86400000; // a day
// Far above the tokens of any account, and small enough to add up.
constexpr uint64_t MaxQuotaTokens = 1000000000000;
// Far above any prompt, and small enough to compute with.
constexpr uint64_t MaxPromptTokens = 1000000000;

flatbuffers::Offset<wire::Member> pack(Builder &Out, const Member &Item) {
  std::vector<flatbuffers::Offset<wire::ServiceFigures>> stats;
  for (const ServiceStats &it : Item.Stats)
    stats.push_back(wire::CreateServiceFigures(
        Out, Out.CreateString(it.Service), it.Demand.PromptTokenRate,
        it.Demand.ReservationRate, it.Demand.StarvedReservationRate,
        it.PrefillRate));
  std::vector<flatbuffers::Offset<wire::GivenOrder>> orders;
  for (const IssuedStageOrder &it : Item.Orders)
    orders.push_back(wire::CreateGivenOrder(
        Out, Out.CreateString(it.Service), Out.CreateString(it.ServerId),
        it.Fence, static_cast<uint32_t>(it.Age.count()), it.ToDecode));
  std::vector<flatbuffers::Offset<wire::ServiceReach>> reached;
  for (const ServiceReach &it : Item.Reached)
    reached.push_back(
        wire::CreateServiceReach(Out, Out.CreateString(it.Service),
                                 static_cast<uint32_t>(it.Age.count())));
  auto reachedList = Out.CreateVector(reached);
  auto statsList = Out.CreateVector(stats);
  auto orderList = Out.CreateVector(orders);
  return wire::CreateMember(Out, Out.CreateString(Item.Name),
                            Out.CreateString(Item.Address), Item.Incarnation,
                            static_cast<uint32_t>(Item.LastSeenAgo.count()),
                            Item.Leaving, statsList, orderList, reachedList,
                            Out.CreateString(Item.FailureDomain),
                            Item.StoreFailing, Item.StateVersion);
}

flatbuffers::Offset<wire::ServerLimit> pack(Builder &Out,
                                            const ServerLimit &Item) {
  return wire::CreateServerLimit(
      Out, Out.CreateString(Item.ServerId), Item.PerSecond.has_value(),
      Item.PerSecond.value_or(0), static_cast<uint32_t>(Item.Age.count()),
      Out.CreateString(Item.Source));
}

double finiteOrZero(double Value) { return std::isfinite(Value) ? Value : 0; }

Member unpack(const wire::Member &Item) {
  Member member;
  member.Name = textOf(Item.name());
  member.Address = textOf(Item.address());
  member.Incarnation = Item.incarnation();
  member.LastSeenAgo = Milliseconds(Item.heard_ago_ms());
  member.Leaving = Item.leaving();
  if (Item.figures())
    for (const wire::ServiceFigures *it : *Item.figures())
      member.Stats.push_back({textOf(it->service()),
                              {finiteOrZero(it->prompt_tokens()),
                               finiteOrZero(it->places_wanted()),
                               finiteOrZero(it->places_starved())},
                              finiteOrZero(it->prefill_rate())});
  if (Item.orders())
    for (const wire::GivenOrder *it : *Item.orders())
      member.Orders.push_back({textOf(it->service()), textOf(it->server()),
                               it->fence(), Milliseconds(it->ago_ms()),
                               it->to_decode()});
  if (Item.reached())
    for (const wire::ServiceReach *it : *Item.reached())
      member.Reached.push_back(
          {textOf(it->service()), Milliseconds(it->ago_ms())});
  member.FailureDomain = textOf(Item.failure_domain());
  member.StoreFailing = Item.store_failing();
  member.StateVersion = Item.state_version();
  return member;
}

// A frame without a knee or bands says that none are known.
flatbuffers::Offset<wire::ServerPace> pack(Builder &Out,
                                           const PaceSummary &Item) {
  std::vector<uint8_t> bytes = packLoadBands(Item.Bands, Item.UnitMs);
  flatbuffers::Offset<flatbuffers::Vector<uint8_t>> bands;
  if (!bytes.empty())
    bands = Out.CreateVector(bytes);
  return wire::CreateServerPace(
      Out, Out.CreateString(Item.ServerId), Item.StartedAt,
      static_cast<uint8_t>(Item.Stage), Item.UnitMs, Item.Knee, Item.Samples,
      static_cast<uint32_t>(Item.Age.count()), bands);
}

// Returns nullopt for stages of later versions.
std::optional<PaceSummary> unpack(const wire::ServerPace &Item) {
  if (Item.stage() > static_cast<uint8_t>(ServerStage::Decode))
    return std::nullopt;
  PaceSummary summary;
  summary.ServerId = textOf(Item.server());
  summary.StartedAt = Item.started_at();
  summary.Stage = static_cast<ServerStage>(Item.stage());
  summary.UnitMs = Item.pace();
  summary.Samples = Item.samples();
  summary.Age = Milliseconds(Item.ago_ms());
  summary.Knee = std::max(0.0, finiteOrZero(Item.knee()));
  if (Item.bands())
    summary.Bands = unpackLoadBands(
        {Item.bands()->data(), Item.bands()->size()}, summary.UnitMs);
  return summary;
}

// Returns nullopt if the limit isn't a number of requests per second.
std::optional<ServerLimit> unpack(const wire::ServerLimit &Item) {
  if (Item.limited() &&
      (!std::isfinite(Item.per_second()) || Item.per_second() < 0))
    return std::nullopt;
  return ServerLimit{textOf(Item.server()),
                     Item.limited() ? std::optional(Item.per_second())
                                    : std::nullopt,
                     Milliseconds(Item.ago_ms()), textOf(Item.source())};
}

std::optional<PermitRequest> unpack(const wire::PermitRequest &Item) {
  std::optional<ServerLimit> limit =
      Item.limit() ? unpack(*Item.limit()) : std::nullopt;
  if (!limit || Item.calls() > MaxCallsPerPermit)
    return std::nullopt;
  return PermitRequest{*limit, Item.calls(),
                       std::clamp(Item.charged(), -MaxCharged, MaxCharged),
                       Milliseconds(Item.max_delay_ms())};
}

flatbuffers::Offset<wire::QuotaRequest> pack(Builder &Out,
                                             const QuotaAsk &Item) {
  auto account = Out.CreateString(Item.Account);
  wire::QuotaRequestBuilder out(Out);
  out.add_account(account);
  out.add_wanted_tokens(Item.WantedTokens);
  out.add_extra_tokens(Item.ExtraTokens);
  out.add_offered_tokens(Item.OfferedTokens);
  out.add_demand_per_s(Item.DemandPerSecond);
  out.add_returned_tokens(Item.ReturnedTokens);
  out.add_returned_ago_ms(static_cast<uint32_t>(Item.ReturnedAgo.count()));
  return out.Finish();
}

// Returns nullopt if the request names no account.
std::optional<QuotaAsk> unpack(const wire::QuotaRequest &Item) {
  QuotaAsk ask;
  ask.Account = textOf(Item.account());
  if (ask.Account.empty())
    return std::nullopt;
  ask.WantedTokens = std::min(Item.wanted_tokens(), MaxQuotaTokens);
  ask.ExtraTokens = std::min(Item.extra_tokens(), MaxQuotaTokens);
  ask.OfferedTokens = std::min(Item.offered_tokens(), MaxQuotaTokens);
  ask.DemandPerSecond = std::max(0.0, finiteOrZero(Item.demand_per_s()));
  ask.ReturnedTokens = std::min(Item.returned_tokens(), MaxQuotaTokens);
  ask.ReturnedAgo = Milliseconds(Item.returned_ago_ms());
  return ask;
}

flatbuffers::Offset<wire::PrefillRequest> pack(Builder &Out,
                                               const PrefillAsk &Item) {
  std::vector<flatbuffers::Offset<flatbuffers::String>> excluded;
  for (const std::string &it : Item.Excluded)
    excluded.push_back(Out.CreateString(it));
  std::vector<flatbuffers::Offset<wire::PrefillReport>> reports;
  for (const PrefillReport &it : Item.Reports)
    reports.push_back(wire::CreatePrefillReport(
        Out, Out.CreateString(it.ServerId), it.StartedAt, it.Tokens,
        static_cast<uint32_t>(it.Taken.count()),
        static_cast<uint32_t>(it.Age.count()), it.Remaining.has_value(),
        it.Remaining.value_or(0)));
  auto excludedList = Out.CreateVector(excluded);
  auto reportList = Out.CreateVector(reports);
  return wire::CreatePrefillRequest(Out, Out.CreateString(Item.Service),
                                    Item.Shard, Item.Tokens, excludedList,
                                    reportList);
}

// Returns nullopt if the request names no service.
std::optional<PrefillAsk> unpack(const wire::PrefillRequest &Item) {
  PrefillAsk ask;
  ask.Service = textOf(Item.service());
  if (ask.Service.empty())
    return std::nullopt;
  ask.Shard = Item.shard();
  ask.Tokens = std::min(Item.tokens(), MaxPromptTokens);
  if (Item.excluded())
    for (const flatbuffers::String *it : *Item.excluded())
      if (ask.Excluded.size() < MaxPrefillReports)
        ask.Excluded.push_back(it->str());
  if (Item.reports())
    for (const wire::PrefillReport *it : *Item.reports())
      if (ask.Reports.size() < MaxPrefillReports)
        ask.Reports.push_back(
            {textOf(it->server()), it->started_at(),
             std::min(it->tokens(), MaxPromptTokens),
             Milliseconds(it->taken_ms()), Milliseconds(it->ago_ms()),
             it->has_remaining() ? std::optional(it->remaining())
                                 : std::nullopt});
  return ask;
}

flatbuffers::Offset<wire::ForwardRequest> pack(Builder &Out,
                                               const ForwardedRequest &Item) {
  const CallerRequest &request = Item.Request;
  std::vector<flatbuffers::Offset<flatbuffers::String>> used;
  for (const std::string &it : Item.UsedServers)
    used.push_back(Out.CreateString(it));
  auto usedList = Out.CreateVector(used);
  auto fields = packFields(Out, request.Forwarded);
  auto parts = Out.CreateVector(request.PromptParts);
  auto body = packBytes(Out, request.Body);
  auto id = Out.CreateString(request.Id);
  auto service = Out.CreateString(Item.Service);
  auto host = Out.CreateString(request.Host);
  auto method = Out.CreateString(request.Method);
  auto target = Out.CreateString(request.Target);
  auto lastEvent = Out.CreateString(request.LastEventId);
  auto resumed = Out.CreateString(request.ResumedRequestId);
  flatbuffers::Offset<flatbuffers::String> account;
  if (!request.Account.empty())
    account = Out.CreateString(request.Account);
  flatbuffers::Offset<flatbuffers::Vector<uint8_t>> keyDigest;
  if (request.KeyDigest)
    keyDigest =
        Out.CreateVector(request.KeyDigest->data(), request.KeyDigest->size());
  wire::ForwardRequestBuilder out(Out);
  out.add_id(id);
  out.add_service(service);
  out.add_host(host);
  out.add_method(method);
  out.add_target(target);
  out.add_header(fields);
  out.add_body(body);
  out.add_has_time_left(request.TimeLeft.has_value());
  if (request.TimeLeft)
    out.add_time_left_ms(static_cast<uint64_t>(request.TimeLeft->count()));
  out.add_elapsed_ms(static_cast<uint64_t>(Item.Elapsed.count()));
  out.add_has_generation(request.Generation.has_value());
  if (request.Generation) {
    out.add_prompt_tokens(request.Generation->PromptTokens);
    out.add_max_output_tokens(request.Generation->MaxOutputTokens);
    out.add_expected_output_tokens(request.Generation->ExpectedOutputTokens);
  }
  out.add_prompt_parts(parts);
  out.add_last_event_id(lastEvent);
  out.add_resumed_request_id(resumed);
  out.add_used_servers(usedList);
  out.add_may_have_executed(Item.MayHaveExecuted);
  out.add_stream_version(Item.StreamVersion.value_or(0));
  out.add_stream_weights(Item.StreamWeights.value_or(UnknownWeights));
  out.add_sender_records_version(Item.SenderRecordsVersion);
  if (!account.IsNull())
    out.add_account(account);
  if (!keyDigest.IsNull())
    out.add_key_digest(keyDigest);
  return out.Finish();
}

// Returns nullopt if the times are beyond any deadline.
std::optional<ForwardedRequest> unpack(const wire::ForwardRequest &Item) {
  if (Item.time_left_ms() > MaxForwardedMs ||
      Item.elapsed_ms() > MaxForwardedMs)
    return std::nullopt;
  ForwardedRequest forwarded;
  CallerRequest &request = forwarded.Request;
  request.Id = textOf(Item.id());
  request.Host = textOf(Item.host());
  request.Method = textOf(Item.method());
  request.Target = textOf(Item.target());
  request.Forwarded = unpackFields(Item.header());
  if (Item.body())
    request.Body.assign(Item.body()->begin(), Item.body()->end());
  if (Item.has_time_left())
    request.TimeLeft = Milliseconds(Item.time_left_ms());
  if (Item.has_generation())
    request.Generation =
        GenerationSize{Item.prompt_tokens(), Item.max_output_tokens(),
                       Item.expected_output_tokens()};
  if (Item.prompt_parts())
    request.PromptParts.assign(
        Item.prompt_parts()->begin(),
        Item.prompt_parts()->begin() +
            std::min<uint32_t>(Item.prompt_parts()->size(), MaxPromptParts));
  request.LastEventId = textOf(Item.last_event_id());
  request.ResumedRequestId = textOf(Item.resumed_request_id());
  request.Account = textOf(Item.account());
  if (Item.key_digest() &&
      Item.key_digest()->size() == internal::Sha256Digest().size()) {
    std::copy(Item.key_digest()->begin(), Item.key_digest()->end(),
              request.KeyDigest.emplace().begin());
    request.KeyState = KeyPresence::Present;
  }
  forwarded.Service = textOf(Item.service());
  forwarded.Elapsed = Milliseconds(Item.elapsed_ms());
  if (Item.used_servers())
    for (const flatbuffers::String *it : *Item.used_servers())
      forwarded.UsedServers.insert(it->str());
  forwarded.MayHaveExecuted = Item.may_have_executed();
  if (Item.stream_version() != 0)
    forwarded.StreamVersion = Item.stream_version();
  if (Item.stream_weights() != UnknownWeights)
    forwarded.StreamWeights = Item.stream_weights();
  forwarded.SenderRecordsVersion = Item.sender_records_version();
  return forwarded;
}

// Returns nullopt for kinds of later versions.
std::optional<SuspectKind> suspectKind(uint8_t Value) {
  if (Value > static_cast<uint8_t>(SuspectKind::PromptPart))
    return std::nullopt;
  return static_cast<SuspectKind>(Value);
}

flatbuffers::Offset<wire::OriginAnswer> pack(Builder &Out,
                                             const OriginKnowledge &Item) {
  auto server = pack(Out, Item.Server);
  return wire::CreateOriginAnswer(
      Out, Item.Recorded.has_value(), Item.Recorded.value_or(0),
      /*has_sole_version=*/false, /*sole_version=*/0, server,
      static_cast<uint32_t>(Item.RecordedAgo.count()), Item.UnprovenVersion);
}

OriginKnowledge unpack(const wire::OriginAnswer &Item) {
  OriginKnowledge known;
  if (Item.recorded())
    known.Recorded = Item.version();
  known.Server = gateway::unpack(Item.server());
  known.RecordedAgo = Milliseconds(Item.recorded_ago_ms());
  known.UnprovenVersion = Item.unproven_version();
  return known;
}

} // namespace

std::vector<uint8_t> encode(const MemberFrame &Frame) {
  Builder out;
  std::vector<flatbuffers::Offset<wire::Member>> members;
  for (const Member &it : Frame.Members)
    members.push_back(pack(out, it));
  std::vector<flatbuffers::Offset<wire::PublishedServer>> servers;
  for (const PublishedText &it : Frame.Servers)
    servers.push_back(wire::CreatePublishedServer(
        out, out.CreateString(it.Id), it.Revision.Number, it.Removed,
        out.CreateString(it.Text), it.Revision.Era));
  std::vector<flatbuffers::Offset<wire::Crash>> crashes;
  for (const CrashRecord &it : Frame.Crashes.Crashes)
    crashes.push_back(wire::CreateCrash(
        out, it.Key, out.CreateString(it.ServerId),
        out.CreateString(it.Witness), static_cast<uint32_t>(it.Age.count()),
        static_cast<uint8_t>(it.Kind), it.ServerStartedAt));
  std::vector<flatbuffers::Offset<wire::ClearedContent>> cleared;
  for (const ClearedSuspect &it : Frame.Crashes.Cleared)
    cleared.push_back(wire::CreateClearedContent(
        out, it.Key, static_cast<uint32_t>(it.Age.count()),
        static_cast<uint8_t>(it.Kind)));
  std::vector<flatbuffers::Offset<wire::ServerLimit>> limits;
  for (const ServerLimit &it : Frame.Limits)
    limits.push_back(pack(out, it));
  flatbuffers::Offset<wire::PermitRequest> wantedPermit;
  if (const auto &it = Frame.WantedPermit)
    wantedPermit = wire::CreatePermitRequest(
        out, pack(out, it->Limit), it->Calls, it->Charged,
        static_cast<uint32_t>(it->MaxDelay.count()));
  flatbuffers::Offset<wire::Permit> permit;
  if (const auto &it = Frame.Permit)
    permit = wire::CreatePermit(out, it->Granted,
                                static_cast<uint32_t>(it->Delay.count()));
  flatbuffers::Offset<wire::QuotaRequest> wantedLease;
  if (Frame.WantedLease)
    wantedLease = pack(out, *Frame.WantedLease);
  flatbuffers::Offset<wire::QuotaLease> lease;
  if (const auto &it = Frame.Lease)
    lease = wire::CreateQuotaLease(
        out, it->Tokens, static_cast<uint32_t>(it->Lifetime.count()),
        static_cast<uint32_t>(it->RetryAfter.count()), it->DemandShare,
        it->AdmittedPart);
  flatbuffers::Offset<wire::PrefillRequest> wantedPrefill;
  if (Frame.WantedPrefill)
    wantedPrefill = pack(out, *Frame.WantedPrefill);
  flatbuffers::Offset<wire::PrefillAssignment> prefill;
  if (const auto &it = Frame.Prefill)
    prefill = wire::CreatePrefillAssignment(
        out, out.CreateString(it->ServerId), it->StartedAt,
        static_cast<uint32_t>(it->Wait.count()),
        static_cast<uint32_t>(it->Duration.count()));
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::ServerLimit>>>
      limitList;
  if (!limits.empty())
    limitList = out.CreateVector(limits);
  std::vector<flatbuffers::Offset<wire::StreamOrigin>> origins;
  for (const StreamOrigin &it : Frame.Origins)
    origins.push_back(wire::CreateStreamOrigin(
        out, it.Stream, it.Version, it.Writer, it.Sequence,
        static_cast<uint32_t>(it.Lifetime.count()), pack(out, it.Server),
        static_cast<uint32_t>(it.Age.count()), it.UnprovenVersion));
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::StreamOrigin>>>
      originList;
  if (!origins.empty())
    originList = out.CreateVector(origins);
  flatbuffers::Offset<wire::OriginQuery> wantedOrigin;
  if (Frame.WantedOrigin)
    wantedOrigin = wire::CreateOriginQuery(out, *Frame.WantedOrigin);
  flatbuffers::Offset<wire::OriginAnswer> origin;
  if (Frame.Origin)
    origin = pack(out, *Frame.Origin);
  flatbuffers::Offset<wire::ForwardRequest> forwarded;
  if (Frame.Forwarded)
    forwarded = pack(out, *Frame.Forwarded);
  std::vector<flatbuffers::Offset<wire::LeavingServer>> leaving;
  for (const LeavingServer &it : Frame.Leaving)
    leaving.push_back(pack(out, it));
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::LeavingServer>>>
      leavingList;
  if (!leaving.empty())
    leavingList = out.CreateVector(leaving);
  flatbuffers::Offset<flatbuffers::Vector<uint8_t>> heard;
  if (!Frame.Heard.empty())
    heard = out.CreateVector(packHeard(Frame.Heard));
  std::vector<flatbuffers::Offset<wire::ServerPace>> paces;
  for (const PaceSummary &it : Frame.Paces)
    paces.push_back(pack(out, it));
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<wire::ServerPace>>>
      paceList;
  if (!paces.empty())
    paceList = out.CreateVector(paces);
  auto sender = pack(out, Frame.Sender);
  auto memberList = out.CreateVector(members);
  auto routes = out.CreateString(Frame.RoutesText);
  auto serverList = out.CreateVector(servers);
  auto crashList = out.CreateVector(crashes);
  auto clearedList = out.CreateVector(cleared);
  StoreRevision since = Frame.ChangesSince.value_or(StoreRevision());
  const auto &[serversAgo, routesAgo] = Frame.ConfirmedAgo;
  bool isConfirmed = serversAgo && routesAgo;
  uint32_t confirmedAgo =
      isConfirmed ? std::max(ageField(serversAgo), ageField(routesAgo)) : 0;
  out.Finish(wire::CreateFrame(
      out, MemberProtocol, sender, memberList, Frame.WantsRoutes,
      Frame.WantsServers, Frame.ConfigVersion, Frame.ServersRevision.Number,
      routes, Frame.HasServers, serverList, Frame.CrashDigest, crashList,
      clearedList, Frame.IsNotification, limitList, wantedPermit, permit,
      originList, wantedOrigin, origin, forwarded, leavingList,
      Frame.LeavingDigest, Frame.ServersRevision.Era,
      Frame.ConfigRevision.Number, Frame.ConfigRevision.Era, Frame.StoreEra,
      isConfirmed, confirmedAgo, Frame.AcceptsChanges,
      Frame.ChangesSince.has_value(), since.Number, since.Era, wantedLease,
      lease, paceList, Frame.MembersDigest, heard, Frame.Discovered,
      Frame.MembersOmitted ? static_cast<int32_t>(*Frame.MembersOmitted) : -1,
      ageField(Frame.DiscoveredAgo), wantedPrefill, prefill,
      ageField(Frame.ConfigTimes.ReadAgo), ageField(Frame.ConfigTimes.AtMost),
      ageField(serversAgo), ageField(routesAgo)));
  return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

std::optional<MemberFrame> decodeMemberFrame(std::span<const uint8_t> Bytes) {
  flatbuffers::Verifier verifier(Bytes.data(), Bytes.size());
  if (!wire::VerifyFrameBuffer(verifier))
    return std::nullopt;
  const wire::Frame &in = *wire::GetFrame(Bytes.data());
  if (in.protocol() != MemberProtocol || !in.sender())
    return std::nullopt;
  MemberFrame frame;
  frame.Sender = unpack(*in.sender());
  if (in.members())
    for (const wire::Member *it : *in.members())
      frame.Members.push_back(unpack(*it));
  frame.WantsRoutes = in.wants_routes();
  frame.WantsServers = in.wants_servers();
  frame.ConfigVersion = in.config_version();
  frame.StoreEra = in.store_era();
  frame.ConfigRevision = {in.config_era(), in.config_revision()};
  frame.ConfigTimes = {ageOf(in.config_read_ago_ms()),
                       ageOf(in.config_age_ms())};
  frame.ServersRevision = {in.servers_era(), in.servers_revision()};
  frame.RoutesText = textOf(in.routes_text());
  frame.HasServers = in.has_servers();
  if (in.servers())
    for (const wire::PublishedServer *it : *in.servers())
      frame.Servers.push_back({textOf(it->id()),
                               {it->era(), it->revision()},
                               it->gone(),
                               textOf(it->text())});
  frame.MembersDigest = in.members_digest();
  if (in.members_heard())
    frame.Heard =
        unpackHeard({in.members_heard()->data(), in.members_heard()->size()});
  frame.Discovered = in.discovered();
  frame.DiscoveredAgo = ageOf(in.discovered_ago_ms());
  if (in.members_omitted() >= 0)
    frame.MembersOmitted = static_cast<uint32_t>(in.members_omitted());
  frame.AcceptsChanges = in.accepts_changes();
  if (in.has_changes())
    frame.ChangesSince = {in.changes_since_era(), in.changes_since_revision()};
  frame.ConfirmedAgo = {ageOf(in.servers_confirmed_ago_ms()),
                        ageOf(in.routes_confirmed_ago_ms())};
  if (in.store_confirmed()) // in frames of earlier builds
    for (std::optional<Milliseconds> &it : frame.ConfirmedAgo)
      it = it.value_or(Milliseconds(in.store_confirmed_ago_ms()));
  frame.CrashDigest = in.crash_digest();
  if (in.crashes())
    for (const wire::Crash *it : *in.crashes())
      if (std::optional<SuspectKind> kind = suspectKind(it->kind()))
        frame.Crashes.Crashes.push_back(
            {it->content(), textOf(it->server()), textOf(it->witness()),
             Milliseconds(it->ago_ms()), *kind, it->server_started_at()});
  if (in.cleared())
    for (const wire::ClearedContent *it : *in.cleared())
      if (std::optional<SuspectKind> kind = suspectKind(it->kind()))
        frame.Crashes.Cleared.push_back(
            {it->content(), Milliseconds(it->ago_ms()), *kind});
  frame.IsNotification = in.only_crashes();
  if (in.limits())
    for (const wire::ServerLimit *it : *in.limits())
      if (std::optional<ServerLimit> limit = unpack(*it))
        frame.Limits.push_back(std::move(*limit));
  if (in.leaving())
    for (const wire::LeavingServer *it : *in.leaving())
      frame.Leaving.push_back(unpack(*it));
  frame.LeavingDigest = in.leaving_digest();
  if (in.paces())
    for (const wire::ServerPace *it : *in.paces())
      if (std::optional<PaceSummary> summary = unpack(*it);
          summary && frame.Paces.size() < MaxPacesPerFrame)
        frame.Paces.push_back(std::move(*summary));
  if (in.permit_request()) {
    frame.WantedPermit = unpack(*in.permit_request());
    if (!frame.WantedPermit)
      return std::nullopt;
  }
  if (in.permit())
    frame.Permit = PaceDecision{in.permit()->granted(),
                                Milliseconds(in.permit()->delay_ms())};
  if (in.quota_request()) {
    frame.WantedLease = unpack(*in.quota_request());
    if (!frame.WantedLease)
      return std::nullopt;
  }
  if (const wire::QuotaLease *it = in.quota_lease())
    frame.Lease =
        QuotaGrant{std::min(it->granted_tokens(), MaxQuotaTokens),
                   Milliseconds(it->lifetime_ms()),
                   Milliseconds(it->retry_after_ms()),
                   std::clamp(finiteOrZero(it->demand_share()), 0.0, 1.0),
                   /*Known=*/true,
                   std::clamp(finiteOrZero(it->admitted_part()), 0.0, 1.0)};
  if (in.prefill_request()) {
    frame.WantedPrefill = unpack(*in.prefill_request());
    if (!frame.WantedPrefill)
      return std::nullopt;
  }
  if (const wire::PrefillAssignment *it = in.prefill_assignment())
    frame.Prefill = PrefillAssignment{textOf(it->server()), it->started_at(),
                                      Milliseconds(it->wait_ms()),
                                      Milliseconds(it->duration_ms())};
  if (in.origins())
    for (const wire::StreamOrigin *it : *in.origins())
      frame.Origins.push_back(
          {it->stream(), it->version(), it->writer(), it->sequence(),
           Milliseconds(it->lifetime_ms()), gateway::unpack(it->server()),
           Milliseconds(it->age_ms()), it->unproven_version()});
  if (const wire::OriginQuery *it = in.origin_query())
    frame.WantedOrigin = it->stream();
  if (in.origin_answer())
    frame.Origin = unpack(*in.origin_answer());
  if (in.forward()) {
    frame.Forwarded = unpack(*in.forward());
    if (!frame.Forwarded)
      return std::nullopt;
  }
  return frame;
}

} // namespace crocusspur::gateway
