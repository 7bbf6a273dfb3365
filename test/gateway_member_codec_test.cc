#include "gateway/member_codec.h"

#include <cmath>
#include <doctest/doctest.h>
#include <limits>
#include <random>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

MemberFrame sample() {
  MemberFrame frame;
  frame.Sender = {"n1", "10.0.0.1:1", 77, Milliseconds(0), true, {}, {}};
  frame.Sender.Stats = {{"summaries", {52000, 10.5, 2.5}, 55000}};
  frame.Sender.Orders = {{"summaries", "i-3", 41, Milliseconds(300), true}};
  frame.Members = {{"n2", "10.0.0.2:1", 78, Milliseconds(1200), false, {}, {}}};
  frame.WantsRoutes = true;
  frame.ConfigVersion = 9;
  frame.ServersRevision = {3, 412};
  frame.ConfigRevision = {3, 408};
  frame.RoutesText = "{}";
  frame.HasServers = true;
  frame.AcceptsChanges = true;
  frame.ChangesSince = StoreRevision{3, 401};
  frame.ConfirmedAgo = {Milliseconds(740), Milliseconds(310)};
  frame.Sender.FailureDomain = "hall-a";
  frame.Sender.StoreFailing = true;
  frame.Sender.StateVersion = 300;
  frame.MembersDigest = 97;
  frame.Heard = {{4000000000U, 44, Milliseconds(1250)}};
  frame.Discovered = false;
  frame.MembersOmitted = 31;
  frame.DiscoveredAgo = Milliseconds(1300);
  frame.ConfigTimes = {Milliseconds(210), Milliseconds(1950)};
  frame.CrashDigest = 99;
  frame.Crashes.Crashes = {
      {71, "i-2", "n3", Milliseconds(250)},
      {73, "i-2", "n3", Milliseconds(250), SuspectKind::PromptPart, 1764}};
  frame.Crashes.Cleared = {{72, Milliseconds(900)},
                           {74, Milliseconds(90), SuspectKind::PromptPart}};
  frame.IsNotification = true;
  frame.Limits = {{"i-4", 2.1, Milliseconds(30), "n3"},
                  {"i-5", std::nullopt, Milliseconds(40), "n1"}};
  frame.Leaving = {{{"i-6", 1764, "10.0.0.6:80", "v2"}, Milliseconds(60)}};
  frame.LeavingDigest = 98;
  frame.StoreEra = 4;
  frame.WantedPermit = PermitRequest{frame.Limits[0], 2, -1, Milliseconds(150)};
  frame.Permit = PaceDecision{true, Milliseconds(70)};
  frame.WantedLease =
      QuotaAsk{"acme", 6000, 800, 12600, 5100.5, 250, Milliseconds(900)};
  frame.Lease = QuotaGrant{6500, Milliseconds(1250), Milliseconds(40), 0.25};
  frame.Origins = {{1234567890123456789U,
                    5,
                    6,
                    7,
                    Milliseconds(9000),
                    {"d1", 1764000000123, "10.0.0.1:80", "v1"},
                    Milliseconds(80),
                    11}};
  frame.WantedOrigin = 77;
  frame.Origin = OriginKnowledge{
      VersionKey(0), {"d2", 3, "10.0.0.2:80", "v2"}, Milliseconds(450), 12};
  frame.Servers = {{"i-1", {3, 400}, false, "{\"a\":1}"},
                   {"i-2", {2, 410}, true, ""}};
  return frame;
}

} // namespace

