// Plug-in: serves readiness for the load balancer, and metrics and state for
// operators.
#include "crocusspur/kernel.h"
#include "gateway/gateway_runtime.h"
#include "gateway/route_report.h"
#include "log.h"
#include "runtime.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <thread>
#include <vector>

namespace crocusspur::gateway {
namespace {

using internal::log;
using internal::LogLevel;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int MaxThreads = 4;
// Accounts with metrics of their own.
constexpr size_t MaxAccountLabels = 32;
constexpr int MaxQueued = 32;
constexpr int IdleSeconds = 60;
// Idle time of POCO's dispatcher threads. A thread that is about to wait when
// its listener stops misses the wake-up and ends only after this time.
constexpr Milliseconds DispatcherIdleTimeout{500};
constexpr int StackBytes = 262144;

struct StatusResponse {
  int Status = 200;
  std::string ContentType = "text/plain";
  std::string Body;
};

class StatusListener final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void prepareStop() override;
  void stop() override;
  StatusResponse respond(const std::string &Target);

private:
  bool listen(const std::string &Address);
  void updateGauges();
  void updateQuotaGauges();
  void updateDispatchGauges();
  std::string state() const; // as JSON
  StatusResponse explain(const std::string &Target) const;

  GatewayRuntime *Runtime = nullptr;
  internal::MetricsSink *Metrics = nullptr;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> Servers;
  std::thread Stopper;
};

// Labels of accounts begin with "account ", which "others" can't be.
void setQuotaGauges(internal::MetricsSink &Metrics, const std::string &Label,
                    const AccountUse &Use) {
  Metrics.setGauge("account_tokens_total", Label,
                   static_cast<double>(Use.AdmittedTokens));
  Metrics.setGauge("account_refusals_total", Label,
                   static_cast<double>(Use.Refused));
  Metrics.setGauge("account_demand_per_s", Label, Use.DemandPerSecond);
  Metrics.setGauge("account_rate_per_s", Label, Use.Quota.TokensPerSecond);
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(StatusListener &Owner) : Owner(Owner) {}
  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    StatusResponse response = Owner.respond(Request.getURI());
    Response.setStatusAndReason(
        static_cast<HTTPResponse::HTTPStatus>(response.Status));
    Response.setContentType(response.ContentType);
    Response.sendBuffer(response.Body.data(), response.Body.size());
  }

private:
  StatusListener &Owner;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(StatusListener &Owner) : Owner(Owner) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(Owner);
  }

private:
  StatusListener &Owner;
};

bool StatusListener::listen(const std::string &Address) {
  if (Address.empty())
    return true;
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(Address), true, false);
    socket.listen();
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(MaxThreads);
    params->setMaxQueued(MaxQueued);
    params->setThreadIdleTime(Poco::Timespan(
        std::chrono::microseconds(DispatcherIdleTimeout).count()));
    Servers.push_back(std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(*this), *Pool, socket, params));
    Servers.back()->start();
  } catch (const Poco::Exception &error) {
    log(LogLevel::Error, "status_front", "could not listen",
        {{"address", Address}, {"reason", error.displayText()}});
    return false;
  }
  return true;
}

bool StatusListener::start(Kernel &Owner) {
  Runtime = Owner.find<GatewayRuntime>();
  Metrics = Owner.find<internal::MetricsSink>();
  if (!Runtime || !Metrics)
    return false;
  Pool = std::make_unique<Poco::ThreadPool>("status", 1, 2 * MaxThreads,
                                            IdleSeconds, StackBytes);
  return listen(Runtime->Values.ReadyAddress) &&
         listen(Runtime->Values.MetricsAddress);
}

void StatusListener::prepareStop() {
  Stopper = std::thread([this] {
    for (auto &it : Servers)
      it->stopAll(true);
  });
}

void StatusListener::stop() {
  if (Stopper.joinable())
    Stopper.join();
  Pool->joinAll();
  Servers.clear();
}

