// Gateway processes with a store in the test process, for process tests and the
// soak test.
#ifndef CROCUSSPUR_TEST_GATEWAY_FLEET_H
#define CROCUSSPUR_TEST_GATEWAY_FLEET_H

#include "child_process.h"
#include "gateway_fixture.h"

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::test {

constexpr Milliseconds WaitTimeout{30000};

// A fake of the platform's store, as far as the gateway calls it. It can reject
// callers by the name that they state.
class FakeStore {
public:
  FakeStore();
  ~FakeStore();

  std::string address() const { return Server.address(); }
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  // While it's away, connections are closed without a response.
  void setAway(bool IsAway);
  // Keeps a copy of all items, to which restore() returns.
  void copy();
  // Takes back everything since the copy; later changes get revisions that
  // have been given out before. Raises the era.
  void restore();
  // Writes again what restore() took back, as the operator and the servers do.
  void writeLostAgain();
  // Watches from a revision before the present one get 410.
  void discardHistory();
  void setRevision(uint64_t Value); // as if others had written meanwhile
  uint64_t revision();
  // Calls served so far.
  uint64_t calls() const { return Calls.load(); }
  // Replaces the statement of the era in responses; empty: none is made.
  void setEraField(std::optional<std::string> Text);
  void setRejecting(const std::string &Instance, bool Rejecting);
  // Calls of the instance get no response, those that wait neither.
  void setSilent(const std::string &Instance, bool IsSilent);
  // From now on `Other` gets all changes too, with values that `Translate`
  // returns, so that it serves other addresses at the same revisions.
  void mirrorTo(FakeStore &Other,
                std::function<std::string(std::string)> Translate) {
    Mirror = &Other;
    TranslateValue = std::move(Translate);
  }

private:
  struct Item {
    uint64_t Revision = 0;
    std::optional<std::string> Value; // nothing: removed
  };
  struct State {
    uint64_t Revision = 1;
    uint64_t Discarded = 0; // up to this revision
    std::map<std::string, Item> Items;
  };

  void serve(int Fd);
  bool isRejected(const std::string &Request);
  // Returns once the store isn't silent towards the sender.
  void awaitVoice(const std::string &Request);
  // The changes after the revision, or with `AfterKey` a page of the items
  // behind that key.
  std::string list(const std::string &Prefix, uint64_t After,
                   const std::optional<std::string> &AfterKey, bool &Any);
  // Called with the lock.
  std::string withEra(std::string Response) const;
  std::string respond(const std::string &Request);
  std::string respondToWatch(const std::string &Request,
                             const std::string &Prefix);

  std::mutex Mutex;
  State Current;
  State Copy;
  std::map<std::string, Item> Lost; // by the last restore()
  uint64_t Era = 1;
  std::optional<std::string> EraText;
  bool Away = false;
  bool Stopping = false;
  std::atomic<uint64_t> Calls{0};
  std::map<std::string, bool> Rejected;
  std::map<std::string, bool> Silent;
  FakeStore *Mirror = nullptr;
  std::function<std::string(std::string)> TranslateValue;
  std::set<int> Open;
  ScriptServer Server;
};

// Returns a loopback address and port that was free a moment ago.
std::string freeAddress();
// Returns a connected socket, or -1.
int connectTo(const std::string &Address);

// Returns a configuration with one route of non-idempotent calls under the
// prefix.
std::string configOf(int Version, const std::string &Prefix);
// Returns the entry of a ready server of the service.
std::string serverEntry(const std::string &Service, const std::string &Address,
                        const std::string &More = "",
                        int64_t StartedAt = 1764000000123,
                        const std::string &Version = "v1",
                        const std::string &FailureDomain = "hall-a");

struct GatewayInstance {
  std::string Name;
  std::string FailureDomain = "hall-a";
  std::string Callers = freeAddress();
  std::string Ready = freeAddress();
  std::string Peers = freeAddress();
  std::filesystem::path File;
  std::unique_ptr<ChildProcess> Process;
};

class GatewayFleet {
public:
  // `StoreAddress`: address of the store that the instances use; empty: that of
  // `Store`. The instances are in these failure domains by turns.
  explicit GatewayFleet(int Count, const std::string &StoreAddress = "",
                        const std::vector<std::string> &FailureDomains = {
                            "hall-a"});
  ~GatewayFleet();

  void addServer(const std::string &Id, const FakeServer &Server);
  // Makes every instance a seed, so that each reads its store from the start;
  // before the instances are started.
  void makeAllSeeds();
  // Lets the instance use another store; before it is started.
  void useStore(const GatewayInstance &Item, const FakeStore &Other) {
    writeSettings(Item, Other.address());
  }
  void start(GatewayInstance &Item);
  // Starts all instances and waits until they are ready.
  void startAll();

  // Status of the readiness probe; 0 without a response.
  static int readiness(const GatewayInstance &Item);
  static bool waitForReady(const GatewayInstance &Item);
  // Waits until the states of all instances contain the text.
  bool waitForState(const std::string &Part, Milliseconds Limit) const;
  // Sends a request on a new connection and returns everything received.
  static std::string get(const std::string &Address, const std::string &Path,
                         const std::string &Fields);
  static std::string sendRequest(const GatewayInstance &Item,
                                 const std::string &Path);

  FakeStore Store;
  std::vector<GatewayInstance> Instances;
  // What the instances run; also another build.
  std::string Program = CROCUSSPUR_BUILD_DIR "/crocusspur";
  // If set, another build, which each second start runs: both are side by side,
  // and instances that start again go forth and back between them.
  std::string OtherProgram;
  // Of each instance whose settings are written after it is set.
  double RetryBudgetRatio = 0.2;

private:
  void writeSettings(const GatewayInstance &Item,
                     const std::string &StoreAddress);

  std::filesystem::path Folder;
  bool AllAreSeeds = false;
  uint64_t Starts = 0;
};

} // namespace crocusspur::test

#endif
