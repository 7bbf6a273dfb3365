#include "gateway/decisions/member_table.h"
#include "gateway/decisions/reachability_table.h"
#include "virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

constexpr size_t Servers = 9;

void fail(ReachabilityTable &Table, int Count, int64_t Ms) {
  for (int i = 0; i < Count; ++i)
    Table.onFailed("s", "s" + std::to_string(i), at(Ms), at(Ms));
}

Reachability stateAt(const ReachabilityTable &Table, int64_t Ms,
                     size_t Count = Servers) {
  return Table.stateOf("s", Count, at(Ms));
}

} // namespace

TEST_CASE("A service is cut off once three servers fail without a response") {
  ReachabilityTable table;
  CHECK(stateAt(table, 0) == Reachability::Reached);
  fail(table, 2, 100);
  CHECK(stateAt(table, 100) == Reachability::Suspected);
  fail(table, 3, 200);
  CHECK(stateAt(table, 200) == Reachability::CutOff);
  CHECK(table.stateOf("other", Servers, at(200)) == Reachability::Reached);
  table.onResponded("s", at(201), at(210));
  CHECK(stateAt(table, 210) == Reachability::Reached);
}

TEST_CASE("A service with few servers is cut off once all of them fail") {
  ReachabilityTable table;
  fail(table, 1, 100);
  CHECK(stateAt(table, 100, 1) == Reachability::CutOff);
  CHECK(stateAt(table, 100, 2) == Reachability::Suspected);
}

// One dead server fails again and again.
TEST_CASE("Failures of one server don't cut a service off") {
  ReachabilityTable table;
  for (int i = 0; i < 20; ++i)
    fail(table, 1, 100 * i);
  CHECK(stateAt(table, 2000) == Reachability::Suspected);
}

// A response that was under way when the cut began proves nothing.
TEST_CASE("A response to a call from before a failure doesn't end a cut") {
  ReachabilityTable table;
  fail(table, 3, 100);
  table.onResponded("s", at(50), at(150));
  CHECK(stateAt(table, 150) == Reachability::CutOff);
}

// A sound server may be silent for a second, and a full one for longer.
TEST_CASE("Silent requests raise a suspicion and no cut") {
  ReachabilityTable table;
  for (int i = 0; i < 9; ++i)
    table.onSilent("s", at(100 * i), at(100 * i + 50));
  CHECK(stateAt(table, 1000) == Reachability::Suspected);
}

TEST_CASE("Failures that aren't repeated are forgotten") {
  ReachabilityTable table;
  fail(table, 3, 100);
  CHECK(stateAt(table, 5101) == Reachability::Reached);
}

// A member that has lost its servers looked like one that reaches them until
// its latest response was ten seconds old, and was asked to handle requests.
TEST_CASE("A service that is cut off isn't stated as reached") {
  ReachabilityTable table;
  auto names = [&](int64_t Ms) {
    std::vector<std::string> all;
    for (const ServiceReach &it :
         table.reached([](const std::string &) { return Servers; }, at(Ms)))
      all.push_back(it.Service);
    return all;
  };
  table.onResponded("other", at(0), at(50));
  table.onResponded("s", at(0), at(50));
  fail(table, 2, 100);
  CHECK(names(100) == std::vector<std::string>{"other", "s"});
  fail(table, 3, 200);
  CHECK(names(200) == std::vector<std::string>{"other"});
  table.onResponded("s", at(201), at(210));
  CHECK(names(210) == std::vector<std::string>{"other", "s"});
}

TEST_CASE("Requests are passed on to members that reach the service") {
  MemberTable table("n0", "a0", 1);
  auto see = [&](const std::string &Name, Milliseconds Age, bool Leaving) {
    Member member{Name, Name, 1, Milliseconds(0), Leaving, {}, {}};
    member.Reached = {{"s", Age}};
    table.onMemberSeen(member, at(0));
  };
  see("n1", Milliseconds(100), false);
  see("n2", Milliseconds(100), true);
  see("n3", Milliseconds(60000), false);
  see("n4", Milliseconds(200), false);
  auto names = [&](int64_t Ms) {
    std::vector<std::string> all;
    for (const Member &it : table.reaching("s", at(Ms)))
      all.push_back(it.Name);
    std::sort(all.begin(), all.end());
    return all;
  };
  CHECK(names(0) == std::vector<std::string>{"n1", "n4"});
  // Members that have just started have called no server yet.
  see("n5", Milliseconds(100), false);
  CHECK(table.reaching("other", at(0)).size() == 4);
  Member fresh{"n6", "n6", 1, Milliseconds(0), false, {}, {}};
  table.onMemberSeen(fresh, at(0));
  CHECK(names(0) == std::vector<std::string>{"n1", "n4", "n5", "n6"});
  CHECK(table.reaching("s", at(0)).back().Name == "n6");
  table.onContactFailed("n5", at(0));
  table.onContactFailed("n6", at(0));
  table.onForwardRefused("n1", "s", at(0));
  CHECK(names(100) == std::vector<std::string>{"n4"});
  CHECK(names(600) == std::vector<std::string>{"n1", "n4"});
  table.onContactFailed("n4", at(600));
  CHECK(names(700) == std::vector<std::string>{"n1"});
}
