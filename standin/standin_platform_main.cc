// Stand-in for the platform's configuration service and instance list.
//
// Control calls, all with query parameters:
//   POST /control/config?strict=1&assign=1&reader=NAME   body: a document
//   POST /control/instances                              body: a list
//   POST /control/stale?reader=NAME&config=N&list=N      (on=0: no limit)
//   POST /control/stop?on=1       closes connections without a response
//   POST /control/freeze?on=1, /control/silence, /control/clear
//   GET  /control/counts          calls per reader; a watch counts once
#include "platform_store.h"
#include "server_flags.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <atomic>
#include <sstream>

using namespace standin;

namespace {

// Upper limit on the wait time that a reader requests for one watch.
constexpr double MaxWaitMilliseconds = 60000;

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  Poco::JSON::Parser parser;
  return parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
}

class Platform {
public:
  void handle(const Call &Call, Reply &Reply) {
    if (Call.Path.rfind("/control/", 0) == 0)
      handleControl(Call, Reply);
    else if (Stopped)
      Reply.CloseConnection = true;
    else if (Call.Path == "/v1/config")
      handleRead(Call, Reply, true);
    else if (Call.Path == "/v1/instances")
      handleRead(Call, Reply, false);
    else
      Reply.Status = 404;
  }

private:
  void handleRead(const Call &Call, Reply &Reply, bool Config) {
    std::optional<uint64_t> after;
    if (Call.Parameters.count("after"))
      after = static_cast<uint64_t>(Call.number("after", 0));
    double wait = after ? Call.number("wait_ms", 0) : 0;
    std::chrono::milliseconds limit(
        static_cast<int64_t>(std::min(wait, MaxWaitMilliseconds)));
    std::string reader = readerName(Call);
    auto found = Config ? Store.config(reader, after, limit)
                        : Store.list(reader, after, limit);
    // A watch that was waiting when the service stopped gets no response.
    Reply.CloseConnection = Stopped;
    if (found)
      Reply.Body = *found;
    else
      Reply.Status = after ? 304 : 404;
  }

  static std::string readerName(const Call &Call) {
    std::string header = Call.header("crocusspur-instance");
    return header.empty() ? Call.text("Crocusspur-Instance", "unknown")
                          : header;
  }

  void handleControl(const Call &Call, Reply &Reply) {
    Reply.Body = "{}";
    if (Call.Path == "/control/config")
      publishConfig(Call, Reply);
    else if (Call.Path == "/control/instances")
      publishList(Call);
    else if (Call.Path == "/control/stale")
      setStale(Call);
    else if (Call.Path == "/control/stop")
      Stopped = Call.number("on", 1) != 0;
    else if (Call.Path == "/control/counts")
      Reply.Body = Store.countsJson();
    else
      Reply.Status = 404;
  }

  void publishConfig(const Call &Call, Reply &Reply) {
    Poco::JSON::Object::Ptr object = parseObject(Call.Body);
    std::string text = Call.Body;
    // Versions are assigned under the lock, one at a time, as in the real
    // service.
    std::lock_guard lock(PublishMutex);
    if (Call.number("assign", 0) != 0) {
      object->set("version", Store.lastConfig() + 1);
      std::ostringstream out;
      object->stringify(out);
      text = out.str();
    }
    uint64_t version = object->getValue<uint64_t>("version");
    bool strict = Call.number("strict", 0) != 0;
    if (!Store.publishConfig(version, text, strict, Call.text("reader", "")))
      Reply.Status = 409;
    uint64_t last = Store.lastConfig();
    Reply.Body = "{\"version\":" + std::to_string(version) +
                 ",\"last\":" + std::to_string(last) + "}";
  }

  void publishList(const Call &Call) {
    uint64_t sequence = parseObject(Call.Body)->getValue<uint64_t>("sequence");
    Store.publishList(sequence, Call.Body);
  }

  void setStale(const Call &Call) {
    std::string reader = Call.text("reader", "unknown");
    if (Call.number("on", 1) == 0) {
      Store.clearStale(reader);
      return;
    }
    auto limit = [&](const char *Name) {
      return Call.Parameters.count(Name)
                 ? static_cast<uint64_t>(Call.number(Name, 0))
                 : UINT64_MAX;
    };
    Store.setStale(reader, limit("config"), limit("list"));
  }

  PlatformStore Store;
  std::mutex PublishMutex;
  std::atomic<bool> Stopped{false};
};

} // namespace

int main(int Count, char **Arguments) {
  CLI::App app{"Stand-in for the platform"};
  ServerOptions options;
  addServerFlags(app, options);
  CLI11_PARSE(app, Count, Arguments);
  Server server(options);
  Platform platform;
  server.run(
      [&](const Call &Call, Reply &Reply) { platform.handle(Call, Reply); });
}
