// Records of the idempotency keys that this instance executes or has executed,
// scoped by group, with their outcomes. Bounded in entries and bytes.
#ifndef CROCUSSPUR_KEY_RECORDS_H
#define CROCUSSPUR_KEY_RECORDS_H

#include "crocusspur/types.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace crocusspur::internal {

enum class KeyState : uint8_t { Admitted, Dispatched, Done, Unknown };

struct KeyOutcome {
  uint32_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
};

struct KeyRecord {
  KeyState State = KeyState::Admitted;
  uint64_t Fingerprint = 0;
  RequestId Id;
  TimePoint AdmittedAt;
  TimePoint LastUse;
  bool HasBody = false; // Done: Outcome holds the whole response
  KeyOutcome Outcome;
  std::list<std::string>::iterator LruPosition; // Done, Unknown

  bool isOpen() const {
    return State == KeyState::Admitted || State == KeyState::Dispatched;
  }
};

class KeyRecords {
public:
  // Largest response body that is stored, in bytes.
  static constexpr size_t MaxStoredBodyBytes = 65536;

  KeyRecords(size_t MaxEntries, Milliseconds Retention)
      : MaxEntries(MaxEntries), Retention(Retention) {}

  // Null if there is no record.
  const KeyRecord *find(const std::string &Group, const std::string &Key) const;
  // Marks a closed record as used now, which extends its retention.
  void touch(TimePoint Now, const std::string &Group, const std::string &Key);

  // Adds an admitted request. Returns false if the table is full or the group
  // has a record of this key.
  bool addOpen(TimePoint Now, const std::string &Group, const std::string &Key,
               const RequestId &Id, uint64_t Fingerprint);
  void markDispatched(const RequestId &Id);
  void removeOpen(const RequestId &Id);
  void markDone(TimePoint Now, const RequestId &Id, KeyOutcome Outcome);
  void markUnknown(TimePoint Now, const RequestId &Id);

  // Adds the outcome of a key that another instance executed.
  void addDone(TimePoint Now, const std::string &Group, const std::string &Key,
               uint64_t Fingerprint, KeyOutcome Outcome);

  // Calls the function with the group and the record for each open record of
  // the key.
  template <typename F> void forEachOpen(const std::string &Key, F Each) const;

  // Removes closed records whose last use is at least the retention ago and
  // calls the function with their keys.
  template <typename F> void expire(TimePoint Now, F OnExpired);

  bool full() const { return Records.size() >= MaxEntries; }
  size_t size() const { return Records.size(); }
  size_t openCount() const { return NameOfId.size(); }
  size_t bodyBytes() const { return BodyBytes; }

private:
  // Key first, so that a key's records in all groups are adjacent.
  static std::string nameOf(const std::string &Group, const std::string &Key) {
    return Key + '\0' + Group;
  }
  KeyRecord *findOpen(const RequestId &Id);
  void close(TimePoint Now, const RequestId &Id, KeyState State);
  void setOutcome(KeyRecord &Record, KeyOutcome Outcome);
  void erase(const std::string &Name);

  size_t MaxEntries;
  Milliseconds Retention;
  size_t BodyBytes = 0;
  std::map<std::string, KeyRecord> Records;
  std::unordered_map<RequestId, std::string> NameOfId; // open records
  std::list<std::string> LruOrder; // closed records, least recently used first
};

template <typename F>
void KeyRecords::forEachOpen(const std::string &Key, F Each) const {
  std::string first = nameOf("", Key);
  for (auto it = Records.lower_bound(first);
       it != Records.end() && it->first.compare(0, first.size(), first) == 0;
       ++it)
    if (it->second.isOpen())
      Each(it->first.substr(first.size()), it->second);
}

template <typename F> void KeyRecords::expire(TimePoint Now, F OnExpired) {
  while (!LruOrder.empty()) {
    std::string name = LruOrder.front();
    if (Records.at(name).LastUse + Retention > Now)
      return;
    OnExpired(name.substr(0, name.find('\0')));
    erase(name);
  }
}

} // namespace crocusspur::internal

#endif
