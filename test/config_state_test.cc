#include "config_state.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <random>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

ConfigPtr document(uint64_t Version, uint64_t Base, uint64_t Digest = 0) {
  auto config = std::make_shared<ConfigDocument>();
  config->Version = Version;
  config->Base = Base;
  config->Digest = Digest ? Digest : Version;
  return config;
}

ConfigPtr activeDocument() {
  ConfigPtr result;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(
            result,
            parseConfigDocument(
                R"({"version":4,"base":3,"groups":[{"name":"a","share":2,)"
                R"("class":"batch","token_digests":[]},{"name":"b",)"
                R"("class":"normal","token_digests":[]}],"models":[],)"
                R"("services":[{"name":"v","servers":["s"]}],"servers":[)"
                R"({"name":"s","role":"service","address":"10.0.0.1:1"}]})"));
        return {};
      },
      [] {});
  REQUIRE(result);
  return result;
}

} // namespace

// Guards against instances disagreeing on which of two concurrent patches won.
TEST_CASE("ConfigState activates the same concurrent patch on every instance") {
  // 6 and 7 are both based on 5, 8 and 9 on 6, and 10 on the rejected 7.
  std::vector<ConfigPtr> published = {document(5, 4), document(6, 5),
                                      document(7, 5), document(8, 6),
                                      document(9, 6), document(10, 7)};
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<ConfigState> instances(4);
    for (ConfigState &it : instances)
      it.evaluatePublished(published[0]);
    for (int step = 0; step < 60; ++step) {
      ConfigState &to = instances[random() % 4];
      uint64_t before = to.current()->Version;
      if (random() % 2)
        to.evaluatePublished(published[random() % published.size()]);
      else
        to.adoptFromPeer(instances[random() % 4].current());
      uint64_t after = to.current()->Version;
      REQUIRE(after >= before);
      REQUIRE((after == 5 || after == 6 || after == 8));
    }
    // The reader continues after the last document evaluated.
    for (ConfigState &it : instances)
      while (it.lastEvaluated() < 10)
        REQUIRE(it.evaluatePublished(published[it.lastEvaluated() - 4]) !=
                ConfigOutcome::VersionGap);
    for (ConfigState &it : instances)
      REQUIRE(it.current()->Version == 8);
  }
}

// Guards against a stale service that reverts an accepted version.
TEST_CASE("ConfigState never returns to an older version") {
  ConfigState state;
  CHECK(state.adoptFromPeer(document(9, 8)) == ConfigOutcome::Activated);
  CHECK(state.evaluatePublished(document(8, 7)) == ConfigOutcome::AlreadySeen);
  CHECK(state.adoptFromPeer(document(8, 7)) == ConfigOutcome::AlreadySeen);
  CHECK(state.evaluatePublished(document(11, 9)) == ConfigOutcome::VersionGap);
  CHECK(state.evaluatePublished(document(10, 8)) == ConfigOutcome::Rejected);
  CHECK(state.lastEvaluated() == 10);
  CHECK(state.evaluatePublished(document(11, 9)) == ConfigOutcome::Activated);
}

// Guards against permanent disagreement if the platform reuses a version.
TEST_CASE("ConfigState resolves documents of equal version by digest") {
  ConfigPtr low = document(5, 4, 100), high = document(5, 4, 200);
  ConfigState first, second;
  first.evaluatePublished(low);
  second.evaluatePublished(high);
  CHECK(first.adoptFromPeer(high) == ConfigOutcome::AlreadySeen);
  CHECK(second.adoptFromPeer(low) == ConfigOutcome::Activated);
  CHECK(first.current()->Digest == 100);
  CHECK(second.current()->Digest == 100);
  CHECK(first.conflicts() == 1);
  CHECK(second.conflicts() == 1);
  CHECK(second.adoptFromPeer(low) == ConfigOutcome::AlreadySeen);
  CHECK(second.conflicts() == 1);
}

// Guards against patches that remove elements or fields they don't name.
TEST_CASE("EvaluatePatch merges named elements and keeps the rest") {
  PatchResult result = evaluatePatch(
      *activeDocument(),
      R"({"base":4,"patch_id":"p","changes":{"membership_epoch":2,"groups":[)"
      R"({"name":"a","share":5},{"name":"b","remove":true},)"
      R"({"name":"c","class":"interactive","token_digests":[]}]}})",
      6);
  REQUIRE(result.Accepted);
  const ConfigDocument &merged = *result.Result;
  CHECK(merged.Version == 7);
  CHECK(merged.Base == 4);
  CHECK(merged.PatchId == "p");
  CHECK(merged.MembershipEpoch == 2);
  REQUIRE(merged.Groups.size() == 2);
  CHECK(merged.findGroup("a")->Share == 5);
  CHECK(std::string(toString(merged.findGroup("a")->Class)) == "batch");
  CHECK(merged.findGroup("c"));
  CHECK(merged.Services.size() == 1);
}

// Guards against publishing a patch that every instance would reject.
TEST_CASE("EvaluatePatch rejects stale bases and invalid results") {
  auto check = [](const std::string &Text) {
    return evaluatePatch(*activeDocument(), Text);
  };
  PatchResult stale = check(R"({"base":3,"patch_id":"p","changes":{}})");
  CHECK_FALSE(stale.Accepted);
  CHECK(stale.Error == ErrorKind::StaleBase);
  CHECK(stale.CurrentVersion == 4);
  PatchResult dangling =
      check(R"({"base":4,"patch_id":"p","changes":{"servers":[)"
            R"({"name":"s","remove":true}]}})");
  CHECK(dangling.Error == ErrorKind::BadPatch);
  REQUIRE(dangling.Diagnostics.Diagnostics.size() == 1);
  CHECK(dangling.Diagnostics.Diagnostics[0].Key == "services[0].servers[0]");
  for (const char *bad :
       {R"({"base":4,"patch_id":"p","changes":[]})", R"({"base":4})", "x",
        R"({"base":4,"patch_id":"p","changes":{"version":9}})",
        R"({"base":4,"patch_id":"p","changes":{"groups":[{"share":1}]}})",
        R"({"base":4,"patch_id":"p","changes":{"groups":[{"name":null}]}})",
        R"({"base":4,"patch_id":"p","changes":{"groups":null}})",
        R"({"base":4,"patch_id":"p","changes":{"groups":)"
        R"([{"name":"z","remove":true}]}})"}) {
    PatchResult result = check(bad);
    CHECK_FALSE(result.Accepted);
    CHECK(result.Error == ErrorKind::BadPatch);
    CHECK_FALSE(result.Diagnostics.Diagnostics.empty());
  }
}
