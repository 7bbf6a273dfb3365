// Tests PrefillDispatch and the requests that use it at the instance that asks,
// with an owner that is played by the test.
#include "gateway_fixture.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr uint64_t PromptTokens = 5200;

struct AskingInstance {
  AskingInstance() {
    for (int i = 0; i < 6; ++i) {
      ServerChoice server = serverOf(i);
      crocusspur::gateway::ServerEntry entry;
      entry.Id = server.Id;
      entry.Service = server.Service;
      entry.Address = server.Address;
      entry.Stage = ServerStage::Prefill;
      entry.StartedAt = server.StartedAt;
      Directory.applyServer({entry.Id, {1, 1}, entry}, UpdateOrigin::Store);
      for (int k = 0; k < 10; ++k)
        Directory.onCallTimed(server, PromptTokens,
                              Milliseconds(i == 0 ? 400 : 95));
    }
    Dispatch.setSharing({[this](const std::string &) { return Owner; },
                         [this] { return Instances; },
                         [this](const std::string &, const PrefillAsk &Ask) {
                           Asks.push_back(Ask);
                           return Reply;
                         }});
  }

  static ServerChoice serverOf(int Number) {
    ServerChoice server;
    server.Id = "s" + std::to_string(Number);
    server.Address = "10.0.0.1:" + std::to_string(8000 + Number);
    server.StartedAt = 1;
    server.Service = "model";
    return server;
  }

  DispatchedPrefill choose(std::set<std::string> Excluded = {}) {
    return Dispatch.choose(
        {"model", ServerStage::Prefill, std::move(Excluded), {}}, PromptTokens,
        0.5);
  }

  GatewaySettings Values;
  ServiceDirectory Directory{Values, 5};
  PrefillDispatch Dispatch{Directory};
  KeyOwner Owner{"g2", "g2:1", true};
  size_t Instances = 8;
  std::optional<PrefillAssignment> Reply =
      PrefillAssignment{"s3", 1, Milliseconds(20), Milliseconds(95)};
  std::vector<PrefillAsk> Asks;
};

} // namespace

// A prompt would go to a server that leaves, restarted or was tried already.
TEST_CASE("An assigned server is used only if the instance may use it") {
  AskingInstance instance;
  DispatchedPrefill placed = instance.choose();
  CHECK(placed.Outcome == DispatchOutcome::Assigned);
  REQUIRE(placed.Server.has_value());
  CHECK(placed.Server->Id == "s3");
  CHECK(placed.expected() == Milliseconds(115));
  CHECK(instance.choose({"s3"}).Outcome == DispatchOutcome::NotUsable);
  CHECK(instance.Asks.back().Excluded == std::vector<std::string>{"s3"});
  instance.Reply->StartedAt = 2;
  CHECK_FALSE(instance.choose().Server.has_value());
  instance.Reply->StartedAt = 1;
  instance.Directory.onServerLeaving({processOf(AskingInstance::serverOf(3))},
                                     LeavingOrigin::Response);
  CHECK(instance.choose().Outcome == DispatchOutcome::NotUsable);
  instance.Reply = PrefillAssignment{"s4", 1, {}, {}};
  instance.Directory.onServerResting(processOf(AskingInstance::serverOf(4)),
                                     Milliseconds(60000));
  CHECK(instance.choose().Outcome == DispatchOutcome::NotUsable);
  instance.Reply = PrefillAssignment{};
  CHECK(instance.choose().Outcome == DispatchOutcome::NoServer);
}

// Each prefill would wait for an owner that doesn't respond.
TEST_CASE("An owner that doesn't respond isn't asked again at once") {
  AskingInstance instance;
  instance.Reply.reset();
  CHECK(instance.choose().Outcome == DispatchOutcome::Unanswered);
  CHECK(instance.choose().Outcome == DispatchOutcome::OwnerQuiet);
  CHECK(instance.Asks.size() == 1);
  CHECK(instance.Dispatch.counters().Unanswered == 1);
}

