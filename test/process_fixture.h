// A fleet of real processes for tests: stand-ins for the external systems and
// routers with generated settings, all on loopback ports chosen by the kernel.
#ifndef CROCUSSPUR_TEST_PROCESS_FIXTURE_H
#define CROCUSSPUR_TEST_PROCESS_FIXTURE_H

#include "child_process.h"
#include "http_client.h"
#include "peer_proxy.h"

#include <Poco/JSON/Object.h>
#include <memory>
#include <string>
#include <vector>

namespace crocusspur::test {

// Timeout of waits whose duration isn't under test.
constexpr Milliseconds WaitTimeout{30000};

struct FleetGroup {
  std::string Name;
  std::string Class = "normal"; // as in the configuration document
  std::string Token;
  double Share = 1;
  uint32_t FirstOutputMs = 5000;
  bool MayWait = false;
};

struct FleetOptions {
  uint32_t Routers = 3;
  uint32_t PrefillServers = 2;
  uint32_t DecodeServers = 3;
  uint32_t ServiceServers = 2;

  uint32_t Slots = 4;
  double PrefillTokensPerSecond = 20000;
  uint32_t TokenIntervalMs = 10;
  double LinkBytesPerSecond = 1e9;
  uint32_t EvictionMs = 2000;
  uint32_t KvBytesPerToken = 1000;
  uint32_t ReportLagMs = 100;
  bool ChecksFencing = true;
  std::vector<std::string> EngineFlags;  // additional ones, for all engines
  std::vector<std::string> ServiceFlags; // for all service servers
  std::vector<std::string> IdempotentMethods = {"GET"};

  Milliseconds Heartbeat{500};
  Milliseconds Lease{2000};
  Milliseconds ProgressTimeout{5000};
  Milliseconds CallerIdleTimeout{30000};
  Milliseconds ShutdownLimit{30000};
  Milliseconds ClockMargin{0}; // all processes share one clock
  std::string LogLevel = "info";
  // The published list contains proxy addresses in place of the routers' peer
  // addresses.
  bool ProxyPeers = false;
  // Additional TOML sections of the routers' settings.
  std::string ExtraSettings;

  std::vector<FleetGroup> Groups = {
      {"drivers", "interactive", "drivers-token", 3, 5000, false},
      {"planners", "batch", "planners-token", 1, 5000, true}};
};

// A stand-in: an engine, a service server or the platform.
struct FleetServer {
  std::string Name;
  std::string Role;
  std::string Address;
  std::string State = "live"; // in the published list
  std::unique_ptr<ChildProcess> Process;
};

struct FleetRouter {
  std::string Name;
  std::string CallerAddress;
  std::string OperatorAddress;
  std::string PeerAddress;
  std::string State = "live"; // "": not in the published list
  std::string SettingsFile;
  std::unique_ptr<ChildProcess> Process;
};

class ProcessFixture {
public:
  // Starts all processes, publishes a configuration and a list, and waits until
  // all routers are ready. Throws std::runtime_error with the output of the
  // process that failed to start.
  explicit ProcessFixture(FleetOptions Options = {});
  ~ProcessFixture();

  FleetRouter &router(size_t Index) { return *Routers.at(Index); }
  FleetServer &server(const std::string &Name);
  FleetServer &platform() { return Platform; }
  size_t routers() const { return Routers.size(); }
  // Valid only with ProxyPeers.
  PeerProxy &peerProxy() { return *Proxy; }

  // Restarts router Index with its settings; it gets new ports.
  void restartRouter(size_t Index);
  // Restarts a stand-in at its old address.
  void restartServer(const std::string &Name);

  // Publish the current state of the fixture under the next number and return
  // the number.
  uint64_t publishConfig();
  uint64_t publishList();
  // Publishes a text verbatim.
  HttpResponse publishConfigText(const std::string &Text,
                                 const std::string &Query = "");
  std::string configText(uint64_t Version, uint64_t Base) const;
  std::string listText(uint64_t Sequence) const;

  bool waitForReady(size_t Index, Milliseconds Limit = WaitTimeout);
  // Waits until the router can be the home of idempotency keys. It refuses keys
  // that were issued earlier as unknown.
  bool waitForKeyHome(size_t Index, Milliseconds Limit = WaitTimeout);

  // Builds a request with the token of the first group.
  HttpRequest call(size_t Router, const std::string &Method,
                   const std::string &Path, const std::string &Body = "") const;
  HttpRequest completion(size_t Router, const std::string &Prompt,
                         uint32_t MaxTokens, bool Stream) const;

  // Sends a control call to a stand-in; `Path` includes the query, as in
  // "freeze?on=1".
  HttpResponse control(const std::string &Server, const std::string &Path);
  // Returns the stand-in's execution log, or null if it doesn't respond.
  Poco::JSON::Object::Ptr executionLog(const std::string &Server);
  // Returns requests that run or hold memory at an engine, as
  // "server:kind:request".
  std::vector<std::string> heldRequests();
  // Returns the number of runs of all engines with this kind and outcome; ""
  // matches all.
  size_t countRuns(const std::string &Kind, const std::string &Outcome);
  Poco::JSON::Object::Ptr state(size_t Router);
  // Sends a request to the router's operator listener.
  HttpResponse sendOperatorRequest(size_t Router, const std::string &Method,
                                   const std::string &Path,
                                   const std::string &Body = "");

  const std::string &directory() const { return Directory; }

private:
  void startPlatform();
  void startServers();
  void startServer(FleetServer &Server, uint16_t Port);
  void startRouter(FleetRouter &Router);
  std::string settingsText(const FleetRouter &Router) const;
  std::vector<std::string> serverArguments(const FleetServer &Server) const;
  // Calls `Each` for the entries of this list in the execution log of each
  // engine that responds.
  void forEachEngineEntry(
      const std::string &List,
      const std::function<void(const std::string &Server,
                               Poco::JSON::Object &Entry)> &Each);
  std::string waitForListener(FleetRouter &Router, const std::string &Listener);

  FleetOptions Options;
  std::string Directory;
  std::unique_ptr<PeerProxy> Proxy;
  FleetServer Platform;
  std::vector<std::unique_ptr<FleetServer>> Servers;
  std::vector<std::unique_ptr<FleetRouter>> Routers;
  uint64_t LastVersion = 0;
  uint64_t LastSequence = 0;
};

// Returns a new idempotency key that contains its time of issue (UUID version
// 7).
std::string timedKey();

// Returns the text that an engine generates for this prompt.
std::string expectedTokens(const std::string &Prompt, uint32_t Count);

Poco::JSON::Object::Ptr parseJson(const std::string &Text);

} // namespace crocusspur::test

#endif
