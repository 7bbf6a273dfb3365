#include "key_records.h"

#include <utility>

namespace crocusspur::internal {
namespace {

// Limit on the total size of stored bodies. Above it, outcomes are stored
// without the body: the response to a retry then says that the request ran, and
// the request isn't run again.
constexpr size_t MaxTotalBodyBytes = size_t(64) << 20;

} // namespace

const KeyRecord *KeyRecords::find(const std::string &Group,
                                  const std::string &Key) const {
  auto it = Records.find(nameOf(Group, Key));
  return it == Records.end() ? nullptr : &it->second;
}

void KeyRecords::touch(TimePoint Now, const std::string &Group,
                       const std::string &Key) {
  auto it = Records.find(nameOf(Group, Key));
  if (it == Records.end() || it->second.isOpen())
    return;
  it->second.LastUse = Now;
  LruOrder.splice(LruOrder.end(), LruOrder, it->second.LruPosition);
}

bool KeyRecords::addOpen(TimePoint Now, const std::string &Group,
                         const std::string &Key, const RequestId &Id,
                         uint64_t Fingerprint) {
  if (full())
    return false;
  std::string name = nameOf(Group, Key);
  KeyRecord record;
  record.Fingerprint = Fingerprint;
  record.Id = Id;
  record.AdmittedAt = record.LastUse = Now;
  if (!Records.emplace(name, std::move(record)).second)
    return false;
  NameOfId[Id] = std::move(name);
  return true;
}

KeyRecord *KeyRecords::findOpen(const RequestId &Id) {
  auto it = NameOfId.find(Id);
  return it == NameOfId.end() ? nullptr : &Records.at(it->second);
}

void KeyRecords::markDispatched(const RequestId &Id) {
  if (KeyRecord *record = findOpen(Id))
    record->State = KeyState::Dispatched;
}

void KeyRecords::removeOpen(const RequestId &Id) {
  auto it = NameOfId.find(Id);
  if (it == NameOfId.end())
    return;
  Records.erase(it->second);
  NameOfId.erase(it);
}

void KeyRecords::markDone(TimePoint Now, const RequestId &Id,
                          KeyOutcome Outcome) {
  if (KeyRecord *record = findOpen(Id))
    setOutcome(*record, std::move(Outcome));
  close(Now, Id, KeyState::Done);
}

void KeyRecords::markUnknown(TimePoint Now, const RequestId &Id) {
  close(Now, Id, KeyState::Unknown);
}

void KeyRecords::close(TimePoint Now, const RequestId &Id, KeyState State) {
  KeyRecord *record = findOpen(Id);
  if (!record)
    return;
  record->State = State;
  record->LastUse = Now;
  record->LruPosition = LruOrder.insert(LruOrder.end(), NameOfId.at(Id));
  NameOfId.erase(Id);
}

void KeyRecords::setOutcome(KeyRecord &Record, KeyOutcome Outcome) {
  Record.HasBody = Outcome.Body.size() <= MaxStoredBodyBytes &&
                   BodyBytes + Outcome.Body.size() <= MaxTotalBodyBytes;
  Record.Outcome.HttpStatus = Outcome.HttpStatus;
  if (!Record.HasBody)
    return;
  BodyBytes += Outcome.Body.size();
  Record.Outcome = std::move(Outcome);
}

void KeyRecords::addDone(TimePoint Now, const std::string &Group,
                         const std::string &Key, uint64_t Fingerprint,
                         KeyOutcome Outcome) {
  if (full())
    return;
  std::string name = nameOf(Group, Key);
  auto [it, added] = Records.emplace(name, KeyRecord());
  if (!added)
    return;
  KeyRecord &record = it->second;
  record.State = KeyState::Done;
  record.Fingerprint = Fingerprint;
  record.LastUse = Now;
  setOutcome(record, std::move(Outcome));
  record.LruPosition = LruOrder.insert(LruOrder.end(), std::move(name));
}

void KeyRecords::erase(const std::string &Name) {
  auto it = Records.find(Name);
  BodyBytes -= it->second.Outcome.Body.size();
  LruOrder.erase(it->second.LruPosition);
  Records.erase(it);
}

} // namespace crocusspur::internal
