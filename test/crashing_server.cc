#include "crashing_server.h"

#include "gateway_fixture.h"

#include <algorithm>
#include <iterator>
#include <sys/socket.h>
#include <utility>

namespace crocusspur::test {
namespace {

using Clock = std::chrono::steady_clock;

std::string chunk(const std::string &Data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", Data.size());
  return size + Data + "\r\n";
}

} // namespace

void CrashLog::onArrival(const std::string &RequestId) {
  std::lock_guard lock(Mutex);
  Arrivals.push_back({Clock::now(), RequestId});
}

void CrashLog::onCrash() {
  std::lock_guard lock(Mutex);
  Crashes.push_back(Clock::now());
}

size_t CrashLog::crashes() const {
  std::lock_guard lock(Mutex);
  return Crashes.size();
}

std::optional<TimePoint> CrashLog::crashTime(size_t N) const {
  std::lock_guard lock(Mutex);
  return Crashes.size() < N ? std::nullopt : std::optional(Crashes[N - 1]);
}

std::vector<CrashLog::Arrival> CrashLog::arrivalsAfter(TimePoint Time) const {
  std::lock_guard lock(Mutex);
  std::vector<Arrival> late;
  std::copy_if(Arrivals.begin(), Arrivals.end(), std::back_inserter(late),
               [&](const Arrival &It) { return It.At > Time; });
  return late;
}

CrashingServer::CrashingServer(FakeStore &Store, CrashLog &Log,
                               CrashingServerOptions Options)
    : Store(Store), Log(Log), Options(std::move(Options)) {
  start();
  Supervisor = std::thread([this] { supervise(); });
}

CrashingServer::~CrashingServer() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Supervisor.join();
}

void CrashingServer::start() {
  if (!Process)
    Process = std::make_unique<ScriptServer>([this](int Fd, int) { serve(Fd); },
                                             Port);
  Port = Process->port();
  std::string stage =
      Options.Stage.empty() ? "" : ",\"phase\":\"" + Options.Stage + "\"";
  std::string id = Options.Id;
  if (!Options.KeepsId)
    id += "-" + std::to_string(++Starts);
  Store.put("servers/" + id,
            serverEntry(Options.Service, Process->address(),
                        "\"state\":\"ready\"" + stage, ++StartedAt));
}

// Ends and restarts the process, since its own threads can't join themselves.
void CrashingServer::supervise() {
  std::unique_lock lock(Mutex);
  while (true) {
    Changed.wait(lock, [this] { return Crashed || Stopping; });
    for (int it : Open)
      ::shutdown(it, SHUT_RDWR);
    if (Options.RefusesWhileDown) {
      lock.unlock();
      Process.reset();
      lock.lock();
    }
    if (Changed.wait_for(lock, Options.DownTime, [this] { return Stopping; }))
      return;
    Crashed = false;
    start();
  }
}

void CrashingServer::crash() {
  std::lock_guard lock(Mutex);
  if (Crashed || Stopping)
    return;
  Crashed = true;
  // A process's sockets vanish together, so no peer that sees a closed
  // connection can open another one.
  if (Options.RefusesWhileDown)
    Process->stopListening();
  Changed.notify_all();
}

void CrashingServer::serve(int Fd) {
  {
    std::lock_guard lock(Mutex);
    if (Crashed || Stopping)
      return;
    Open.insert(Fd);
  }
  while (true) {
    std::string request = readRequest(Fd);
    if (request.empty() || !respond(Fd, request))
      break;
  }
  std::lock_guard lock(Mutex);
  Open.erase(Fd);
}

// Returns whether the connection stays open.
bool CrashingServer::respond(int Fd, const std::string &Request) {
  if (Request.starts_with("POST /api/hold-take")) {
    sendText(Fd, httpResponse(200, "{\"retention\":\"r1\"}"));
    return true;
  }
  if (Request.starts_with("DELETE ")) {
    sendText(Fd, httpResponse(200, "{}"));
    return true;
  }
  bool crashes = Request.ends_with("\r\n\r\n" + CrashingBody);
  bool hasCrashingPart =
      !Options.CrashingPart.empty() &&
      headerField(Request, "Prefix-Hash").find(Options.CrashingPart + ":") !=
          std::string::npos;
  if (crashes || hasCrashingPart)
    Log.onArrival(headerField(Request, "Attempt-Id"));
  if (!headerField(Request, "Inference-Phase").empty()) {
    sendText(Fd, httpResponse(200, "{\"kv-handle\":\"h\",\"token-count\":9,"
                                   "\"version\":1}"));
    return true;
  }
  if (Options.FailsAll) {
    sendText(Fd,
             signedResponse(500, "error", headerField(Request, "Attempt-Id")));
    return true;
  }
  if (crashes) {
    Log.onCrash(); // before a caller can see the crash
    crash();
    return false;
  }
  std::string id = headerField(Request, "Attempt-Id");
  if (!Options.Stage.empty())
    return respondStream(Fd, id, hasCrashingPart);
  sendText(Fd, signedResponse(200, "answer", id));
  return true;
}

bool CrashingServer::pause(Milliseconds Time) {
  std::unique_lock lock(Mutex);
  return !Changed.wait_for(lock, Time, [this] { return Crashed || Stopping; });
}

bool CrashingServer::respondStream(int Fd, const std::string &Id,
                                   bool Crashes) {
  sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: " + Id +
                   "\r\nTransfer-Encoding: chunked\r\n\r\n");
  if (Crashes) {
    if (!pause(Options.CrashDelay))
      return false;
    Log.onCrash(); // before a caller can see the crash
    crash();
    return false;
  }
  for (int i = 1; i <= Options.StreamEvents; ++i) {
    sendText(Fd, chunk("id: " + std::to_string(i) + "\ndata: x\n\n"));
    if (!pause(Options.EventInterval))
      return false;
  }
  sendText(Fd, "0\r\n\r\n");
  return true;
}

} // namespace crocusspur::test