// The behaviour of small fleets and of servers of one pace must not change.
TEST_CASE("Prefills are placed locally where dispatch can't help") {
  AskingInstance instance;
  instance.Instances = 7;
  CHECK(instance.choose().Outcome == DispatchOutcome::Inactive);
  instance.Instances = 8;
  PaceSettings paces;
  paces.Dispatch = false;
  instance.Directory.setPaceSettings(paces);
  CHECK(instance.choose().Outcome == DispatchOutcome::Inactive);
  CHECK(instance.Asks.empty());
}

// The owner learns of queues only from reports, and would count one twice.
TEST_CASE("A completed prefill is reported once") {
  AskingInstance instance;
  DispatchedPrefill placed = instance.choose();
  instance.Dispatch.onPrefillEnded(*placed.Server, PromptTokens,
                                   Milliseconds(130), ServerLoad{2, 1, 64},
                                   placed);
  instance.choose();
  instance.choose();
  REQUIRE(instance.Asks.size() == 3);
  REQUIRE(instance.Asks[1].Reports.size() == 1);
  CHECK(instance.Asks[1].Reports[0].ServerId == "s3");
  CHECK(instance.Asks[1].Reports[0].Remaining == 3U);
  CHECK(instance.Asks[2].Reports.empty());
  CHECK(instance.Dispatch.counters().Measured == Milliseconds(130));
}

// An instance that owns the shard itself would wait for its own time limit.
TEST_CASE("The owner decides on its own prefills without an exchange") {
  AskingInstance instance;
  instance.Owner.Address = "";
  DispatchedPrefill placed = instance.choose();
  REQUIRE(placed.Server.has_value());
  CHECK(placed.Server->Id != "s0");
  CHECK(instance.Asks.empty());
  CHECK(instance.Dispatch.counters().Decided == 1);
}

// A prefill that failed at the assigned server would wait for an owner again,
// go to the same server, or be sent without a retry.
TEST_CASE("After a failed prefill the next one is placed here, as a retry") {
  GatewayFixture gateway;
  PrefillDispatch dispatch(gateway.Directory);
  std::vector<PrefillAsk> asks;
  dispatch.setSharing({[](const std::string &) {
                         return KeyOwner{"g2", "g2:1", true};
                       },
                       [] { return size_t(8); },
                       [&](const std::string &, const PrefillAsk &Ask) {
                         asks.push_back(Ask);
                         return PrefillAssignment{"p0", 0, {}, {}};
                       }});
  gateway.Dispatch = &dispatch;
  FakeServer failing([](const std::string &, int) { return refusal(); });
  FakeServer model([](const std::string &Request, int) {
    return modelServerResponse(Request);
  });
  std::vector<std::unique_ptr<FakeServer>> others;
  gateway.addServer("p0", failing, ServerStage::Prefill);
  for (int i = 1; i < 5; ++i) {
    others.push_back(
        std::make_unique<FakeServer>([](const std::string &Request, int) {
          return modelServerResponse(Request);
        }));
    gateway.addServer("p" + std::to_string(i), *others.back(),
                      ServerStage::Prefill);
  }
  gateway.addServer("d1", model, ServerStage::Decode);
  for (int i = 0; i < 5; ++i) {
    ServerChoice server;
    server.Id = "p" + std::to_string(i);
    server.Address = i == 0 ? failing.address()
                            : others[static_cast<size_t>(i - 1)]->address();
    for (int k = 0; k < 10; ++k)
      gateway.Directory.onCallTimed(server, PromptTokens,
                                    Milliseconds(i == 1 ? 400 : 95));
  }
  gateway.run(gateway.route(RouteKind::Stream));
  CHECK(asks.size() == 1);
  CHECK(failing.requests().size() == 1);
  size_t prefills = 0;
  for (const auto &it : others)
    prefills += it->count("Inference-Phase: prefill");
  CHECK(prefills == 1);
  CHECK(gateway.Directory.retryCounts()["summaries"].Granted == 1);
}
