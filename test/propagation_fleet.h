// Model of a fleet through which published changes spread, in virtual time: the
// product's decisions about who reads the store and who tells whom, with a
// modelled store, network and processors. Plays schedules of faults and
// measures when a change is in force at each instance.
#ifndef CROCUSSPUR_TEST_PROPAGATION_FLEET_H
#define CROCUSSPUR_TEST_PROPAGATION_FLEET_H

#include "gateway/decisions/member_table.h"
#include "gateway/decisions/reader_election.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusspur::test {

enum class FleetFault : uint8_t {
  None,
  StoreSilent, // the store doesn't respond to the instances
  StoreBusy,   // the store rejects their calls
  WatchesHang, // responses to their pending calls are lost, later ones arrive
  Killed,
  Frozen,
  CutOff,    // from all other instances and the store
  CutOneWay, // nothing that the others send reaches them
  Slow,      // their processors are five times slower
};

const char *nameOf(FleetFault Fault);

// A fault that strikes a part of the instances.
struct FaultSpell {
  FleetFault Fault = FleetFault::None;
  double Share = 0;          // of the instances
  bool ReadersFirst = false; // those that read the store go first
  Milliseconds At{0};        // since the begin of the schedule
  Milliseconds Time{0};
};

struct FaultSchedule {
  std::vector<FaultSpell> Spells;
  // When the store acknowledges changes of a kind; the last is measured.
  std::vector<Milliseconds> Changes;
  gateway::PublishedKind Kind = gateway::PublishedKind::Routes;
  double Loss = 0; // part of the packets between failure domains

  std::string str() const;
};

struct PropagationOptions {
  int Instances = 61;
  int Domains = 4;
  Milliseconds Bound{3000};
  uint64_t Seed = 1;
  double DocumentBytes = 15000;
};

// When the last change of a schedule was in force.
struct PropagationResult {
  Milliseconds Slowest{0}; // of the instances to which the bound applies
  std::string SlowestInstance;
  int Late = 0;                     // instances beyond the bound
  int Judged = 0;                   // to which the bound applies
  std::optional<Milliseconds> Read; // until the first instance knew it
  uint64_t Calls = 0;               // of the store during the schedule
};

class PropagationFleet {
public:
  explicit PropagationFleet(const PropagationOptions &Options);
  ~PropagationFleet();

  // Runs without faults, until the fleet has settled.
  void advance(Milliseconds Time);
  PropagationResult play(const FaultSchedule &Schedule);
  uint64_t calls() const { return Calls; }
  uint64_t exchanges() const { return Exchanges; }
  double bytes() const { return Bytes; } // of frames
  // The longest time since the store had what an instance knows, of all that
  // run.
  Milliseconds oldestKnowledge() const;

private:
  enum class FrameUse : uint8_t { Round, Notification, Question };
  struct Node;
  struct PendingWatch;

  void at(TimePoint When, std::function<void()> Action);
  // Runs the action once the instance does; never if it has been killed since.
  void onNode(Node &Of, TimePoint When, std::function<void()> Action);
  void runUntil(TimePoint Until);
  Node &nodeAt(const std::string &Address);
  gateway::ReaderView viewOf(Node &Of);
  gateway::Member memberOf(const Node &Of) const;

  void start(Node &Of);
  void kill(Node &Of);
  void read(Node &Of, gateway::PublishedKind Kind);
  void call(Node &Of, gateway::PublishedKind Kind);
  void respondToWatch(const std::shared_ptr<PendingWatch> &Watch);
  // `ConfirmedAt`: nothing if the call has failed.
  void onCallEnded(Node &Of, gateway::PublishedKind Kind,
                   std::optional<TimePoint> ConfirmedAt, uint64_t Revision);
  void publish(gateway::PublishedKind Kind);
  void learn(Node &Of, gateway::PublishedKind Kind, uint64_t Revision);

  gateway::PropagationBudget budgetOf(Node &Of);
  bool isOld(Node &Of);
  void awaitUpdates(Node &Of);
  void wake(Node &Of);
  void notify(Node &Of);
  void tellReaders(Node &Of);
  void ask(Node &Of);
  void runRound(Node &Of);
  // Contacts one after the other until `Count` have responded.
  void contactNext(Node &Of, std::vector<std::string> Rest, size_t Count,
                   FrameUse Use, std::function<void()> Done);
  void exchange(Node &From, Node &To, Milliseconds Timeout, FrameUse Use,
                std::function<void(bool)> Done);
  bool reaches(const Node &From, const Node &To) const;
  Milliseconds latency(const Node &From, const Node &To);

  void strike(const FaultSpell &Spell);
  void heal(const std::vector<Node *> &Struck, const FaultSpell &Spell);
  std::vector<Node *> choose(const FaultSpell &Spell);

  PropagationOptions Options;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Node>> All;
  std::map<std::string, Node *> ByAddress;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<std::shared_ptr<PendingWatch>> Watches;
  TimePoint Now;
  std::array<uint64_t, 2> StoreRevisions{1, 1};
  double Loss = 0;
  uint64_t Calls = 0;
  uint64_t Exchanges = 0;
  double Bytes = 0;
  std::array<std::optional<TimePoint>, 2> FirstReadAt;
};

// A schedule drawn by chance: one or two faults, mostly of the instances that
// read, and changes around the moment at which they strike.
FaultSchedule randomSchedule(std::mt19937_64 &Random);

} // namespace crocusspur::test

#endif
