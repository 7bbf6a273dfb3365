// Stand-in for a plain service: echoes each call and logs the calls that it
// executed.
//
// Control calls, all with query parameters:
//   GET  /control/books
//   POST /control/set?latency_ms=N&slots=N&checks_fencing=0|1
//   POST /control/refuse?reason=full|fence   (empty: none)
//   POST /control/close?when=before|after|never&count=N
//        closes the connections of N calls before or after executing them
//   POST /control/crash?text=T               exits when a body contains T
//   POST /control/freeze?on=1, /control/silence, /control/clear
#include "server_flags.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <random>
#include <set>
#include <sstream>

using namespace standin;

namespace {

std::string toJson(const Poco::JSON::Object &Object) {
  std::ostringstream text;
  Object.stringify(text);
  return text.str();
}

struct CallRecord {
  uint64_t Count = 0;
  std::string Method;
  std::string Path;
  std::string Key;
  std::string Request;
  uint64_t Fence = 0;
  int64_t StartedMs = 0;
  int64_t EndedMs = 0; // 0: still running
  std::string Outcome = "running";
};

struct ServiceSettings {
  uint32_t LatencyMs = 5;
  uint32_t Slots = 16;
  bool ChecksFencing = false;
};

class Service {
public:
  explicit Service(ServiceSettings Settings)
      : Settings(Settings), Epoch(std::random_device{}()) {}

  void handle(const Call &Call, Reply &Reply) {
    if (Call.Path.rfind("/control/", 0) == 0)
      handleControl(Call, Reply);
    else if (Call.Path == "/v1/load")
      Reply.Body = loadJson();
    else if (Call.Path == "/v1/cancel" && Call.Method == "POST")
      cancel(Call, Reply);
    else
      execute(Call, Reply);
  }

private:
  void execute(const Call &Call, Reply &Reply) {
    std::unique_lock lock(Mutex);
    if (!CrashText.empty() && Call.Body.find(CrashText) != std::string::npos)
      std::_Exit(3);
    uint64_t fence =
        std::strtoull(Call.header("crocusspur-fence").c_str(), nullptr, 10);
    if (std::string reason = refusalReason(fence); !reason.empty()) {
      ++Refused[reason];
      Reply.Status = 503;
      Reply.Headers.emplace_back("Crocusspur-Refused", reason);
      return;
    }
    HighestFence = std::max(HighestFence, fence);
    if (tryConsumeClose("before")) {
      Reply.CloseConnection = true;
      return;
    }
    size_t entry = startCall(Call, fence);
    finishCall(lock, entry);
    if (tryConsumeClose("after") || Calls[entry].Outcome == "cancelled")
      Reply.CloseConnection = true;
    else
      Reply.Body = echo(Call, Calls[entry].Count);
  }

  std::string refusalReason(uint64_t Fence) const {
    if (!RefuseReason.empty())
      return RefuseReason;
    if (Settings.ChecksFencing && Fence != 0 && Fence < HighestFence)
      return "fence";
    return Running.size() >= Settings.Slots ? "full" : "";
  }

  bool tryConsumeClose(const std::string &When) {
    if (CloseWhen != When || CloseCount == 0)
      return false;
    --CloseCount;
    return true;
  }

  size_t startCall(const Call &Call, uint64_t Fence) {
    CallRecord entry;
    entry.Count = Calls.size() + 1;
    entry.Method = Call.Method;
    entry.Path = Call.Path;
    entry.Key = Call.header("idempotency-key");
    entry.Request = Call.header("crocusspur-request");
    entry.Fence = Fence;
    entry.StartedMs = wallMilliseconds();
    Calls.push_back(entry);
    Running.insert(Calls.size() - 1);
    return Calls.size() - 1;
  }

  void finishCall(std::unique_lock<std::mutex> &Lock, size_t Entry) {
    Changed.wait_for(Lock, std::chrono::milliseconds(Settings.LatencyMs),
                     [&] { return !Running.count(Entry); });
    if (Running.erase(Entry))
      Calls[Entry].Outcome = "done";
    Calls[Entry].EndedMs = wallMilliseconds();
  }