void StatusListener::updateGauges() {
  Metrics->setGauge("ready", "", Runtime->ready() ? 1 : 0);
  Metrics->setGauge("open_requests", "", Runtime->OpenRequests.load());
  Metrics->setGauge("config_version", "",
                    static_cast<double>(Runtime->Directory.routes()->Version));
  Metrics->setGauge("peers_linked", "",
                    static_cast<double>(Runtime->PeersKnown.load()));
  Metrics->setGauge("fleet_discovered", "",
                    Runtime->Peers.isDiscovered() ? 1 : 0);
  for (size_t i = 0; i < FrameKindNames.size(); ++i)
    Metrics->setGauge("member_bytes_sent_total", FrameKindNames[i],
                      static_cast<double>(Runtime->Traffic.sent(i)));
  Metrics->setGauge("member_bytes_between_domains_total", "",
                    static_cast<double>(Runtime->Traffic.betweenDomains()));
  Metrics->setGauge("server_connections_total", "",
                    static_cast<double>(Runtime->Connections.opened()));
  Metrics->setGauge("store_reachable", "",
                    Runtime->Directory.isStoreReachable() ? 1 : 0);
  Metrics->setGauge("store_reader", "", Runtime->Readers.isReading() ? 1 : 0);
  for (size_t i = 0; i < ReadReasonNames.size(); ++i)
    if (uint64_t begun = Runtime->Readers.readsBegun()[i]; begun > 0)
      Metrics->setGauge("store_reads_begun_total", ReadReasonNames[i],
                        static_cast<double>(begun));
  if (std::optional<Milliseconds> ago = Runtime->Readers.confirmedAgo())
    Metrics->setGauge("store_confirmed_ago_seconds", "",
                      std::chrono::duration<double>(*ago).count());
  Metrics->setGauge("server_entries_invalid_total", "",
                    static_cast<double>(Runtime->InvalidServerEntries.load()));
  Metrics->setGauge("store_era", "",
                    static_cast<double>(Runtime->Directory.storeEra()));
  RouteDocumentPtr document = Runtime->Directory.routes();
  Metrics->setGauge("accounts", "",
                    static_cast<double>(document->Accounts.size()));
  Metrics->setGauge("account_keys", "",
                    static_cast<double>(document->Accounts.keyCount()));
  Metrics->setGauge("config_unsupported_entries", "",
                    static_cast<double>(document->Unsupported.size()));
  Metrics->setGauge("config_invalid", "",
                    Runtime->Directory.isConfigInvalid() ? 1 : 0);
  for (AccessVerdict it :
       {AccessVerdict::KeyMissing, AccessVerdict::KeyMalformed,
        AccessVerdict::KeyUnknown, AccessVerdict::KeyRemoved})
    Metrics->setGauge("unauthorized_total", nameOf(it),
                      static_cast<double>(Runtime->Access.refused(it)));
  Metrics->setGauge(
      "access_unconfirmed_total", "",
      static_cast<double>(Runtime->Access.refused(AccessVerdict::Unconfirmed)));
  Metrics->setGauge("memory_held_bytes", "",
                    static_cast<double>(Runtime->Memory.held()));
  for (size_t i = 0; i < MemoryUseCount; ++i)
    Metrics->setGauge("memory_refused_total", nameOf(static_cast<MemoryUse>(i)),
                      static_cast<double>(
                          Runtime->Memory.refused(static_cast<MemoryUse>(i))));
  const StreamRunCounts &runs = Runtime->StreamRuns;
  Metrics->setGauge("stream_runs_total", "continued",
                    static_cast<double>(runs.Continued.load()));
  for (size_t i = 0; i < RunFaultCount; ++i)
    if (uint64_t n = runs.GivenUp[i].load())
      Metrics->setGauge("stream_runs_total",
                        std::string("given_up/") +
                            nameOf(static_cast<RunFault>(i)),
                        static_cast<double>(n));
  for (size_t i = 0; i < SenderStateCount; ++i)
    Metrics->setGauge("unframed_answers_total",
                      nameOf(static_cast<SenderState>(i)),
                      static_cast<double>(runs.Senders[i].load()));
  Metrics->setGauge("streams_incomplete_total", "",
                    static_cast<double>(runs.Incomplete.load()));
  StreamOrigins::Counters origins = Runtime->Origins.counters();
  Metrics->setGauge("threads_stuck", "",
                    static_cast<double>(Runtime->Threads.stuck()));
  Metrics->setGauge("stream_records", "", static_cast<double>(origins.Held));
  Metrics->setGauge("stream_records_dropped_total", "",
                    static_cast<double>(origins.Dropped));
  CrashMonitor::Counters crashes = Runtime->Crashes.counters();
  Metrics->setGauge("content_crashes_total", "seen",
                    static_cast<double>(crashes.CrashesSeen));
  Metrics->setGauge("content_crashes_total", "reported",
                    static_cast<double>(crashes.CrashesReported));
  Metrics->setGauge("content_refusals_total", "",
                    static_cast<double>(crashes.RequestsRefused));
  Metrics->setGauge("contents_refused", "", crashes.ContentsRefused);
  Metrics->setGauge("prompt_parts_refused", "", crashes.PartsRefused);
  std::vector<ServerLimit> limits = Runtime->Limits.active();
  Metrics->setGauge("servers_limited", "", static_cast<double>(limits.size()));
  ServerLimits::Counters permits = Runtime->Limits.counters();
  Metrics->setGauge("limit_permits_total", "granted",
                    static_cast<double>(permits.Granted));
  Metrics->setGauge("limit_permits_total", "delayed",
                    static_cast<double>(permits.Delayed));
  Metrics->setGauge("limit_permits_total", "denied",
                    static_cast<double>(permits.Denied));
  Metrics->setGauge("limit_own_share_total", "",
                    static_cast<double>(permits.OwnShare));
  Metrics->setGauge("limit_unpermitted_total", "",
                    static_cast<double>(permits.Unpermitted));
  ServiceDirectory::PaceCounts paces = Runtime->Directory.paceCounts();
  Metrics->setGauge("pace_evidence_total", "own",
                    static_cast<double>(paces.Samples));
  Metrics->setGauge("pace_evidence_total", "peers",
                    static_cast<double>(paces.Merged));
  Metrics->setGauge("pace_changes_total", "",
                    static_cast<double>(paces.Changes));
  for (const auto &[service, count] : Runtime->Directory.slowServers())
    Metrics->setGauge("servers_slow", service, count);
  Metrics->setGauge("knee_changes_total", "",
                    static_cast<double>(paces.KneeChanges));
  for (const auto &[service, counts] : Runtime->Directory.kneeCounts()) {
    Metrics->setGauge("servers_with_knee", service,
                      static_cast<double>(counts.Known));
    Metrics->setGauge("knees_differ", service, counts.Differ ? 1 : 0);
  }
  ServerReachability &reach = Runtime->Connections.reachability();
  Metrics->clearGauge("service_cut_off");
  for (const std::string &it : reach.unreachedServices())
    Metrics->setGauge("service_cut_off", it, reach.isCutOff(it) ? 1 : 0);
  for (const auto &[service, counts] : Runtime->Directory.retryCounts()) {
    Metrics->setGauge("retries_total", service,
                      static_cast<double>(counts.Granted));
    Metrics->setGauge("retries_denied_total", service,
                      static_cast<double>(counts.Denied));
  }
  for (const auto &[service, size] : Runtime->Queues.sizes())
    Metrics->setGauge("queue_length", service, static_cast<double>(size));
  Runtime->Queues.forEachCounter([this](const std::string &Name,
                                        const std::string &Label,
                                        uint64_t Value) {
    Metrics->setGauge(Name, Label, static_cast<double>(Value));
  });
  updateQuotaGauges();
  updateDispatchGauges();
}

