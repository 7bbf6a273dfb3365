#include "gateway/decisions/fleet/document_sources.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// An instance that had the documents has them until it ends.
constexpr Milliseconds HolderRetention{10000};
constexpr size_t MaxHolders = 64;
// Bounds of the time for which a peer that serves others isn't asked again.
constexpr Milliseconds MinRefusedPause{300};
constexpr Milliseconds MaxRefusedPause{900};
// Bounds of the time between rounds; the first is doubled with each round to
// which nobody responded.
constexpr Milliseconds RoundPeriod{250};
constexpr Milliseconds MaxRoundPeriod{1000};
// A list of 600 servers takes 0.12 s at 10 Mbit/s, so three at once stay within
// the time limit of an exchange.
constexpr uint32_t MaxActive = 3;
// Two generations a second multiply the holders by more than ten, so three
// seeds reach 400 instances within two seconds.
constexpr size_t MaxPerPeriod = 6;
constexpr Milliseconds ServingPeriod{2000};
constexpr size_t MaxReceivers = 8;
// Members beside those that were served that an instance without documents is
// told of. A fleet's list would be most of the bytes while hundreds ask. It is
// more than the size of a fleet that is taken for small.
constexpr size_t MaxOtherMembers = 24;

Milliseconds draw(std::mt19937_64 &Random, Milliseconds From, Milliseconds To) {
  return Milliseconds(
      std::uniform_int_distribution<int64_t>(From.count(), To.count())(Random));
}

} // namespace

void DocumentSources::onHolder(const std::string &Address, TimePoint Now) {
  std::erase_if(Holders, [&](const auto &It) {
    return Now - It.second.SeenAt > HolderRetention;
  });
  auto it = Holders.find(Address);
  if (it != Holders.end())
    it->second.SeenAt = Now;
  else if (Holders.size() < MaxHolders)
    Holders[Address] = {Now, TimePoint()};
}

void DocumentSources::onRefused(const std::string &Address, TimePoint Now) {
  auto it = Holders.find(Address);
  if (it != Holders.end())
    it->second.SkipUntil = Now + draw(Random, MinRefusedPause, MaxRefusedPause);
}

void DocumentSources::onRound(bool HasResponse) {
  FailedRounds = HasResponse ? 0 : FailedRounds + 1;
}

std::vector<std::string> DocumentSources::choose(size_t Count, TimePoint Now) {
  std::vector<std::string> found;
  for (const auto &[address, holder] : Holders)
    if (Now - holder.SeenAt <= HolderRetention && holder.SkipUntil <= Now)
      found.push_back(address);
  std::shuffle(found.begin(), found.end(), Random);
  found.resize(std::min(found.size(), Count));
  return found;
}

Milliseconds DocumentSources::nextRound() {
  Milliseconds period = std::min(
      MaxRoundPeriod, RoundPeriod * (1U << std::min(FailedRounds, 4U)));
  return draw(Random, period / 2, period * 5 / 4);
}

bool DocumentServing::tryBegin(TimePoint Now) {
  while (!Begun.empty() && Now - Begun.front() >= ServingPeriod)
    Begun.pop_front();
  if (Active >= MaxActive || Begun.size() >= MaxPerPeriod)
    return false;
  ++Active;
  Begun.push_back(Now);
  return true;
}

void DocumentServing::onEnd(const std::string &Receiver, bool Sent,
                            TimePoint Now) {
  --Active;
  if (!Sent)
    return;
  Latest.push_front({Receiver, Now});
  if (Latest.size() > MaxReceivers)
    Latest.pop_back();
}

size_t DocumentServing::moveReceiversFirst(std::vector<Member> &Known,
                                           TimePoint Now) const {
  auto isServed = [&](const Member &It) {
    return std::ranges::any_of(Latest, [&](const Served &Receiver) {
      return Receiver.Name == It.Name && Now - Receiver.At <= HolderRetention;
    });
  };
  return static_cast<size_t>(
      std::partition(Known.begin(), Known.end(), isServed) - Known.begin());
}

void DocumentServing::nameReceivers(const std::vector<Member> &Known,
                                    std::vector<Member> &Members,
                                    TimePoint Now) const {
  std::vector<Member> first = Known;
  first.resize(moveReceiversFirst(first, Now));
  for (const Member &it : first)
    std::erase_if(Members,
                  [&](const Member &Other) { return Other.Name == it.Name; });
  Members.insert(Members.begin(), first.begin(), first.end());
}

std::vector<Member>
DocumentServing::membersForNewcomer(std::vector<Member> Known, TimePoint Now) {
  size_t served = moveReceiversFirst(Known, Now);
  std::shuffle(Known.begin() + static_cast<ptrdiff_t>(served), Known.end(),
               Random);
  size_t most = served + MaxOtherMembers;
  if (Known.size() > most)
    Known.erase(Known.begin() + static_cast<ptrdiff_t>(most), Known.end());
  return Known;
}

} // namespace crocusspur::gateway
