#include "engine.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <cstdlib>
#include <random>
#include <sstream>
#include <sys/socket.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace standin {
namespace {

using std::chrono::microseconds;

// How long a decode keeps its memory after its client has disconnected. Longer
// than every release bound of the router, so that only a cancel can meet those
// bounds.
constexpr std::chrono::seconds HoldAfterClose{10};
constexpr std::chrono::milliseconds HousekeepingPeriod{5};
constexpr std::chrono::milliseconds SamplePeriod{50};
constexpr std::chrono::seconds SampleHistory{10};
constexpr std::chrono::seconds ImportTimeout{10};

const char StreamHead[] = "HTTP/1.1 200 OK\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Cache-Control: no-cache\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n";

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  Poco::JSON::Parser parser;
  return parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
}

std::string toJson(const Poco::JSON::Object &Object) {
  std::ostringstream text;
  Object.stringify(text);
  return text.str();
}

EngineOrder parseOrder(const std::string &Body) {
  auto object = parseObject(Body);
  EngineOrder order;
  order.Request = object->getValue<std::string>("request");
  order.Attempt = object->optValue<uint64_t>("attempt", 1);
  order.Fence = object->optValue<uint64_t>("fence", 0);
  order.Model = object->optValue<std::string>("model", "");
  order.Group = object->optValue<std::string>("group", "");
  order.Priority = object->optValue<uint64_t>("priority", 0);
  order.Prompt = object->optValue<std::string>("prompt", "");
  // Same estimate as the router's: one token per four bytes, at least one.
  order.PromptTokens = object->optValue<uint32_t>(
      "prompt_tokens",
      std::max<uint32_t>(1, static_cast<uint32_t>(order.Prompt.size() / 4)));
  if (auto hashes = object->getArray("prefix_hashes"))
    for (const auto &it : *hashes)
      order.PrefixHashes.push_back(it.convert<std::string>());
  order.Source = object->optValue<std::string>("source", "");
  order.MaxTokens = object->optValue<uint32_t>("max_tokens", 256);
  order.FirstIndex = object->optValue<uint32_t>("first_index", 0);
  return order;
}

std::string parseDirectives(const std::string &Prompt) {
  size_t begin = Prompt.find("[[");
  size_t end = begin == std::string::npos ? begin : Prompt.find("]]", begin);
  if (end == std::string::npos)
    return "";
  return Prompt.substr(begin + 2, std::min<size_t>(end - begin - 2, 200));
}

uint32_t outputTokens(const KvCache &Kv, uint32_t MaxTokens) {
  size_t at = Kv.Directives.find("output:");
  if (at == std::string::npos)
    return MaxTokens;
  unsigned long wanted = std::strtoul(&Kv.Directives[at + 7], nullptr, 10);
  return static_cast<uint32_t>(std::min<unsigned long>(wanted, MaxTokens));
}