TEST_CASE("MemberFrame keeps all fields through encoding and decoding") {
  std::optional<MemberFrame> back = decodeMemberFrame(encode(sample()));
  REQUIRE(back.has_value());
  CHECK(back->Sender.Name == "n1");
  CHECK(back->Sender.Incarnation == 77);
  CHECK(back->Sender.Leaving);
  REQUIRE(back->Sender.Stats.size() == 1);
  CHECK(back->Sender.Stats[0].Demand.StarvedReservationRate == 2.5);
  CHECK(back->Sender.Stats[0].PrefillRate == 55000);
  REQUIRE(back->Sender.Orders.size() == 1);
  CHECK(back->Sender.Orders[0].Fence == 41);
  CHECK(back->Sender.Orders[0].ToDecode);
  CHECK(back->Sender.Orders[0].Age == Milliseconds(300));
  REQUIRE(back->Members.size() == 1);
  CHECK(back->Members[0].LastSeenAgo == Milliseconds(1200));
  CHECK(back->WantsRoutes);
  CHECK_FALSE(back->WantsServers);
  CHECK(back->ConfigVersion == 9);
  CHECK(back->ServersRevision == StoreRevision{3, 412});
  CHECK(back->ConfigRevision == StoreRevision{3, 408});
  CHECK(back->RoutesText == "{}");
  CHECK_FALSE(back->Discovered);
  CHECK(back->MembersOmitted == 31);
  CHECK(back->DiscoveredAgo == Milliseconds(1300));
  CHECK(back->ConfigTimes.ReadAgo == Milliseconds(210));
  CHECK(back->ConfigTimes.AtMost == Milliseconds(1950));
  CHECK(back->HasServers);
  CHECK(back->AcceptsChanges);
  CHECK(back->ChangesSince == StoreRevision{3, 401});
  CHECK(back->ConfirmedAgo[0] == Milliseconds(740));
  CHECK(back->ConfirmedAgo[1] == Milliseconds(310));
  CHECK(back->Sender.FailureDomain == "hall-a");
  CHECK(back->Sender.StoreFailing);
  CHECK(back->Sender.StateVersion == 300);
  CHECK(back->MembersDigest == 97);
  REQUIRE(back->Heard.size() == 1);
  CHECK(back->Heard[0].Key == 4000000000U);
  CHECK(back->Heard[0].Version == 44);
  CHECK(back->Heard[0].Ago == Milliseconds(1250));
  CHECK_FALSE(back->Members[0].StoreFailing);
  REQUIRE(back->Servers.size() == 2);
  CHECK(back->Servers[0].Text == "{\"a\":1}");
  CHECK(back->Servers[1].Removed);
  CHECK(back->Servers[1].Revision == StoreRevision{2, 410});
  CHECK(back->CrashDigest == 99);
  REQUIRE(back->Leaving.size() == 1);
  CHECK(back->Leaving[0].Process ==
        ServerProcess{"i-6", 1764, "10.0.0.6:80", "v2"});
  CHECK(back->Leaving[0].Age == Milliseconds(60));
  CHECK(back->LeavingDigest == 98);
  CHECK(back->StoreEra == 4);
  REQUIRE(back->Crashes.Crashes.size() == 2);
  CHECK(back->Crashes.Crashes[0].Kind == SuspectKind::Content);
  CHECK(back->Crashes.Crashes[1].Kind == SuspectKind::PromptPart);
  CHECK(back->Crashes.Crashes[1].ServerStartedAt == 1764);
  CHECK(back->Crashes.Crashes[0].Key == 71);
  CHECK(back->Crashes.Crashes[0].ServerId == "i-2");
  CHECK(back->Crashes.Crashes[0].Witness == "n3");
  CHECK(back->Crashes.Crashes[0].Age == Milliseconds(250));
  REQUIRE(back->Crashes.Cleared.size() == 2);
  CHECK(back->Crashes.Cleared[0].Kind == SuspectKind::Content);
  CHECK(back->Crashes.Cleared[1].Kind == SuspectKind::PromptPart);
  CHECK(back->Crashes.Cleared[0].Key == 72);
  CHECK(back->Crashes.Cleared[0].Age == Milliseconds(900));
  CHECK(back->IsNotification);
  REQUIRE(back->Limits.size() == 2);
  CHECK(back->Limits[0].ServerId == "i-4");
  CHECK(back->Limits[0].PerSecond == 2.1);
  CHECK(back->Limits[0].Age == Milliseconds(30));
  CHECK(back->Limits[0].Source == "n3");
  CHECK_FALSE(back->Limits[1].PerSecond.has_value());
  REQUIRE(back->WantedPermit.has_value());
  CHECK(back->WantedPermit->Limit.ServerId == "i-4");
  CHECK(back->WantedPermit->Calls == 2);
  CHECK(back->WantedPermit->Charged == -1);
  CHECK(back->WantedPermit->MaxDelay == Milliseconds(150));
  REQUIRE(back->Permit.has_value());
  CHECK(back->Permit->Granted);
  CHECK(back->Permit->Delay == Milliseconds(70));
  REQUIRE(back->WantedLease.has_value());
  CHECK(back->WantedLease->Account == "acme");
  CHECK(back->WantedLease->WantedTokens == 6000);
  CHECK(back->WantedLease->ExtraTokens == 800);
  CHECK(back->WantedLease->OfferedTokens == 12600);
  CHECK(back->WantedLease->DemandPerSecond == 5100.5);
  CHECK(back->WantedLease->ReturnedTokens == 250);
  CHECK(back->WantedLease->ReturnedAgo == Milliseconds(900));
  REQUIRE(back->Lease.has_value());
  CHECK(back->Lease->Tokens == 6500);
  CHECK(back->Lease->Lifetime == Milliseconds(1250));
  CHECK(back->Lease->RetryAfter == Milliseconds(40));
  CHECK(back->Lease->DemandShare == 0.25);
  REQUIRE(back->Origins.size() == 1);
  CHECK(back->Origins[0].Stream == 1234567890123456789U);
  CHECK(back->Origins[0].Version == 5);
  CHECK(back->Origins[0].Writer == 6);
  CHECK(back->Origins[0].Sequence == 7);
  CHECK(back->Origins[0].Lifetime == Milliseconds(9000));
  CHECK(back->Origins[0].Age == Milliseconds(80));
  CHECK(back->Origins[0].UnprovenVersion == 11);
  CHECK(back->Origins[0].Server ==
        ServerProcess{"d1", 1764000000123, "10.0.0.1:80", "v1"});
  CHECK(back->WantedOrigin == StreamKey(77));
  REQUIRE(back->Origin.has_value());
  CHECK(back->Origin->Recorded == VersionKey(0));
  CHECK(back->Origin->Server == ServerProcess{"d2", 3, "10.0.0.2:80", "v2"});
  CHECK(back->Origin->RecordedAgo == Milliseconds(450));
  CHECK(back->Origin->UnprovenVersion == 12);
}

