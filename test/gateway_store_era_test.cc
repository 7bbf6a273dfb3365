// Tests what an instance makes of revisions of several eras of the store, and
// of responses that state an era.
#include "gateway/published_source.h"
#include "gateway_fixture.h"
#include "platform/store_source.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace crocusspur::gateway;
using crocusspur::Milliseconds;

namespace {

ServerChange change(const std::string &Id, StoreRevision Revision,
                    bool Leaving = false) {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = Id;
  entry.Service = "bays";
  entry.Address = "10.0.0.1:" + Id.substr(1);
  entry.StartedAt = 1;
  entry.Leaving = Leaving;
  return {Id, Revision, entry};
}

RouteDocumentPtr documentOf(uint64_t Version, const std::string &Text) {
  auto document = std::make_shared<RouteDocument>();
  document->Version = Version;
  document->Text = Text;
  return document;
}

struct EraFixture {
  EraFixture() : Directory(Values, 7) {
    Directory.setServerEndListener(
        [this](const std::string &Id, std::optional<int64_t>) {
          Ended.push_back(Id);
        });
  }
  void list(const std::vector<ServerChange> &Entries, StoreRevision Revision,
            UpdateOrigin Origin = UpdateOrigin::Store) {
    Directory.applyServerList(Entries, Revision, Origin);
  }
  bool isChosen(const std::string &Id) {
    for (const ServerChoice &it :
         Directory.rank({"bays", ServerStage::Whole, {}, {}}))
      if (it.Id == Id)
        return true;
    return false;
  }

  GatewaySettings Values;
  ServiceDirectory Directory;
  std::vector<std::string> Ended;
};

// Reads from a store that responds with these texts in order.
PublishedUpdate readFrom(std::vector<std::string> Responses, bool Watch) {
  FakeServer store([&](const std::string &, int Number) {
    return Responses[std::min<size_t>(static_cast<size_t>(Number),
                                      Responses.size() - 1)];
  });
  GatewaySettings values;
  values.StoreAddress = store.address();
  MemoryBudget budget;
  PublishedReader reader = crocusspur::platform::makeSource(values).MakeReader(
      PublishedKind::Servers, budget);
  auto isCancelled = [] { return false; };
  return Watch ? reader.Watch(4, Milliseconds(100), isCancelled)
               : reader.ReadAll(isCancelled);
}

std::string withEra(std::string Response, const std::string &Era) {
  return Response.insert(Response.find("\r\n") + 2,
                         "Store-Era: " + Era + "\r\n");
}

const std::string Page =
    R"({"items":[{"key":"servers/s1","value":"","revision":3}],)"
    R"("has-more":true,"at":9})";
const std::string LastPage = R"({"items":[],"has-more":false,"at":9})";

} // namespace

TEST_CASE("Revisions of a higher era come after all of a lower one") {
  CHECK(StoreRevision{1, 900} < StoreRevision{2, 3});
  CHECK(StoreRevision{2, 3} < StoreRevision{2, 4});
  EraFixture setup;
  setup.list({change("s1", {1, 100}), change("s2", {1, 90})}, {1, 100});
  setup.Directory.applyServer(change("s1", {2, 50}, true), UpdateOrigin::Store);
  CHECK_FALSE(setup.isChosen("s1"));
  CHECK(setup.isChosen("s2"));
}

// A peer may have slept through an era, or be cut off from the store.
TEST_CASE("A list of an earlier era changes nothing") {
  EraFixture setup;
  setup.list({change("s1", {3, 10})}, {3, 10});
  setup.list({change("s1", {1, 500}, true), change("s2", {1, 400})}, {1, 500},
             UpdateOrigin::Peer);
  CHECK(setup.isChosen("s1"));
  CHECK(setup.Directory.serversRevision() == StoreRevision{3, 10});
}

TEST_CASE("A server that the store has lost is used until it had time") {
  EraFixture setup;
  setup.Values.RestoredEntryGrace = Milliseconds(100);
  setup.list({change("s1", {1, 100}), change("s2", {1, 110})}, {1, 110});
  setup.list({change("s1", {2, 100})}, {2, 105});
  CHECK(setup.isChosen("s2"));
  CHECK(setup.Ended.empty());
  std::this_thread::sleep_for(Milliseconds(120));
  CHECK_FALSE(setup.isChosen("s2"));
  setup.Directory.applyServer(change("s2", {2, 111}), UpdateOrigin::Store);
  CHECK(setup.isChosen("s2"));
}