bool writeAll(int Descriptor, const std::string &Text) {
  size_t sent = 0;
  while (sent < Text.size()) {
    ssize_t n = ::send(Descriptor, Text.data() + sent, Text.size() - sent,
                       MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

std::string kvJson(const KvCache &Kv, microseconds Transfer) {
  Poco::JSON::Object response;
  response.set("kv_bytes", Kv.Bytes);
  response.set("transfer_us", Transfer.count());
  response.set("prompt_tokens", Kv.PromptTokens);
  response.set("mark", Kv.PromptHash);
  response.set("directives", Kv.Directives);
  return toJson(response);
}

} // namespace

Engine::Engine(EngineOptions Options, ConnectionFaults &Faults)
    : Options(Options), Faults(Faults),
      Epoch(std::random_device{}()), Models{Options.Model}, Role(Options.Role),
      Cache(Options.Cache), Link(Options.LinkBytesPerSecond),
      HousekeepingThread([this] { runHousekeeping(); }) {}

Engine::~Engine() {
  Stopping = true;
  HousekeepingThread.join();
}

void Engine::handle(const Call &Call, Reply &Reply) {
  bool post = Call.Method == "POST";
  if (Call.Path.rfind("/control/", 0) == 0)
    handleControl(Call, Reply);
  else if (post && Call.Path == "/v1/prefill")
    handlePrefill(Call, Reply);
  else if (post && Call.Path == "/v1/decode")
    handleDecode(Call, Reply);
  else if (post && Call.Path == "/v1/cancel")
    handleCancel(Call, Reply);
  else if (post && Call.Path == "/v1/orders")
    handleOrders(Call, Reply);
  else if (Call.Path == "/v1/kv")
    handleKv(Call, Reply);
  else if (Call.Path == "/v1/load")
    handleLoad(Reply);
  else if (Call.Path == "/v1/cache_events") {
    std::lock_guard lock(Mutex);
    Reply.Body = Cache.eventsJson(
        static_cast<uint64_t>(Call.number("after", 0)), Clock::now());
  } else
    Reply.Status = 404;
}

void Engine::updateHighestFence(uint64_t Fence) {
  HighestFence = std::max(HighestFence, Fence);
}

std::string Engine::refusalReason(const EngineOrder &Order, bool TakesSlot) {
  if (!RefuseReason.empty())
    return RefuseReason;
  if (Options.ChecksFencing && Order.Fence < HighestFence)
    return "fence";
  updateHighestFence(Order.Fence);
  if (!Models.count(Order.Model))
    return "model";
  if (TakesSlot && Prefills.size() + Decodes.size() >= Options.Slots)
    return "full";
  return "";
}

void Engine::refuse(const std::string &Reason, Reply &Reply) {
  Log.countRefusal(Reason);
  Reply.Status = Reason == "full" ? 503 : 409;
  Reply.Body = "{\"refused\":\"" + Reason + "\"}";
}

void Engine::crashIfTextMatches(const std::string &Text) {
  if (CrashText.empty() || Text.find(CrashText) == std::string::npos)
    return;
  if (CrashDelay.count() == 0)
    std::_Exit(3);
  std::thread([delay = CrashDelay] {
    std::this_thread::sleep_for(delay);
    std::_Exit(3);
  }).detach();
}

microseconds Engine::prefillTime(uint32_t Tokens) const {
  return microseconds(
      static_cast<int64_t>(Tokens / Options.PrefillTokensPerSecond * 1e6));
}

KvCache Engine::makeKv(const EngineOrder &Order) const {
  KvCache kv;
  kv.PromptTokens = Order.PromptTokens;
  kv.Bytes = Options.KvBytesPerToken * Order.PromptTokens;
  char hash[9];
  std::snprintf(hash, sizeof hash, "%08x",
                XXH32(Order.Prompt.data(), Order.Prompt.size(), 0));
  kv.PromptHash = hash;
  kv.Directives = parseDirectives(Order.Prompt);
  return kv;
}

RunRecord Engine::makeRecord(const EngineOrder &Order, const char *Kind) const {
  RunRecord record;
  record.Kind = Kind;
  record.Request = Order.Request;
  record.Attempt = Order.Attempt;
  record.Group = Order.Group;
  record.Priority = Order.Priority;
  record.Fence = Order.Fence;
  record.PromptTokens = Order.PromptTokens;
  record.FirstIndex = Order.FirstIndex;
  record.StartedMs = wallMilliseconds();
  return record;
}

// Prefill

void Engine::handlePrefill(const Call &Call, Reply &Reply) {
  EngineOrder order = parseOrder(Call.Body);
  std::shared_ptr<Prefill> run;
  uint32_t cached = 0;
  {
    std::lock_guard lock(Mutex);
    std::string reason = refusalReason(order, !Prefills.count(order.Request));
    if (!reason.empty()) {
      refuse(reason, Reply);
      return;
    }
    crashIfTextMatches(order.Prompt);
    run = beginPrefill(order, cached);
  }
  std::unique_lock lock(Mutex);
  PrefillChanged.wait_for(lock, prefillTime(order.PromptTokens - cached),
                          [&] { return run->Cancelled; });
  if (!finishPrefill(order, run)) {
    Reply.Status = 410;
    Reply.Body = R"({"cancelled":true})";
    return;
  }
  Poco::JSON::Object response;
  response.set("kv_bytes", Options.KvBytesPerToken * order.PromptTokens);
  response.set("cached_tokens", cached);
  response.set("eviction_ms", Options.EvictionTime.count());
  Reply.Body = toJson(response);
}

std::shared_ptr<Engine::Prefill> Engine::beginPrefill(const EngineOrder &Order,
                                                      uint32_t &Cached) {
  if (auto old = Prefills.find(Order.Request); old != Prefills.end()) {
    old->second->Cancelled = true;
    Log.finish(old->second->Record, "superseded", wallMilliseconds());
    PrefillChanged.notify_all();
  }
  dropResult(Order.Request, "superseded");
  if (!Order.PrefixHashes.empty()) {
    size_t blocks = Cache.match(Order.PrefixHashes);
    Cached = static_cast<uint32_t>(uint64_t{Order.PromptTokens} * blocks /
                                   Order.PrefixHashes.size());
    // The last token is always computed.
    Cached = std::min(Cached, Order.PromptTokens - 1);
  }
  RunRecord record = makeRecord(Order, "prefill");
  record.CachedTokens = Cached;
  auto run = std::make_shared<Prefill>();
  run->Record = Log.start(record);
  Prefills[Order.Request] = run;
  return run;
}

bool Engine::finishPrefill(const EngineOrder &Order,
                           const std::shared_ptr<Prefill> &Run) {
  if (Run->Cancelled)
    return false;
  Prefills.erase(Order.Request);
  Clock::time_point now = Clock::now();
  Result result;
  result.Kv = makeKv(Order);
  result.Record = Run->Record;
  result.ReleaseAt = now + Options.EvictionTime;
  if (!Order.PrefixHashes.empty())
    Cache.insert(Order.PrefixHashes,
                 result.Kv.Bytes / Order.PrefixHashes.size(), now);
  Results[Order.Request] = result;
  Log.finish(Run->Record, "done", wallMilliseconds());
  return true;
}

void Engine::dropResult(const std::string &Request,
                        const std::string &Outcome) {
  auto it = Results.find(Request);
  if (it == Results.end())
    return;
  // Once an import has started, the result counts as imported, whatever the
  // import's outcome.
  Log.finish(it->second.Record, it->second.Importing ? "imported" : Outcome,
             wallMilliseconds());
  Results.erase(it);
}

void Engine::handleKv(const Call &Call, Reply &Reply) {
  std::string request = Call.text("request", "");
  Clock::time_point now = Clock::now();
  std::lock_guard lock(Mutex);
  releaseExpired(now);
  auto it = Results.find(request);
  if (it == Results.end()) {
    Reply.Status = 404;
    Reply.Body = R"({"refused":"evicted"})";
    return;
  }
  Result &result = it->second;
  microseconds time = Link.transfer(static_cast<double>(result.Kv.Bytes), now);
  result.Importing = true;
  result.ReleaseAt = now + time;
  Reply.Body = kvJson(result.Kv, time);
}

// Decode

void Engine::handleDecode(const Call &Call, Reply &Reply) {
  EngineOrder order = parseOrder(Call.Body);
  StreamPtr stream;
  {
    std::lock_guard lock(Mutex);
    std::string reason = refusalReason(order, !Decodes.count(order.Request));
    if (reason.empty() && Role == "prefill")
      reason = "model";
    if (!reason.empty()) {
      refuse(reason, Reply);
      return;
    }
    crashIfTextMatches(order.Prompt);
    stream = beginDecode(order);
  }
  auto kv = obtainKv(order);
  if (!kv) {
    std::lock_guard lock(Mutex);
    endDecode(order.Request, stream, "evicted");
    refuse("evicted", Reply);
    return;
  }
  streamTokens(Call, order, stream, kv->first, kv->second, Reply);
}

StreamPtr Engine::beginDecode(const EngineOrder &Order) {
  if (auto old = Decodes.find(Order.Request); old != Decodes.end())
    releaseDecode(old, "superseded");
  Decode run;
  run.Record = Log.start(makeRecord(Order, "decode"));
  run.Stream = StreamPtr(new TokenStream);
  run.Stream->NextIndex = Order.FirstIndex;
  run.Stream->Sent = Order.FirstIndex;
  Decodes[Order.Request] = run;
  return run.Stream;
}

std::optional<std::pair<KvCache, microseconds>>
Engine::obtainKv(const EngineOrder &Order) {
  if (Order.Source.empty() || Order.Source == Address) {
    if (auto local = takeLocalResult(Order.Request))
      return std::make_pair(*local, microseconds(0));
  } else if (auto remote = importRemoteResult(Order)) {
    return remote;
  }
  if (Order.Prompt.empty())
    return std::nullopt;
  // A resume recomputes the prompt and the tokens that were already sent.
  return std::make_pair(makeKv(Order),
                        prefillTime(Order.PromptTokens + Order.FirstIndex));
}

std::optional<KvCache> Engine::takeLocalResult(const std::string &Request) {
  std::lock_guard lock(Mutex);
  releaseExpired(Clock::now());
  auto it = Results.find(Request);
  if (it == Results.end())
    return std::nullopt;
  KvCache kv = it->second.Kv;
  it->second.Importing = true;
  dropResult(Request, "imported");
  return kv;
}

std::optional<std::pair<KvCache, microseconds>>
Engine::importRemoteResult(const EngineOrder &Order) {
  try {
    Poco::Net::HTTPClientSession session(
        Poco::Net::SocketAddress(Order.Source));
    session.setTimeout(Poco::Timespan(ImportTimeout.count(), 0));
    Poco::Net::HTTPRequest request("GET", "/v1/kv?request=" + Order.Request,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    if (response.getStatus() != 200)
      return std::nullopt;
    auto object = parseObject(body);
    KvCache kv;
    kv.Bytes = object->getValue<uint64_t>("kv_bytes");
    kv.PromptTokens = object->getValue<uint32_t>("prompt_tokens");
    kv.PromptHash = object->getValue<std::string>("mark");
    kv.Directives = object->getValue<std::string>("directives");
    microseconds source(object->getValue<int64_t>("transfer_us"));
    std::lock_guard lock(Mutex);
    microseconds own =
        Link.transfer(static_cast<double>(kv.Bytes), Clock::now());
    return std::make_pair(kv, std::max(source, own));
  } catch (const Poco::Exception &) {
    return std::nullopt; // an unreachable source holds no result
  }
}

void Engine::streamTokens(const Call &Call, const EngineOrder &Order,
                          const StreamPtr &Stream, const KvCache &Kv,
                          microseconds ImportTime, Reply &Reply) {
  Stream->Descriptor = Call.Descriptor;
  Stream->PromptHash = Kv.PromptHash;
  Stream->EndIndex = outputTokens(Kv, Order.MaxTokens);
  Stream->Interval = Options.TokenInterval;
  Stream->IsBlocked = [this, connection = Call.Connection] {
    return Faults.isBlocked(connection);
  };
  {
    std::lock_guard lock(Mutex);
    crashIfTextMatches(Kv.Directives);
    if (auto it = Decodes.find(Order.Request);
        it != Decodes.end() && it->second.Stream == Stream) {
      it->second.Bytes = Kv.Bytes;
      if (RunRecord *record = Log.find(it->second.Record))
        record->PromptTokens = Kv.PromptTokens;
    }
  }
  Reply.Written = true;
  StreamEnd end = StreamEnd::Stopped;
  Faults.waitWhileBlocked(Call.Connection);
  bool open = writeAll(Call.Descriptor, StreamHead);
  if (!Stream->waitForStop(ImportTime)) {
    Faults.waitWhileBlocked(Call.Connection);
    if (open && writeAll(Call.Descriptor, eventChunk(R"({"imported":true})"))) {
      Pacer.add(Stream);
      end = Stream->waitForEnd();
    } else {
      end = StreamEnd::Closed;
    }
  }
  std::lock_guard lock(Mutex);
  Reply.CloseConnection = end != StreamEnd::Done;
  if (end == StreamEnd::Closed)
    holdAfterClose(Order.Request, Stream);
  else if (end == StreamEnd::Done)
    endDecode(Order.Request, Stream, "done");
}

void Engine::holdAfterClose(const std::string &Request,
                            const StreamPtr &Stream) {
  auto it = Decodes.find(Request);
  if (it != Decodes.end() && it->second.Stream == Stream)
    it->second.ReleaseAt = Clock::now() + HoldAfterClose;
}

void Engine::endDecode(const std::string &Request, const StreamPtr &Stream,
                       const std::string &Outcome) {
  auto it = Decodes.find(Request);
  if (it != Decodes.end() && it->second.Stream == Stream)
    releaseDecode(it, Outcome);
}

void Engine::releaseDecode(std::unordered_map<std::string, Decode>::iterator It,
                           const std::string &Outcome) {
  Decode &run = It->second;
  if (RunRecord *record = Log.find(run.Record))
    record->OutputTokens = run.Stream->Sent - record->FirstIndex;
  Log.finish(run.Record, Outcome, wallMilliseconds());
  run.Stream->stop();
  Decodes.erase(It);
}

// Cancel, load and orders

void Engine::handleCancel(const Call &Call, Reply &Reply) {
  std::string request =
      parseObject(Call.Body)->getValue<std::string>("request");
  std::lock_guard lock(Mutex);
  bool found = Results.count(request) != 0;
  dropResult(request, "cancelled");
  if (auto it = Prefills.find(request); it != Prefills.end()) {
    it->second->Cancelled = true;
    Log.finish(it->second->Record, "cancelled", wallMilliseconds());
    Prefills.erase(it);
    PrefillChanged.notify_all();
    found = true;
  }
  if (auto it = Decodes.find(request); it != Decodes.end()) {
    releaseDecode(it, "cancelled");
    found = true;
  }
  Reply.Body = found ? R"({"cancelled":true})" : R"({"cancelled":false})";
}

void Engine::handleLoad(Reply &Reply) {
  std::lock_guard lock(Mutex);
  Clock::time_point now = Clock::now();
  releaseExpired(now);
  LoadSample reported{now, Prefills.size() + Decodes.size()};
  if (Options.ReportLag.count() > 0 && !Samples.empty()) {
    reported = Samples.front();
    for (const LoadSample &it : Samples)
      if (it.Time + Options.ReportLag <= now)
        reported = it;
  }
  std::set<std::string> requests;
  for (const auto &it : Prefills)
    requests.insert(it.first);
  for (const auto &it : Results)
    requests.insert(it.first);
  for (const auto &it : Decodes)
    requests.insert(it.first);
  Poco::JSON::Array list;
  for (const std::string &it : requests)
    list.add(it);
  Poco::JSON::Object response;
  response.set("epoch", Epoch);
  response.set("running", reported.Running);
  response.set("queued", 0);
  response.set("slots", Options.Slots);
  response.set("age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - reported.Time)
                             .count());
  response.set("fence", HighestFence);
  response.set("requests", list);
  Reply.Body = toJson(response);
}

void Engine::handleOrders(const Call &Call, Reply &Reply) {
  auto object = parseObject(Call.Body);
  std::string kind = object->getValue<std::string>("kind");
  std::string argument = object->optValue<std::string>("argument", "");
  uint64_t fence = object->optValue<uint64_t>("fence", 0);
  std::lock_guard lock(Mutex);
  if (Options.ChecksFencing && fence < HighestFence) {
    refuse("fence", Reply);
    return;
  }
  updateHighestFence(fence);
  if (kind == "load_model")
    Models.insert(argument);
  else if (kind == "set_role")
    Role = argument;
  Log.addOrder(kind, argument, fence);
  Reply.Body = "{}";
}

// Faults and run log

void Engine::handleControl(const Call &Call, Reply &Reply) {
  std::lock_guard lock(Mutex);
  Reply.Body = "{}";
  if (Call.Path == "/control/books") {
    Reply.Body =
        Log.json(static_cast<uint64_t>(Call.number("after", 0)), heldJson());
  } else if (Call.Path == "/control/crash") {
    CrashText = Call.text("text", "");
    CrashDelay = std::chrono::milliseconds(
        static_cast<int64_t>(Call.number("delay_ms", 0)));
  } else if (Call.Path == "/control/link") {
    Link.setFactor(Call.number("factor", 1));
  } else if (Call.Path == "/control/refuse") {
    RefuseReason = Call.text("reason", "");
  } else {
    Reply.Status = 404;
  }
}

std::string Engine::heldJson() const {
  std::string held;
  auto add = [&](const std::string &Request, const char *Kind, uint64_t Bytes) {
    held += (held.empty() ? "" : ",");
    held += "{\"request\":\"" + Request + "\",\"kind\":\"" + Kind +
            "\",\"bytes\":" + std::to_string(Bytes) + "}";
  };
  for (const auto &it : Prefills)
    add(it.first, "prefill", 0);
  for (const auto &it : Results)
    add(it.first, "result", it.second.Kv.Bytes);
  for (const auto &it : Decodes)
    add(it.first, "decode", it.second.Bytes);
  return held;
}

void Engine::runHousekeeping() {
  Clock::time_point nextSample = Clock::now();
  while (!Stopping) {
    std::this_thread::sleep_for(HousekeepingPeriod);
    std::lock_guard lock(Mutex);
    Clock::time_point now = Clock::now();
    releaseExpired(now);
    if (now >= nextSample) {
      sampleLoad(now);
      nextSample = now + SamplePeriod;
    }
  }
}

void Engine::releaseExpired(Clock::time_point Now) {
  std::vector<std::string> expired;
  for (const auto &it : Results)
    if (it.second.ReleaseAt <= Now)
      expired.push_back(it.first);
  for (const std::string &it : expired)
    dropResult(it, "evicted");
  for (auto it = Decodes.begin(); it != Decodes.end();) {
    auto next = std::next(it);
    if (it->second.ReleaseAt && *it->second.ReleaseAt <= Now)
      releaseDecode(it, "closed");
    it = next;
  }
}

void Engine::sampleLoad(Clock::time_point Now) {
  Samples.push_back({Now, Prefills.size() + Decodes.size()});
  while (Samples.front().Time + SampleHistory < Now)
    Samples.pop_front();
}

} // namespace standin