void StatusListener::updateDispatchGauges() {
  PrefillDispatch::Counters counts = Runtime->Dispatch.counters();
  for (auto [label, value] : {std::pair{"asked", counts.Asked},
                              {"answered", counts.Answered},
                              {"unanswered", counts.Unanswered},
                              {"decided", counts.Decided}})
    Metrics->setGauge("prefill_dispatch_requests_total", label,
                      static_cast<double>(value));
  Metrics->setGauge("prefills_placed_total", "owner",
                    static_cast<double>(counts.ByOwner));
  Metrics->setGauge("prefills_placed_total", "instance",
                    static_cast<double>(counts.ByInstance));
  Metrics->setGauge("prefill_dispatched_ms_total", "expected",
                    static_cast<double>(counts.Expected.count()));
  Metrics->setGauge("prefill_dispatched_ms_total", "measured",
                    static_cast<double>(counts.Measured.count()));
}

void StatusListener::updateQuotaGauges() {
  AccountQuotas::Counters counts = Runtime->Quotas.counters();
  Metrics->setGauge("quota_requests_total", "admitted",
                    static_cast<double>(counts.Admitted));
  Metrics->setGauge("quota_requests_total", "refused",
                    static_cast<double>(counts.Refused));
  Metrics->setGauge("quota_requests_total", "refused_by_part",
                    static_cast<double>(counts.RefusedByPart));
  Metrics->setGauge("quota_local_share_total", "",
                    static_cast<double>(counts.LocalShare));
  Metrics->setGauge("quota_exchanges_total", "asked",
                    static_cast<double>(counts.Asked));
  Metrics->setGauge("quota_exchanges_total", "unanswered",
                    static_cast<double>(counts.Unanswered));
  Metrics->setGauge("quota_leases_total", "granted",
                    static_cast<double>(counts.Granted));
  Metrics->setGauge("quota_leases_total", "denied",
                    static_cast<double>(counts.Denied));
  for (const char *it : {"account_tokens_total", "account_refusals_total",
                         "account_demand_per_s", "account_rate_per_s"})
    Metrics->clearGauge(it);
  std::vector<AccountUse> uses = Runtime->Quotas.uses();
  AccountUse rest;
  for (size_t i = 0; i < uses.size(); ++i) {
    const AccountUse &it = uses[i];
    if (i >= MaxAccountLabels) {
      rest.AdmittedTokens += it.AdmittedTokens;
      rest.Refused += it.Refused;
      rest.DemandPerSecond += it.DemandPerSecond;
      rest.Quota.TokensPerSecond += it.Quota.TokensPerSecond;
      continue;
    }
    setQuotaGauges(*Metrics, "account " + it.Account, it);
  }
  if (uses.size() > MaxAccountLabels)
    setQuotaGauges(*Metrics, "others", rest);
}

