// What the plug-ins of a gateway process share. Provided to the kernel before
// they start; outlives them.
#ifndef CROCUSSPUR_GATEWAY_GATEWAY_RUNTIME_H
#define CROCUSSPUR_GATEWAY_GATEWAY_RUNTIME_H

#include "gateway/adapter.h"
#include "gateway/fleet.h"
#include "gateway/reservation_queues.h"
#include "gateway/server_link.h"
#include "gateway/service_directory.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Changes that the store tells of within this time are read with one call. It
// grows with the fleet, so that calls grow less than the fleet does, up to half
// of the time in which a leaving server must get nothing more.
Milliseconds batchDelayFor(uint64_t Members, Milliseconds LeavingLimit);

struct GatewayRuntime {
  GatewayRuntime(const Adapter &Edge, GatewaySettings Values, std::string File,
                 uint64_t Incarnation)
      : Edge(Edge), Values(std::move(Values)), SettingsFile(std::move(File)),
        Incarnation(Incarnation), Wire(Edge.MakeDialect()),
        Source(Edge.MakeSource(this->Values)), Known(this->Values, Incarnation),
        Peers(this->Values.Instance, this->Values.PeerAddress, Incarnation),
        Seeds(this->Values.SeedAddresses), Retries(this->Values.Retries) {}

  const Adapter &Edge;
  const GatewaySettings Values; // as read at the start
  const std::string SettingsFile;
  const uint64_t Incarnation; // random, of this process
  const Dialect Wire;
  const PublishedSource Source;
  ServiceDirectory Known;
  ConnectionPool Connections;
  ReservationQueues Lines;

  // Set by the first SIGTERM; the instance finishes what it has.
  std::atomic<bool> Stopping{false};
  std::atomic<TimePoint> StopAt{TimePoint::max()}; // the process ends then
  // Set shortly before the end: nothing more is passed on to servers, and idle
  // connections are closed.
  std::atomic<bool> Closing{false};
  std::atomic<uint32_t> OpenRequests{0};
  std::atomic<uint64_t> PeersKnown{0};
  Fleet Peers;

  // Takes the parts of changed settings that can change while the process
  // runs: seeds, the budget of repeats. Others need a restart.
  void takeSettings(const GatewaySettings &News, const char *Why);
  // Keeps what is in force; logs each set of mistakes once.
  void noteBadSettings(const DiagnosticList &Diagnostics, const char *Why);
  std::vector<std::string> seedAddresses() const;
  Milliseconds gatherTime() const; // see batchDelayFor

  bool ready() const { return !Stopping.load() && Known.complete(); }

private:
  mutable std::mutex Mutex;
  std::vector<std::string> Seeds;
  RetryAllowance Retries;
  std::string LastMistakes;
};

} // namespace crocusspur::gateway

#endif
