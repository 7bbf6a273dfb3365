#include "gateway/decisions/stream_origin_table.h"

#include "gateway/decisions/stream_resumption.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace crocusspur::gateway {
namespace {

// Bounds of what a peer or a caller may ask to keep.
constexpr Milliseconds MaxLifetime = MaxStreamAge;
constexpr size_t MaxStreams = 65536; // beyond it, the next to expire is dropped

} // namespace

StreamKey streamKeyOf(std::string_view Host, std::string_view Target,
                      std::string_view RequestId) {
  uint64_t hash = 0;
  for (std::string_view it : {Host, Target, RequestId})
    // The size keeps the boundaries between parts.
    hash = XXH64(it.data(), it.size(), hash + it.size());
  return hash;
}

void StreamOriginTable::expire(TimePoint Now) {
  while (!Expiries.empty() &&
         (Expiries.begin()->first < Now || Streams.size() > MaxStreams)) {
    Streams.erase(Expiries.begin()->second);
    Expiries.erase(Expiries.begin());
  }
}

void StreamOriginTable::add(const StreamOrigin &Record, TimePoint Now) {
  auto [it, isNew] = Streams.try_emplace(Record.Stream);
  State &state = it->second;
  StreamOrigin &latest = state.Latest;
  bool isOwn = latest.Writer == Record.Writer; // of the writer of the latest
  bool isOlder = isOwn && Record.Sequence <= latest.Sequence;
  // Also a record that is known: its sender counts on this instance for it.
  state.HandedOver = false;
  // Once nobody may go on, no other record changes that. An instance that has
  // that from two contradictory records hands it over as the later one.
  if (!isNew && isOlder && !Record.isFinal())
    return;
  bool contradicts = !isNew && (!isOwn || latest.isFinal()) &&
                     latest.possibleVersion() != Record.possibleVersion();
  latest = Record;
  if (contradicts)
    latest.Version = latest.UnprovenVersion = 0;
  if (isNew || latest.UnprovenVersion != 0)
    state.RecordedAt = Now - std::min<Milliseconds>(Record.Age, MaxLifetime);
  TimePoint expiresAt =
      Now + std::min<Milliseconds>(Record.Lifetime, MaxLifetime);
  if (!isNew)
    Expiries.erase(state.Expiry);
  state.ExpiresAt = isNew ? expiresAt : std::max(state.ExpiresAt, expiresAt);
  state.Expiry = Expiries.emplace(state.ExpiresAt, Record.Stream);
  expire(Now);
}

std::vector<StreamOrigin> StreamOriginTable::takeForHandOver(TimePoint Now) {
  auto since = [Now](TimePoint At) {
    return std::chrono::duration_cast<Milliseconds>(Now - At);
  };
  std::vector<StreamOrigin> all;
  for (auto &[stream, state] : Streams)
    if (state.ExpiresAt >= Now && !std::exchange(state.HandedOver, true)) {
      all.push_back(state.Latest);
      all.back().Lifetime = -since(state.ExpiresAt);
      all.back().Age = since(state.RecordedAt);
    }
  return all;
}

std::optional<VersionKey> StreamOriginTable::find(StreamKey Stream,
                                                  TimePoint Now) const {
  std::optional<Record> found = findRecord(Stream, Now);
  return found ? std::optional(found->Version) : std::nullopt;
}

std::optional<StreamOriginTable::Record>
StreamOriginTable::findRecord(StreamKey Stream, TimePoint Now) const {
  auto it = Streams.find(Stream);
  if (it == Streams.end() || it->second.ExpiresAt < Now)
    return std::nullopt;
  const State &state = it->second;
  return Record{
      state.Latest.Version, state.Latest.Server,
      std::chrono::duration_cast<Milliseconds>(Now - state.RecordedAt),
      state.Latest.UnprovenVersion};
}

} // namespace crocusspur::gateway
