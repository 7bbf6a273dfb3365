// State shared by the plug-ins of a gateway process. Provided to the kernel
// before the plug-ins start; outlives them.
#ifndef CROCUSSPUR_GATEWAY_GATEWAY_RUNTIME_H
#define CROCUSSPUR_GATEWAY_GATEWAY_RUNTIME_H

#include "checked_mutex.h"
#include "gateway/accounts/access_control.h"
#include "gateway/accounts/account_quotas.h"
#include "gateway/adapter.h"
#include "gateway/crash_monitor.h"
#include "gateway/decisions/shutdown_schedule.h"
#include "gateway/frame_traffic.h"
#include "gateway/gateway_context.h"
#include "gateway/membership.h"
#include "gateway/memory_log.h"
#include "gateway/reservation_queues.h"
#include "gateway/server_call.h"
#include "gateway/server_responses.h"
#include "gateway/service_directory.h"
#include "gateway/store_readers.h"
#include "gateway/stream_origins.h"
#include "gateway/thread_watch.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

struct GatewayRuntime {
  GatewayRuntime(const Adapter &ActiveAdapter, GatewaySettings Values,
                 std::string File, uint64_t Incarnation)
      : ActiveAdapter(ActiveAdapter), Values(std::move(Values)),
        SettingsFile(std::move(File)), Incarnation(Incarnation),
        Codec(ActiveAdapter.MakeCodec()),
        Source(ActiveAdapter.MakeSource(this->Values)),
        Directory(this->Values, Incarnation), Limits(this->Values.Instance),
        Crashes(this->Values.Instance), Origins(Incarnation),
        Quotas(this->Values.Instance, this->Values.Quotas), Dispatch(Directory),
        Peers(this->Values.Instance, this->Values.PeerAddress, Incarnation),
        Readers(this->Values, Incarnation, Peers, Directory),
        Access(Codec, this->Values.Access,
               [this] { return Readers.confirmedAgo(); }),
        Seeds(this->Values.SeedAddresses), Retries(this->Values.Retries),
        Pace(this->Values.Pace) {
    Memory.setLimit(
        memoryBudgetLimit(this->Values.MemoryBytes, residentBytes()));
    Directory.setServersConfirmedAgo(
        [this] { return Readers.confirmedAgo(PublishedKind::Servers); });
    Directory.setServerEndListener(
        [this](const std::string &ServerId, std::optional<int64_t> StartedAt) {
          if (StartedAt)
            Crashes.onServerRestarted(ServerId, *StartedAt);
          else
            Crashes.onServerVanished(ServerId);
        });
    reportResponses(Connections, Directory);
    Connections.reachability().setHooks(
        {[this](const std::string &Service) {
           return Directory.serversOf(Service);
         },
         [this](const std::string &ServerId, TimePoint StartedAt) {
           Crashes.onServerResponded(ServerId, StartedAt);
         }});
  }

  const Adapter &ActiveAdapter;
  const GatewaySettings Values; // as read at startup
  const std::string SettingsFile;
  const uint64_t Incarnation; // random for each process
  const HttpCodec Codec;
  const PublishedSource Source;
  ThreadWatch Threads;
  ServiceDirectory Directory;
  ServerLimits Limits;
  ConnectionPool Connections;
  ReservationQueues Queues;
  CrashMonitor Crashes;
  StreamOrigins Origins;
  StreamRunCounts StreamRuns;
  MemoryBudget Memory; // for bytes of others
  WaitingAnswers Waiting;
  AccountQuotas Quotas;
  PrefillDispatch Dispatch;

  // Set by the first SIGTERM; the instance finishes its open requests.
  std::atomic<bool> Stopping{false};
  ShutdownSchedule Shutdown; // set before Stopping is, and not changed later
  // Set shortly before the exit: no more requests are sent to servers, and idle
  // connections are closed.
  std::atomic<bool> Closing{false};
  // Set before open requests are ended by the exit.
  std::atomic<bool> Exiting{false};
  std::atomic<uint32_t> OpenRequests{0};
  std::atomic<uint64_t> PeersKnown{0};
  // Received from the store, each as often as it was read.
  std::atomic<uint64_t> InvalidServerEntries{0};
  FrameTraffic Traffic; // to other instances
  Membership Peers;
  StoreReaders Readers;
  AccessControl Access;
  std::atomic<internal::MetricsSink *> Metrics{nullptr}; // set at the start
  // Filled by member_links before callers are served; empty without peers.
  ForwardingHooks Forwarding;

  // Passes a document to the directory, and notes how long it took from the
  // store to here if it comes into force.
  void applyRoutes(RouteDocumentPtr Document, StoreRevision Revision,
                   const ConfigSource &Source);

  // Applies the settings that can change at run time: seeds, the retry budget,
  // the use of servers' paces, and when callers are refused since keys can't be
  // confirmed. Others need a restart.
  void applySettings(const GatewaySettings &NewValues, const char *Why);
  // Keeps the active settings. Logs each set of diagnostics once.
  void logInvalidSettings(const DiagnosticList &Diagnostics, const char *Why);
  std::vector<std::string> seedAddresses() const;

  // The part of a frame to a peer that names this instance.
  Member ownMember() const;

  bool ready() const { return !Stopping.load() && Directory.isComplete(); }

private:
  mutable internal::LeafMutex Mutex;
  std::vector<std::string> Seeds;
  RetryAllowance Retries;
  PaceSettings Pace;
  std::string LastDiagnostics;
};

} // namespace crocusspur::gateway

#endif
