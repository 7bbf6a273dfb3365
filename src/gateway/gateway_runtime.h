// What the plug-ins of a gateway process share. Provided to the kernel before
// they start; outlives them.
#ifndef CROCUSSPUR_GATEWAY_GATEWAY_RUNTIME_H
#define CROCUSSPUR_GATEWAY_GATEWAY_RUNTIME_H

#include "gateway/adapter.h"
#include "gateway/membership.h"
#include "gateway/reservation_queues.h"
#include "gateway/server_call.h"
#include "gateway/service_directory.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Changes that the store tells of within this time are read with one call. It
// grows with the fleet, so that calls grow less than the fleet does, up to half
// of the time in which a leaving server must get nothing more.
Milliseconds batchDelayFor(uint64_t Members, Milliseconds MaxDrainTime);

struct GatewayRuntime {
  GatewayRuntime(const Adapter &ActiveAdapter, GatewaySettings Values,
                 std::string File, uint64_t Incarnation)
      : ActiveAdapter(ActiveAdapter), Values(std::move(Values)),
        SettingsFile(std::move(File)), Incarnation(Incarnation),
        Codec(ActiveAdapter.MakeCodec()),
        Source(ActiveAdapter.MakeSource(this->Values)),
        Directory(this->Values, Incarnation),
        Peers(this->Values.Instance, this->Values.PeerAddress, Incarnation),
        Seeds(this->Values.SeedAddresses), Retries(this->Values.Retries) {}

  const Adapter &ActiveAdapter;
  const GatewaySettings Values; // as read at the start
  const std::string SettingsFile;
  const uint64_t Incarnation; // random, of this process
  const HttpCodec Codec;
  const PublishedSource Source;
  ServiceDirectory Directory;
  ConnectionPool Connections;
  ReservationQueues Queues;

  // Set by the first SIGTERM; the instance finishes what it has.
  std::atomic<bool> Stopping{false};
  std::atomic<TimePoint> ExitDeadline{
      TimePoint::max()}; // the process ends then
  // Set shortly before the end: nothing more is passed on to servers, and idle
  // connections are closed.
  std::atomic<bool> Closing{false};
  std::atomic<uint32_t> OpenRequests{0};
  std::atomic<uint64_t> PeersKnown{0};
  Membership Peers;

  // Takes the parts of changed settings that can change while the process
  // runs: seeds, the budget of repeats. Others need a restart.
  void applySettings(const GatewaySettings &NewValues, const char *Why);
  // Keeps what is in force; logs each set of mistakes once.
  void logInvalidSettings(const DiagnosticList &Diagnostics, const char *Why);
  std::vector<std::string> seedAddresses() const;
  Milliseconds batchDelay() const; // see batchDelayFor

  bool ready() const { return !Stopping.load() && Directory.isComplete(); }

private:
  mutable std::mutex Mutex;
  std::vector<std::string> Seeds;
  RetryAllowance Retries;
  std::string LastDiagnostics;
};

} // namespace crocusspur::gateway

#endif
