// Random histories of several key homes in virtual time, with lost and delayed
// messages, partitions, pauses, restarts, lagging lists and list changes.
// Clocks run at different rates and wall clocks differ.
#include "key_home.h"

#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

constexpr int NodeCount = 7;
constexpr int64_t End = 35000;       // of a history, in ms of virtual time
constexpr int64_t FaultsFrom = 5000; // the first list is active by then
constexpr int64_t Retention = 20000;
constexpr int64_t UntimedLife = 12000;
// The rule for first lists is safe only while not all instances of a list have
// lost their state, and each list has at least three members.
constexpr int MaxRestarts = 2;

struct Key {
  std::string Text;
  int64_t Created = 0;
  bool Timed = false;
  std::vector<std::string> Executions;
};

struct Node {
  CoreOptions Options;
  InstanceListPtr List;
  ActionList Out;
  std::unique_ptr<KeyHome> Keys;
  double Rate = 1;         // of the monotonic clock
  int64_t WallOffset = 0;  // of the wall clock
  int64_t PausedUntil = 0; // events wait until then
  int Side = 0;
};

class History {
public:
  explicit History(unsigned Seed) : Random(Seed) {}
  void run();

  std::vector<Key> Keys;
  // Wall clocks differ by less than this. A small margin exposes overlaps of
  // homes, a large one exposes clock errors.
  int64_t ClockMargin = 40;
  bool Harsh = false;  // more list changes and pauses, fewer executions
  std::string Overlap; // first time at which two lists had a home lease

private:
  using Step = std::function<void()>;
  struct Due {
    int64_t At;
    uint64_t Order;
    Step Run;
    bool operator<(const Due &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  int64_t pick(int64_t Min, int64_t Max) {
    return std::uniform_int_distribution<int64_t>(Min, Max)(Random);
  }
  bool chance(int Percent) { return pick(1, 100) <= Percent; }
  void scheduleGlobal(int64_t Delay, Step Run) {
    Queue.push({Now + Delay, NextOrder++, std::move(Run)});
  }
  // Schedules an event for the node's current run: it's delayed while the node
  // is paused and dropped after a restart.
  void schedule(Node &Of, int64_t Delay, Step Run);

  void setUp();
  void start(Node &Of);
  void tick(Node &Of);
  void sendHeartbeats(Node &Of);
  void send(Node &From, const std::string &To, PeerMessage Message);
  void deliver(Node &To, const std::string &From, uint64_t Incarnation,
               const PeerMessage &Message);
  void flush(Node &Of);
  InstanceListPtr makeList();
  void publish();
  void fault();
  void restart(Node &Of);
  void request();
  void use(size_t KeyIndex);
  void checkOverlap();
  void arrive(Node &At, size_t KeyIndex, bool Forwarded);
  void decide(Node &At, size_t KeyIndex, const RequestId &Id,
              const KeyDecision &Decision);
  void write(Node &At, size_t KeyIndex, const RequestId &Id,
             TimePoint NotAfter);
  void resolve(Node &At);

  TimePoint clockOf(const Node &Of) const {
    return TimePoint(std::chrono::microseconds(static_cast<int64_t>(
        static_cast<double>(Now + 1000) * 1000 * Of.Rate)));
  }
  CoreContext context(Node &Of) {
    WallTime wall{Milliseconds(1000000 + Now + Of.WallOffset)};
    return {clockOf(Of), wall, Of.Options, Config, *Of.List, Of.Out};
  }

  std::mt19937 Random;
  std::priority_queue<Due> Queue;
  uint64_t NextOrder = 0;
  int64_t Now = 0;
  uint64_t NextId = 1;
  int Restarts = 0;
  ConfigDocument Config;
  std::vector<Node> Nodes;
  std::vector<InstanceListPtr> Published;
  std::map<RequestId, size_t> Waiting;
};

void History::schedule(Node &Of, int64_t Delay, Step Run) {
  uint64_t run = Of.Options.Incarnation;
  scheduleGlobal(Delay, [this, &Of, run, step = std::move(Run)]() mutable {
    if (Of.Options.Incarnation != run)
      return;
    if (Of.PausedUntil > Now)
      schedule(Of, Of.PausedUntil - Now, std::move(step));
    else
      step();
  });
}

void History::setUp() {
  Harsh = chance(50);
  ClockMargin = chance(50) ? 40 : pick(40, 1500);
  Config.Groups.resize(1);
  Config.Groups[0].Name = "g";
  Nodes.resize(NodeCount);
  auto first = std::make_shared<InstanceList>();
  first->Digest = 1;
  for (int i = 0; i < NodeCount; ++i) {
    Node &node = Nodes[static_cast<size_t>(i)];
    node.Options.Instance = "e" + std::to_string(i);
    node.Options.KeyRetention = Milliseconds(Retention);
    node.Options.ClockMargin = Milliseconds(ClockMargin);
    node.Rate = 1 + static_cast<double>(pick(-50, 50)) / 1000;
    node.WallOffset = pick(-ClockMargin / 2, ClockMargin / 2);
    if (i < 5)
      first->Instances.push_back(
          {node.Options.Instance, MemberState::Live, "", "", ""});
  }
  Published.push_back(first);
  for (Node &it : Nodes) {
    it.List = first;
    start(it);
  }
}

void History::start(Node &Of) {
  Of.Options.Incarnation = NextId++ * 7919;
  Of.Keys = std::make_unique<KeyHome>(Of.Options);
  Of.Out.clear();
  schedule(Of, pick(0, 249), [this, &Of] { tick(Of); });
  schedule(Of, pick(0, 499), [this, &Of] { sendHeartbeats(Of); });
}

void History::tick(Node &Of) {
  CoreContext context = this->context(Of);
  Of.Keys->onTimer(context);
  resolve(Of);
  schedule(Of, 250, [this, &Of] { tick(Of); });
}

void History::sendHeartbeats(Node &Of) {
  for (Node &to : Nodes) {
    if (&to == &Of)
      continue;
    CoreContext context = this->context(Of);
    Heartbeat message;
    Of.Keys->fillHeartbeat(context, to.Options.Instance, message);
    send(Of, to.Options.Instance, message);
  }
  schedule(Of, 500, [this, &Of] { sendHeartbeats(Of); });
}

void History::send(Node &From, const std::string &To, PeerMessage Message) {
  Node &to = Nodes[static_cast<size_t>(To[1] - '0')];
  if (From.Side != to.Side || (Now > FaultsFrom && chance(3)))
    return;
  int64_t delay = Now > FaultsFrom && chance(3) ? pick(20, 4000) : pick(1, 5);
  schedule(to, delay,
           [this, &to, name = From.Options.Instance,
            run = From.Options.Incarnation,
            body = std::move(Message)] { deliver(to, name, run, body); });
}

void History::deliver(Node &To, const std::string &From, uint64_t Incarnation,
                      const PeerMessage &Message) {
  CoreContext context = this->context(To);
  if (const auto *it = std::get_if<Heartbeat>(&Message))
    To.Keys->onHeartbeat(context, From, Incarnation, *it);
  if (const auto *it = std::get_if<KeyQuery>(&Message))
    To.Keys->onKeyQuery(context, From, *it);
  if (const auto *it = std::get_if<KeyAnswer>(&Message))
    To.Keys->onKeyAnswer(context, From, *it);
  flush(To);
}

void History::flush(Node &Of) {
  ActionList out;
  out.swap(Of.Out);
  for (Action &it : out)
    if (auto *sent = std::get_if<SendToPeer>(&it))
      send(Of, sent->Instance, std::move(sent->Message));
  resolve(Of);
}

InstanceListPtr History::makeList() {
  auto list = std::make_shared<InstanceList>();
  while (list->Instances.size() < 3) {
    list->Instances.clear();
    list->Digest = 0;
    for (size_t i = 0; i < Nodes.size(); ++i)
      if (chance(Harsh ? 50 : 65)) {
        list->Digest |= uint64_t(1) << i;
        list->Instances.push_back(
            {Nodes[i].Options.Instance, MemberState::Live, "", "", ""});
      }
  }
  return list;
}

// Publishes a new or an old list. Nodes receive it at different times.
void History::publish() {
  InstanceListPtr list = chance(30) ? Published[static_cast<size_t>(pick(
                                          0, int64_t(Published.size()) - 1))]
                                    : makeList();
  Published.push_back(list);
  int lagging = Harsh && chance(50) ? 60 : 25;
  for (Node &it : Nodes) {
    int64_t delay = chance(lagging) ? pick(500, 15000) : pick(0, 300);
    schedule(it, delay, [this, &it, list] {
      it.List = list;
      CoreContext context = this->context(it);
      it.Keys->onListChanged(context);
    });
  }
}

void History::restart(Node &Of) {
  if (Restarts >= MaxRestarts)
    return;
  ++Restarts;
  auto back = pick(0, std::min<int64_t>(2, int64_t(Published.size()) - 1));
  Of.List = Published[Published.size() - 1 - static_cast<size_t>(back)];
  Of.PausedUntil = Now;
  start(Of);
  InstanceListPtr newest = Published.back();
  schedule(Of, pick(1000, 10000), [&Of, newest] { Of.List = newest; });
}

void History::fault() {
  Node &node = Nodes[static_cast<size_t>(pick(0, NodeCount - 1))];
  int kind = static_cast<int>(pick(1, 10));
  if (kind <= (Harsh ? 4 : 2))
    publish();
  else if (kind <= 6)
    node.PausedUntil = Now + pick(100, 5000);
  else if (kind <= 7)
    restart(node);
  else
    for (Node &it : Nodes)
      it.Side = kind == 10 ? 0 : static_cast<int>(pick(0, 1));
  scheduleGlobal(pick(200, 4000), [this] { fault(); });
}

void History::request() {
  if (Keys.size() < 30 && chance(20)) {
    Key key;
    key.Created = Now;
    key.Timed = chance(60);
    auto issued = static_cast<unsigned long long>(
        1000000 + Now + pick(-ClockMargin / 2, ClockMargin / 2));
    char buf[64];
    std::snprintf(buf, sizeof buf, "%08llx-%04llx-7000-8000-%012zx",
                  issued >> 16, issued & 0xffff, Keys.size());
    key.Text = key.Timed ? buf : "key-" + std::to_string(Keys.size());
    Keys.push_back(key);
    for (int i = 0; i < 4; ++i)
      scheduleGlobal(pick(0, 4000),
                     [this, index = Keys.size() - 1] { use(index); });
  }
  if (!Keys.empty())
    use(static_cast<size_t>(pick(0, int64_t(Keys.size()) - 1)));
  scheduleGlobal(pick(20, 300), [this] { request(); });
}

void History::use(size_t KeyIndex) {
  Node &node = Nodes[static_cast<size_t>(pick(0, NodeCount - 1))];
  schedule(node, 0, [this, &node, KeyIndex] { arrive(node, KeyIndex, false); });
}

void History::arrive(Node &At, size_t KeyIndex, bool Forwarded) {
  const Key &key = Keys[KeyIndex];
  // After the retention, an untimed key counts as new, so callers stop retrying
  // before that.
  if (!key.Timed && Now >= key.Created + UntimedLife)
    return;
  RequestSpec spec;
  spec.Group = "g";
  spec.IdempotencyKey = key.Text;
  RequestId id{1, NextId++};
  CoreContext context = this->context(At);
  KeyDecision decision = At.Keys->admit(context, id, spec, Forwarded);
  if (decision.Action == KeyAction::Wait)
    Waiting[id] = KeyIndex;
  flush(At);
  decide(At, KeyIndex, id, decision);
}

void History::decide(Node &At, size_t KeyIndex, const RequestId &Id,
                     const KeyDecision &Decision) {
  if (Decision.Action == KeyAction::Forward) {
    Node &home = Nodes[static_cast<size_t>(Decision.Home[1] - '0')];
    if (At.Side == home.Side)
      schedule(home, chance(10) ? pick(1, 3000) : 1,
               [this, &home, KeyIndex] { arrive(home, KeyIndex, true); });
  }
  if (Decision.Action != KeyAction::Execute)
    return;
  schedule(At, chance(60) ? pick(0, 50) : pick(0, 5000),
           [this, &At, KeyIndex, Id, limit = Decision.NotAfter] {
             write(At, KeyIndex, Id, limit);
           });
}

void History::write(Node &At, size_t KeyIndex, const RequestId &Id,
                    TimePoint NotAfter) {
  CoreContext context = this->context(At);
  if (chance(50))
    NotAfter = At.Keys->dispatchLimit(context, Keys[KeyIndex].Text);
  if (context.Now >= NotAfter || chance(10))
    return At.Keys->onNotRun(context, Id);
  At.Keys->onDispatched(context, Id);
  Keys[KeyIndex].Executions.push_back(At.Options.Instance + " at " +
                                      std::to_string(Now) + " ms");
  schedule(At, pick(0, 2000), [this, &At, Id] {
    CoreContext context = this->context(At);
    if (chance(70))
      At.Keys->onOutcome(context, Id, 200, "", "done");
    else
      At.Keys->onOutcomeUnknown(context, Id);
  });
}

void History::resolve(Node &At) {
  CoreContext context = this->context(At);
  for (auto &[id, decision] : At.Keys->takeResolved(context)) {
    auto it = Waiting.find(id);
    if (it != Waiting.end())
      decide(At, it->second, id, decision);
  }
}

void History::checkOverlap() {
  uint64_t leased = 0;
  for (Node &it : Nodes) {
    uint64_t digest = it.Keys->leasedListDigest(clockOf(it));
    if (digest && leased && digest != leased && Overlap.empty())
      Overlap = std::to_string(Now) + " ms";
    leased = digest ? digest : leased;
  }
  scheduleGlobal(20, [this] { checkOverlap(); });
}

void History::run() {
  setUp();
  scheduleGlobal(0, [this] { checkOverlap(); });
  scheduleGlobal(FaultsFrom, [this] { fault(); });
  scheduleGlobal(3000, [this] { request(); });
  while (!Queue.empty() && Queue.top().At <= End) {
    Due due = std::move(const_cast<Due &>(Queue.top()));
    Queue.pop();
    Now = due.At;
    due.Run();
  }
}

} // namespace

// Guards against a key being executed by two homes, or by one home before and
// after a fault.
TEST_CASE("KeyHome executes no key twice in random histories") {
  size_t keys = 0, executed = 0;
  const char *wanted = std::getenv("CROCUSSPUR_KEY_HISTORIES");
  unsigned histories = wanted ? static_cast<unsigned>(std::atoi(wanted)) : 2000;
  for (unsigned seed = 1; seed <= histories; ++seed) {
    CAPTURE(seed);
    History history(seed);
    history.run();
    if (!history.Overlap.empty())
      FAIL_CHECK("seed ", seed, ", two lists leased at ", history.Overlap);
    for (const Key &it : history.Keys) {
      ++keys;
      executed += it.Executions.empty() ? 0 : 1;
      if (it.Executions.size() < 2)
        continue;
      std::string all;
      for (const std::string &one : it.Executions)
        all += one + "; ";
      FAIL_CHECK("seed ", seed, ", key ", it.Text, " executed by ", all);
    }
  }
  // A run that rejects every request would pass the checks above.
  CHECK(executed > 4 * histories);
  MESSAGE("executed ", executed, " of ", keys, " keys");
}
