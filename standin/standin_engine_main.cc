// Stand-in for a prefill or decode engine; docs/PROTOCOLS.md describes its
// protocol.
//
// Control calls, all with query parameters:
//   GET  /control/books?after=N       runs after number N, totals, held memory
//   POST /control/crash?text=T&delay_ms=N  exits when a prompt contains T; a
//        decode sees only the prompt's [[...]] part
//   POST /control/link?factor=F       scales the link's rate; 0: stalls it
//   POST /control/refuse?reason=R     refuses all work; empty: stops refusing
//   POST /control/freeze?on=1, /control/silence, /control/clear
#include "engine.h"
#include "server_flags.h"

using namespace standin;

namespace {

template <typename Unit>
void addTime(CLI::App &App, const std::string &Name, Unit &Value) {
  App.add_option_function<double>(Name, [&Value](const double &Milliseconds) {
    Value = std::chrono::duration_cast<Unit>(
        std::chrono::duration<double, std::milli>(Milliseconds));
  });
}

void addEngineFlags(CLI::App &App, EngineOptions &Options) {
  App.add_option("--role", Options.Role)
      ->check(CLI::IsMember({"prefill", "decode"}));
  App.add_option("--model", Options.Model);
  App.add_option("--slots", Options.Slots);
  App.add_option("--prefill-tokens-per-second", Options.PrefillTokensPerSecond);
  addTime(App, "--token-interval-ms", Options.TokenInterval);
  App.add_option("--link-bytes-per-second", Options.LinkBytesPerSecond);
  addTime(App, "--eviction-ms", Options.EvictionTime);
  App.add_option("--kv-bytes-per-token", Options.KvBytesPerToken);
  addTime(App, "--report-lag-ms", Options.ReportLag);
  App.add_flag("--checks-fencing", Options.ChecksFencing);
  App.add_option("--cache-bytes", Options.Cache.MemoryBytes);
  addTime(App, "--cache-event-lag-ms", Options.Cache.EventLag);
  App.add_option("--cache-event-loss", Options.Cache.EventLoss);
  App.add_option("--seed", Options.Cache.Seed);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App app{"Stand-in for a prefill or decode engine"};
  ServerOptions server;
  EngineOptions options;
  addServerFlags(app, server);
  addEngineFlags(app, options);
  CLI11_PARSE(app, Count, Arguments);
  Server http(server);
  Engine engine(options, http.faults());
  engine.setAddress(http.address());
  http.run([&](const Call &Call, Reply &Reply) { engine.handle(Call, Reply); });
}
