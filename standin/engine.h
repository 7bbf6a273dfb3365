// Model of an engine that prefills prompts, holds their KV cache for a limited
// time and decodes. Only sizes cross the wire; durations are computed from
// rates.
//
// A prompt may contain directives in double square brackets, as in
// "[[output:40]] text": output:N ends the response after N tokens.
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "link_model.h"
#include "prefix_cache.h"
#include "run_log.h"
#include "standin_server.h"
#include "token_pacer.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <unordered_map>

namespace standin {

struct EngineOptions {
  std::string Role = "decode";
  std::string Model = "summary";
  uint32_t Slots = 4;
  double PrefillTokensPerSecond = 20000; // of each running prefill
  std::chrono::microseconds TokenInterval{25000};
  double LinkBytesPerSecond = 1e9;
  std::chrono::milliseconds EvictionTime{800};
  uint64_t KvBytesPerToken = 131072;
  std::chrono::milliseconds ReportLag{500};
  bool ChecksFencing = false;
  PrefixCacheOptions Cache;
};

struct EngineOrder {
  std::string Request;
  uint64_t Attempt = 1;
  uint64_t Fence = 0;
  std::string Model;
  std::string Group;
  uint64_t Priority = 0;
  std::string Prompt;
  uint32_t PromptTokens = 0;
  std::vector<std::string> PrefixHashes;
  std::string Source;
  uint32_t MaxTokens = 0;
  uint32_t FirstIndex = 0;
};

// The KV cache of one prompt.
struct KvCache {
  uint64_t Bytes = 0;
  uint32_t PromptTokens = 0;
  std::string PromptHash; // included in every token
  std::string Directives; // text between the double square brackets
};

// Thread-safe.
class Engine {
public:
  Engine(EngineOptions Options, ConnectionFaults &Faults);
  ~Engine();

  void setAddress(const std::string &Value) { Address = Value; }
  void handle(const Call &Call, Reply &Reply);

private:
  using Clock = std::chrono::steady_clock;

  // A running prefill.
  struct Prefill {
    uint64_t Record = 0;
    bool Cancelled = false;
  };
  // The result of a finished prefill while it is held in memory.
  struct Result {
    KvCache Kv;
    uint64_t Record = 0;
    Clock::time_point ReleaseAt; // time of eviction or end of the import
    bool Importing = false;
  };
  // A decode that holds a slot and memory.
  struct Decode {
    uint64_t Record = 0;
    StreamPtr Stream;
    uint64_t Bytes = 0;
    std::optional<Clock::time_point> ReleaseAt; // set on disconnect
  };
  struct LoadSample {
    Clock::time_point Time;
    size_t Running = 0;
  };

  void handlePrefill(const Call &Call, Reply &Reply);
  void handleDecode(const Call &Call, Reply &Reply);
  void handleCancel(const Call &Call, Reply &Reply);
  void handleKv(const Call &Call, Reply &Reply);
  void handleLoad(Reply &Reply);
  void handleOrders(const Call &Call, Reply &Reply);
  void handleControl(const Call &Call, Reply &Reply);

  // Returns the reason for refusing the order, or "" if it is accepted.
  std::string refusalReason(const EngineOrder &Order, bool TakesSlot);
  void refuse(const std::string &Reason, Reply &Reply);
  void updateHighestFence(uint64_t Fence);
  void crashIfTextMatches(const std::string &Text);

  std::chrono::microseconds prefillTime(uint32_t Tokens) const;
  KvCache makeKv(const EngineOrder &Order) const;
  RunRecord makeRecord(const EngineOrder &Order, const char *Kind) const;
  std::shared_ptr<Prefill> beginPrefill(const EngineOrder &Order,
                                        uint32_t &Cached);
  bool finishPrefill(const EngineOrder &Order,
                     const std::shared_ptr<Prefill> &Run);
  void dropResult(const std::string &Request, const std::string &Outcome);

  StreamPtr beginDecode(const EngineOrder &Order);
  // Returns the KV cache and the time until it has arrived, or nothing if it no
  // longer exists.
  std::optional<std::pair<KvCache, std::chrono::microseconds>>
  obtainKv(const EngineOrder &Order);
  std::optional<KvCache> takeLocalResult(const std::string &Request);
  std::optional<std::pair<KvCache, std::chrono::microseconds>>
  importRemoteResult(const EngineOrder &Order);
  void streamTokens(const Call &Call, const EngineOrder &Order,
                    const StreamPtr &Stream, const KvCache &Kv,
                    std::chrono::microseconds ImportTime, Reply &Reply);
  void endDecode(const std::string &Request, const StreamPtr &Stream,
                 const std::string &Outcome);
  void holdAfterClose(const std::string &Request, const StreamPtr &Stream);
  void releaseDecode(std::unordered_map<std::string, Decode>::iterator It,
                     const std::string &Outcome);

  void runHousekeeping();
  void releaseExpired(Clock::time_point Now);
  void sampleLoad(Clock::time_point Now);
  std::string heldJson() const;

  const EngineOptions Options;
  ConnectionFaults &Faults;
  std::string Address;
  const uint64_t Epoch;

  mutable std::mutex Mutex;
  std::condition_variable PrefillChanged;
  std::set<std::string> Models;
  std::string Role;
  uint64_t HighestFence = 0;
  std::unordered_map<std::string, std::shared_ptr<Prefill>> Prefills;
  std::unordered_map<std::string, Result> Results;
  std::unordered_map<std::string, Decode> Decodes;
  PrefixCache Cache;
  LinkModel Link;
  RunLog Log;
  std::deque<LoadSample> Samples;
  std::string RefuseReason;
  std::string CrashText;
  std::chrono::milliseconds CrashDelay{0};

  TokenPacer Pacer;
  std::atomic<bool> Stopping{false};
  std::thread HousekeepingThread;
};

} // namespace standin

#endif
