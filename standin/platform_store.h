// Documents that the stand-in platform publishes: numbered configuration
// documents and instance lists. Selected readers can be limited to old
// documents.
#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace standin {

using DocumentsByNumber = std::map<uint64_t, std::string>;

// Thread-safe.
class PlatformStore {
public:
  // Stores the text under its number, replacing any earlier text. With
  // `Strict`, returns false if the number isn't the highest plus one. If a
  // reader is named, only that reader gets this text under the number.
  bool publishConfig(uint64_t Version, const std::string &Text, bool Strict,
                     const std::string &Reader);
  void publishList(uint64_t Sequence, const std::string &Text);
  uint64_t lastConfig() const;

  // Hides documents with numbers above these from the reader.
  void setStale(const std::string &Reader, uint64_t Config, uint64_t List);
  void clearStale(const std::string &Reader);

  // Returns the newest document. With `After`, waits up to `Wait` for one with
  // a higher number: config() returns the lowest such document, list() the
  // newest.
  std::optional<std::string> config(const std::string &Reader,
                                    std::optional<uint64_t> After,
                                    std::chrono::milliseconds Wait);
  std::optional<std::string> list(const std::string &Reader,
                                  std::optional<uint64_t> After,
                                  std::chrono::milliseconds Wait);

  std::string countsJson() const;

private:
  struct VisibleLimits {
    uint64_t Config = UINT64_MAX;
    uint64_t List = UINT64_MAX;
  };
  struct Counts {
    uint64_t Config = 0;
    uint64_t List = 0;
    uint64_t Waiting = 0;
  };

  VisibleLimits limitsOf(const std::string &Reader) const;
  std::optional<std::string> findConfig(const std::string &Reader,
                                        std::optional<uint64_t> After) const;
  std::optional<std::string> findList(const std::string &Reader,
                                      std::optional<uint64_t> After) const;
  template <typename Find>
  std::optional<std::string> waitFor(const std::string &Reader,
                                     std::chrono::milliseconds Wait,
                                     Find Lookup);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  DocumentsByNumber Configs;
  DocumentsByNumber Lists;
  std::map<std::string, DocumentsByNumber> ConfigsByReader;
  std::map<std::string, VisibleLimits> LimitsByReader;
  std::map<std::string, Counts> Calls;
};

} // namespace standin

#endif