  static std::string echo(const Call &Call, uint64_t Count) {
    Poco::JSON::Object response;
    response.set("method", Call.Method);
    response.set("path", Call.Path);
    response.set("query", Call.Query);
    response.set("body", Call.Body);
    response.set("key", Call.header("idempotency-key"));
    response.set("count", Count);
    return toJson(response);
  }

  void cancel(const Call &Call, Reply &Reply) {
    Poco::JSON::Parser parser;
    auto object = parser.parse(Call.Body).extract<Poco::JSON::Object::Ptr>();
    std::string request = object->getValue<std::string>("request");
    std::lock_guard lock(Mutex);
    bool found = false;
    for (auto it = Running.begin(); it != Running.end();) {
      CallRecord &entry = Calls[*it];
      if (entry.Request != request) {
        ++it;
        continue;
      }
      entry.Outcome = "cancelled";
      it = Running.erase(it);
      found = true;
    }
    Changed.notify_all();
    Reply.Body = found ? R"({"cancelled":true})" : R"({"cancelled":false})";
  }

  std::string loadJson() {
    std::lock_guard lock(Mutex);
    Poco::JSON::Array requests;
    for (size_t it : Running)
      requests.add(Calls[it].Request);
    Poco::JSON::Object response;
    response.set("epoch", Epoch);
    response.set("running", Running.size());
    response.set("queued", 0);
    response.set("slots", Settings.Slots);
    response.set("age_ms", 0);
    response.set("fence", HighestFence);
    response.set("requests", requests);
    return toJson(response);
  }

  void handleControl(const Call &Call, Reply &Reply) {
    std::lock_guard lock(Mutex);
    Reply.Body = "{}";
    if (Call.Path == "/control/books") {
      Reply.Body = logJson();
    } else if (Call.Path == "/control/set") {
      Settings.LatencyMs =
          static_cast<uint32_t>(Call.number("latency_ms", Settings.LatencyMs));
      Settings.Slots =
          static_cast<uint32_t>(Call.number("slots", Settings.Slots));
      Settings.ChecksFencing =
          Call.number("checks_fencing", Settings.ChecksFencing) != 0;
    } else if (Call.Path == "/control/refuse") {
      RefuseReason = Call.text("reason", "");
    } else if (Call.Path == "/control/close") {
      CloseWhen = Call.text("when", "never");
      CloseCount = static_cast<uint64_t>(Call.number("count", 1));
    } else if (Call.Path == "/control/crash") {
      CrashText = Call.text("text", "");
    } else {
      Reply.Status = 404;
    }
  }

  std::string logJson() const {
    Poco::JSON::Array calls;
    for (const CallRecord &it : Calls) {
      Poco::JSON::Object entry;
      entry.set("count", it.Count);
      entry.set("method", it.Method);
      entry.set("path", it.Path);
      entry.set("key", it.Key);
      entry.set("request", it.Request);
      entry.set("fence", it.Fence);
      entry.set("started_ms", it.StartedMs);
      entry.set("ended_ms", it.EndedMs);
      entry.set("outcome", it.Outcome);
      calls.add(entry);
    }
    Poco::JSON::Object refused;
    for (const auto &it : Refused)
      refused.set(it.first, it.second);
    Poco::JSON::Object response;
    response.set("calls", calls);
    response.set("refused", refused);
    response.set("running", Running.size());
    return toJson(response);
  }

  ServiceSettings Settings;
  uint64_t Epoch;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<CallRecord> Calls;
  std::set<size_t> Running; // indexes into Calls
  std::map<std::string, uint64_t> Refused;
  uint64_t HighestFence = 0;
  std::string RefuseReason;
  std::string CloseWhen = "never";
  uint64_t CloseCount = 0;
  std::string CrashText;
};

} // namespace

int main(int Count, char **Arguments) {
  CLI::App app{"Stand-in for a plain service"};
  ServerOptions options;
  ServiceSettings values;
  addServerFlags(app, options);
  app.add_option("--latency-ms", values.LatencyMs, "duration of each call");
  app.add_option("--slots", values.Slots, "maximum number of concurrent calls");
  app.add_flag("--checks-fencing", values.ChecksFencing,
               "refuse lower fencing tokens");
  CLI11_PARSE(app, Count, Arguments);
  Server server(options);
  Service service(values);
  server.run(
      [&](const Call &Call, Reply &Reply) { service.handle(Call, Reply); });
}