// An older copy shows a server that has ended since, until its entry expires.
TEST_CASE("A removed server that an older copy shows again gets no request") {
  EraFixture setup;
  setup.list({change("s1", {1, 100}), change("s2", {1, 90})}, {1, 100});
  std::this_thread::sleep_for(Milliseconds(1));
  setup.Directory.applyServer({"s1", {1, 120}, std::nullopt},
                              UpdateOrigin::Store);
  setup.list({change("s1", {2, 100}), change("s2", {2, 90})}, {2, 105});
  CHECK_FALSE(setup.isChosen("s1"));
  CHECK(setup.isChosen("s2"));
}

TEST_CASE("A configuration in force is replaced only by a later one") {
  EraFixture setup;
  auto apply = [&](uint64_t Version, const std::string &Text,
                   StoreRevision Revision) {
    setup.Directory.applyRoutes(documentOf(Version, Text), Revision);
    return setup.Directory.routes()->Text;
  };
  CHECK(apply(4, "a", {1, 100}) == "a");
  CHECK(apply(3, "older", {2, 50}) == "a");
  CHECK(apply(4, "a", {2, 60}) == "a");
  // Lost by the store, and its number given out again.
  CHECK(apply(4, "b", {2, 70}) == "b");
  CHECK(apply(4, "a", {1, 100}) == "b");
  CHECK(apply(5, "c", {2, 80}) == "c");
}

TEST_CASE("A response of an earlier era isn't used") {
  EraFixture setup;
  CHECK(setup.Directory.onStoreEra(2, UpdateOrigin::Store));
  CHECK_FALSE(setup.Directory.onStoreEra(1, UpdateOrigin::Store));
  CHECK(setup.Directory.onStoreEra(3, UpdateOrigin::Store));
  CHECK(setup.Directory.onStoreEra(4, UpdateOrigin::Store));
  CHECK(setup.Directory.storeEra() == 4);
}

// What a peer says makes an instance read again, but can't shut the store out.
TEST_CASE("An era that only a peer knows rejects no response") {
  EraFixture setup;
  setup.Directory.onStoreEra(2, UpdateOrigin::Store);
  setup.Directory.onStoreEra(900, UpdateOrigin::Peer);
  CHECK(setup.Directory.storeEra() == 900);
  CHECK(setup.Directory.onStoreEra(2, UpdateOrigin::Store));
}

TEST_CASE("A response without an era is of the latest one") {
  EraFixture setup;
  setup.Directory.onStoreEra(2, UpdateOrigin::Store);
  PublishedUpdate update;
  update.Revision = {0, 7};
  update.Servers = {change("s1", {0, 7})};
  CHECK(acceptEra(setup.Directory, update));
  CHECK(update.Revision == StoreRevision{2, 7});
  CHECK(update.Servers[0].Revision == StoreRevision{2, 7});
}

TEST_CASE("A list whose pages are of two eras isn't used") {
  PublishedUpdate update = readFrom({withEra(httpResponse(200, Page), "1"),
                                     withEra(httpResponse(200, LastPage), "2")},
                                    false);
  CHECK(update.Status == ReadStatus::EraChanged);
  CHECK(update.Era == 2);
  update = readFrom(
      {withEra(httpResponse(200, Page), "2"), httpResponse(200, LastPage)},
      false);
  CHECK(update.Status == ReadStatus::Ok);
  CHECK(update.Era == 2);
}

TEST_CASE("Any response of the store states its era") {
  for (int status : {200, 410, 503}) {
    CAPTURE(status);
    PublishedUpdate update = readFrom(
        {withEra(httpResponse(status, R"({"events":[],"at":4})"), "7")}, true);
    CHECK(update.Era == 7);
  }
}

TEST_CASE("An era that is no positive number is ignored") {
  for (const char *text : {"", "x", "-1", "0", "1.5", "99999999999999999999"}) {
    CAPTURE(text);
    PublishedUpdate update =
        readFrom({withEra(httpResponse(200, LastPage), text)}, false);
    CHECK(update.Status == ReadStatus::Ok);
    CHECK_FALSE(update.Era.has_value());
  }
}