// Guards against instances of earlier builds that are never believed to know
// the fleet.
TEST_CASE("A frame that doesn't speak of discovery is of a peer that has") {
  std::optional<MemberFrame> back = decodeMemberFrame(encode(MemberFrame()));
  REQUIRE(back.has_value());
  CHECK(back->Discovered);
  CHECK_FALSE(back->MembersOmitted.has_value());
  CHECK_FALSE(back->DiscoveredAgo.has_value());
  CHECK_FALSE(back->ConfigTimes.ReadAgo.has_value());
  CHECK_FALSE(back->ConfigTimes.AtMost.has_value());
}

TEST_CASE("decodeMemberFrame drops limits that aren't a rate") {
  MemberFrame frame = sample();
  frame.WantedPermit.reset();
  for (double rate : {-1.0, std::numeric_limits<double>::infinity(),
                      std::numeric_limits<double>::quiet_NaN()}) {
    frame.Limits[0].PerSecond = rate;
    std::optional<MemberFrame> back = decodeMemberFrame(encode(frame));
    REQUIRE(back.has_value());
    CHECK(back->Limits.size() == 1);
  }
  frame.WantedPermit = PermitRequest{frame.Limits[0], 1, 0, Milliseconds(0)};
  CHECK_FALSE(decodeMemberFrame(encode(frame)).has_value());
  frame.Limits[0].PerSecond = 2;
  frame.WantedPermit = PermitRequest{frame.Limits[0], 1000, 0, Milliseconds(0)};
  CHECK_FALSE(decodeMemberFrame(encode(frame)).has_value());
}

TEST_CASE("decodeMemberFrame rejects damaged frames safely") {
  std::vector<uint8_t> good = encode(sample());
  std::mt19937_64 random(11);
  for (int i = 0; i < 20000; ++i) {
    std::vector<uint8_t> bytes = good;
    size_t changes = 1 + random() % 4;
    for (size_t n = 0; n < changes; ++n)
      bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
    if (random() % 3 == 0)
      bytes.resize(random() % bytes.size());
    decodeMemberFrame(bytes); // must neither crash nor read out of bounds
  }
  CHECK_FALSE(decodeMemberFrame({}).has_value());
  std::vector<uint8_t> noise(64, 0xff);
  CHECK_FALSE(decodeMemberFrame(noise).has_value());
}