std::string StatusListener::state() const {
  std::string out = Runtime->Directory.dump();
  out.pop_back(); // the closing brace
  out += ",\"reads_store\":";
  out += Runtime->Readers.isReading() ? "true" : "false";
  out += std::string(",\"read_reason\":\"") +
         ReadReasonNames[static_cast<size_t>(Runtime->Readers.reason())] + "\"";
  ConfigAge age = Runtime->Directory.configAge();
  for (auto [name, value] :
       {std::pair{"store_confirmed_ago_ms", Runtime->Readers.confirmedAgo()},
        {"config_read_ago_ms", age.ReadAgo},
        {"config_age_ms", age.AtMost}})
    out += std::string(",\"") + name +
           "\":" + (value ? std::to_string(value->count()) : "null");
  out += ",\"access\":" +
         Runtime->Access.dump(Runtime->Directory.routes()->Accounts);
  out += ",\"limits\":" + Runtime->Limits.dump();
  out += ",\"queues\":" + Runtime->Queues.dump();
  out += ",\"prefill_dispatch\":" + Runtime->Dispatch.dump();
  return out + ",\"quotas\":" + Runtime->Quotas.dump() + "}";
}

StatusResponse StatusListener::explain(const std::string &Target) const {
  std::optional<RouteQuestion> question = parseRouteQuestion(Target);
  if (!question)
    return {400, "text/plain",
            "expected host, path and at most account, prompt_tokens and "
            "output_tokens\n"};
  RouteExplanation found =
      explainRoute(*question, copyRoutingState(*Runtime, question->Account),
                   std::chrono::steady_clock::now());
  return {200, "application/json",
          formatExplanation(found, Runtime->Values.Instance)};
}

StatusResponse StatusListener::respond(const std::string &Target) {
  const std::string path = Target.substr(0, Target.find('?'));
  if (path == Runtime->ActiveAdapter.ReadyPath || path == "/readyz")
    return Runtime->ready() ? StatusResponse{200, "text/plain", "ready\n"}
                            : StatusResponse{503, "text/plain", "not ready\n"};
  if (path == "/healthz")
    return {200, "text/plain", "ok\n"};
  if (path == "/metrics") {
    updateGauges();
    return {200, "text/plain; version=0.0.4", Metrics->render()};
  }
  if (path == "/state")
    return {200, "application/json", state()};
  if (path == "/route")
    return explain(Target);
  return {404, "text/plain", "not found\n"};
}

const PluginRegistration Registration{
    {"status_front", Phase::Listeners,
     [] { return std::make_unique<StatusListener>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