// Guards against an instance that learns changes from peers and counts as
// complete though it has missed one before them.
TEST_CASE("A directory that has missed a change stays behind until it has it") {
  EraFixture setup;
  setup.Directory.applyServerList({change("s1", {1, 10})}, {1, 10},
                                  UpdateOrigin::Peer);
  setup.Directory.applyServerChanges({change("s3", {1, 30})}, {1, 20}, {1, 30},
                                     UpdateOrigin::Peer);
  CHECK(setup.Directory.serversRevision() == StoreRevision{1, 10});
  CHECK(setup.Directory.serversIn("bays", ServerStage::Whole) == 2);
  // What was removed and what came in between.
  std::vector<ServerChange> changes = {change("s2", {1, 15}),
                                       {"s1", {1, 20}, std::nullopt},
                                       change("s3", {1, 30})};
  setup.Directory.applyServerChanges(changes, {1, 10}, {1, 30},
                                     UpdateOrigin::Peer);
  CHECK(setup.Directory.serversRevision() == StoreRevision{1, 30});
  std::optional<std::vector<ServerChange>> since =
      setup.Directory.serversChangedAfter({1, 15});
  REQUIRE(since);
  REQUIRE(since->size() == 2);
  for (const ServerChange &it : *since)
    CHECK(it.Entry.has_value() == (it.Id == "s3"));
}

// A peer that has read a list knows nothing of what was removed before. Another
// instance, which was out of step meanwhile, kept the removed servers.
TEST_CASE("Changes from a peer that has read a list since hide no removal") {
  EraFixture peer;
  peer.list({change("s2", {1, 15})}, {1, 20});
  EraFixture setup;
  setup.list({change("s1", {1, 10})}, {1, 10});
  // As members tell each other.
  if (auto changes = peer.Directory.serversChangedAfter({1, 10}))
    setup.Directory.applyServerChanges(*changes, {1, 10},
                                       peer.Directory.serversRevision(),
                                       UpdateOrigin::Peer);
  else
    setup.Directory.applyServerList(peer.Directory.servers(),
                                    peer.Directory.serversRevision(),
                                    UpdateOrigin::Peer);
  CHECK(setup.isChosen("s2"));
  bool isCurrent = setup.Directory.serversRevision() == StoreRevision{1, 20};
  std::vector<ServerChange> known = setup.Directory.servers();
  bool hasRemoved =
      std::ranges::find(known, "s1", &ServerChange::Id) != known.end();
  CHECK_FALSE((isCurrent && hasRemoved));
  CHECK(peer.Directory.serversChangedAfter({1, 20}).has_value());
}

// Nothing of such a response was read, and the store taken for lost.
TEST_CASE("Changes that exceed a response are told from a store that is away") {
  std::string events = "[{\"key\":\"servers/s1\",\"revision\":5,\"value\":\"" +
                       std::string(5000000, 'A') + "\"}]";
  PublishedUpdate update = readFrom(
      {withEra(httpResponse(200, "{\"events\":" + events + ",\"at\":5}"), "2")},
      true);
  CHECK(update.Status == ReadStatus::ResponseTooLong);
  CHECK(update.Era == 2);
  CHECK(update.Servers.empty());
}

// Of a response that turns out to be broken behind some changes.
TEST_CASE("A broken list of changes changes nothing") {
  for (const char *text :
       {R"({"events":[{"key":"servers/s1","revision":5,"value":""},)",
        R"({"events":[{"key":"servers/s1","revision":5,"value":""},1],"at":5})",
        R"({"events":[{"key":"servers/s1","revision":5,"value":""}]})"}) {
    PublishedUpdate update = readFrom({httpResponse(200, text)}, true);
    CHECK(update.Status == ReadStatus::Unavailable);
    CHECK(update.Servers.empty());
  }
}

// Answers of the store took memory that nobody counted.
TEST_CASE("What is read of the store's responses counts in the memory budget") {
  const std::string body = R"({"items":[],"has-more":false,"at":9,"other":")" +
                           std::string(1000000, 'x') + "\"}";
  const std::string lengths[] = {
      "Content-Length: " + std::to_string(body.size()) + "\r\n",
      "Connection: close\r\n"};
  for (const std::string &length : lengths) {
    std::atomic<bool> isSeen{false};
    ScriptServer store([&](int Fd, int) {
      readRequest(Fd);
      sendText(Fd, "HTTP/1.1 200 OK\r\n" + length + "\r\n" +
                       body.substr(0, body.size() / 2));
      CHECK(eventually([&] { return isSeen.load(); }));
      sendText(Fd, body.substr(body.size() / 2));
    });
    GatewaySettings values;
    values.StoreAddress = store.address();
    MemoryBudget budget;
    PublishedReader reader =
        crocusspur::platform::makeSource(values).MakeReader(
            PublishedKind::Servers, budget);
    std::thread watcher([&] {
      CHECK(eventually([&] { return budget.held() >= body.size() / 2; }));
      isSeen = true;
    });
    PublishedUpdate update = reader.ReadAll([] { return false; });
    watcher.join();
    CHECK(update.Status == ReadStatus::Ok);
    CHECK(budget.held() == 0);
  }
}