// A peer could fill the memory of an instance, and a stage of a later build
// would be taken for another one.
TEST_CASE("MemberFrame carries a bounded number of paces") {
  MemberFrame frame;
  frame.Sender.Name = "n1";
  CHECK(decodeMemberFrame(encode(frame))->Paces.empty());
  frame.Paces = {
      {"i-0", 1764, static_cast<ServerStage>(9), 1, 1, Milliseconds(0)}};
  for (size_t i = 0; i <= MaxPacesPerFrame; ++i)
    frame.Paces.push_back(
        {"i-1", 1764, ServerStage::Prefill, 0.02, 7, Milliseconds(350)});
  std::optional<MemberFrame> back = decodeMemberFrame(encode(frame));
  REQUIRE(back.has_value());
  REQUIRE(back->Paces.size() == MaxPacesPerFrame);
  CHECK(back->Paces[0].ServerId == "i-1");
  CHECK(back->Paces[0].StartedAt == 1764);
  CHECK(back->Paces[0].Stage == ServerStage::Prefill);
  CHECK(back->Paces[0].UnitMs == 0.02);
  CHECK(back->Paces[0].Samples == 7);
  CHECK(back->Paces[0].Age == Milliseconds(350));
  frame.Paces.resize(MaxPacesPerFrame);
  size_t withPaces = encode(frame).size();
  frame.Paces.clear();
  CHECK(withPaces - encode(frame).size() < 80 * MaxPacesPerFrame);
}

// An owner would assign by wrong reports, or a peer could fill its memory. A
// response without an assignment is that of an earlier build.
TEST_CASE("MemberFrame carries a request for a prefill and its assignment") {
  MemberFrame frame;
  frame.Sender.Name = "n1";
  CHECK_FALSE(decodeMemberFrame(encode(frame))->Prefill.has_value());
  PrefillAsk ask{"model", 2, 5200, {"i-7"}, {}};
  for (size_t i = 0; i <= MaxPrefillReports; ++i)
    ask.Reports.push_back({"i-1", 1764, 5100, Milliseconds(205),
                           Milliseconds(700),
                           i > 0 ? std::optional(3U) : std::nullopt});
  frame.WantedPrefill = ask;
  frame.Prefill =
      PrefillAssignment{"i-1", 1764, Milliseconds(40), Milliseconds(95)};
  std::optional<MemberFrame> back = decodeMemberFrame(encode(frame));
  REQUIRE(back.has_value());
  REQUIRE(back->WantedPrefill.has_value());
  CHECK(back->WantedPrefill->Service == "model");
  CHECK(back->WantedPrefill->Shard == 2);
  CHECK(back->WantedPrefill->Tokens == 5200);
  CHECK(back->WantedPrefill->Excluded == ask.Excluded);
  REQUIRE(back->WantedPrefill->Reports.size() == MaxPrefillReports);
  CHECK_FALSE(back->WantedPrefill->Reports[0].Remaining.has_value());
  const PrefillReport &report = back->WantedPrefill->Reports[1];
  CHECK(report.ServerId == "i-1");
  CHECK(report.StartedAt == 1764);
  CHECK(report.Tokens == 5100);
  CHECK(report.Taken == Milliseconds(205));
  CHECK(report.Age == Milliseconds(700));
  CHECK(report.Remaining == 3U);
  REQUIRE(back->Prefill.has_value());
  CHECK(back->Prefill->ServerId == "i-1");
  CHECK(back->Prefill->StartedAt == 1764);
  CHECK(back->Prefill->Wait == Milliseconds(40));
  CHECK(back->Prefill->Duration == Milliseconds(95));
  frame.WantedPrefill->Service = "";
  CHECK_FALSE(decodeMemberFrame(encode(frame)).has_value());
}

// A fleet of 400 may send 22 kB/s; knees that peers read differently would make
// instances disagree on which servers to prefer.
TEST_CASE("MemberFrame carries durations by load in few bytes") {
  MemberFrame frame;
  frame.Sender.Name = "n1";
  PaceSummary summary{"i-100", 1764, ServerStage::Whole,
                      100,     7,    Milliseconds(350)};
  summary.Knee = 6.5;
  for (size_t i = 0; i < 7; ++i)
    summary.Bands[i] = {std::log(i < 5 ? 100 : 250), 4.5, Milliseconds(900)};
  size_t without = encode(frame).size();
  frame.Paces.assign(MaxPacesPerFrame, summary);
  auto bytes = encode(frame);
  size_t each = (bytes.size() - without) / MaxPacesPerFrame;
  MESSAGE(each << " bytes a server");
  CHECK(each < 120);
  std::optional<MemberFrame> back = decodeMemberFrame(bytes);
  REQUIRE(back.has_value());
  CHECK(back->Paces[0].Knee == 6.5);
  CHECK(back->Paces[0].Bands[6].Unit ==
        doctest::Approx(std::log(250)).epsilon(0.005));
  CHECK(back->Paces[0].Bands[6].Weight == 4.5);
  CHECK(back->Paces[0].Bands[6].Age == Milliseconds(1000));
  CHECK(back->Paces[0].Bands[7].Weight == 0);
}
