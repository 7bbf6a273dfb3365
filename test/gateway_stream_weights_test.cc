// Streams whose servers state which model weights write them.
#include "gateway_fixture.h"
#include "stream_samples.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

std::string streamHead(int Weights) {
  std::string head = StreamHead;
  head.insert(head.size() - 2,
              "Weight-Versions: " + std::to_string(Weights) + "\r\n");
  return head;
}

// Streams begin by weights 1 and break off after event 4.
struct WeightServer {
  int Weights = 1;    // once a stream goes on
  bool Checks = true; // refuses requests for other weights
  int CacheWeights = 1;

  std::string respond(const std::string &Request) const {
    if (headerField(Request, "Inference-Phase") == "prefill")
      return httpResponse(200,
                          R"({"kv-handle":"h","token-count":9,"version":)" +
                              std::to_string(CacheWeights) + "}");
    if (!Request.starts_with("POST /x/y"))
      return modelServerResponse(Request);
    bool goesOn = !headerField(Request, "Last-Event-Id").empty();
    std::string own = std::to_string(goesOn ? Weights : 1);
    std::string expected = headerField(Request, "Expected-Version");
    if (Checks && !expected.empty() && expected != own)
      return refusal(421);
    if (!goesOn)
      return streamHead(1) + eventChunks(1, 4);
    return streamHead(Weights) + eventChunks(5, 6) + LastChunk;
  }
};

std::string streamFrom(GatewayFixture &Gateway, const WeightServer &Model,
                       std::vector<std::string> &Requests) {
  auto reply = [&](const std::string &Request, int) {
    return Model.respond(Request);
  };
  FakeServer first(reply);
  FakeServer second(reply);
  FakeServer prefill(reply);
  Gateway.addServer("d1", first, ServerStage::Decode);
  Gateway.addServer("d2", second, ServerStage::Decode);
  Gateway.addServer("p1", prefill, ServerStage::Prefill);
  PathRoute route = Gateway.route(RouteKind::Stream);
  route.Resumable = true;
  std::string response = Gateway.run(route);
  for (const FakeServer *it : {&first, &second, &prefill})
    for (const std::string &request : it->requests())
      Requests.push_back(request);
  return response;
}

size_t countOf(const std::vector<std::string> &Requests, const char *Field,
               const std::string &Value) {
  return static_cast<size_t>(
      std::ranges::count_if(Requests, [&](const std::string &It) {
        return It.starts_with("POST /x/y") && headerField(It, Field) == Value;
      }));
}

} // namespace

// What a server with other weights wrote was joined to the stream.
TEST_CASE("A stream goes on only by the weights of its events") {
  GatewayFixture gateway;
  WeightServer model;
  SUBCASE("at a server that has them") {}
  SUBCASE("at a server that refuses for others") { model.Weights = 2; }
  SUBCASE("at a server that has others and doesn't say so before it runs") {
    model.Weights = 2;
    model.Checks = false;
  }
  std::vector<std::string> requests;
  std::string response = streamFrom(gateway, model, requests);
  CHECK(response.find(event(4)) != std::string::npos);
  bool goesOn = model.Weights == 1;
  CHECK((response.find(event(5)) != std::string::npos) == goesOn);
  CHECK(response.ends_with(LastChunk) == goesOn);
  size_t goingOn = countOf(requests, "Last-Event-Id", "4");
  CHECK(goingOn > 0);
  CHECK(countOf(requests, "Expected-Version", "1") >= goingOn);
}

// A decode server went on from a prompt that other weights had read.
TEST_CASE("A prompt that other weights have read is read again") {
  GatewayFixture gateway;
  WeightServer model;
  model.CacheWeights = 2;
  std::vector<std::string> requests;
  std::string response = streamFrom(gateway, model, requests);
  CHECK(response.find(event(1)) != std::string::npos);
  for (const std::string &it : requests) {
    if (headerField(it, "Kv-Source").empty())
      continue;
    CHECK(headerField(it, "Last-Event-Id").empty());
    CHECK(headerField(it, "Expected-Version") == "2");
  }
}
