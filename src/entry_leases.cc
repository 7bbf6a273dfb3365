#include "entry_state.h"

#include <utility>

namespace crocusspur::internal {
namespace {

bool holdsLease(const OpenRequest &Request) {
  return isActive(Request) && Request.AtOwner;
}

LeaseStage leaseStageOf(const OpenRequest &Request) {
  switch (Request.CurrentPhase) {
  case Phase::Broken:
    return Request.BrokenAt == Stage::Prefill ? LeaseStage::Prefilling
                                              : LeaseStage::Decoding;
  case Phase::Prefilling:
    return LeaseStage::Prefilling;
  case Phase::Ready:
    return LeaseStage::Ready;
  case Phase::Decoding:
    return LeaseStage::Decoding;
  default:
    return LeaseStage::Waiting;
  }
}

LeaseEntry leaseOf(const OpenRequest &Request) {
  LeaseEntry lease;
  lease.Id = Request.Id;
  lease.Attempt = Request.Placement;
  lease.Stage = leaseStageOf(Request);
  lease.Group = Request.Spec.Group;
  if (lease.Stage != LeaseStage::Waiting)
    lease.PrefillServer = Request.PrefillServer;
  if (lease.Stage == LeaseStage::Decoding)
    lease.DecodeServer = Request.Server;
  lease.PromptTokens = Request.Spec.PromptTokens;
  lease.MaxOutputTokens = Request.Spec.MaxOutputTokens;
  return lease;
}

} // namespace

void EntryRequests::State::sendLeases(CoreContext &Context,
                                      const std::string &Owner,
                                      const std::string &Shard) {
  LeaseList message;
  message.Shard = Shard;
  for (const auto &it : Requests)
    if (holdsLease(it.second) && it.second.Owner == Owner &&
        it.second.Shard == Shard)
      message.Leases.push_back(leaseOf(it.second));
  Context.send(Owner, std::move(message));
}

// Sends the leases and resends every request that the owner may not have
// received. Waiting requests go first, since AcquireRequest holds more detail
// than the list.
void EntryRequests::State::reassertLeases(CoreContext &Context,
                                          const std::string &Owner,
                                          const std::string &Shard) {
  auto repeat = [&](Phase At) {
    for (auto &it : Requests)
      if (it.second.CurrentPhase == At && it.second.Owner == Owner &&
          it.second.Shard == Shard)
        resendToOwner(Context, it.second);
  };
  repeat(Phase::Waiting);
  sendLeases(Context, Owner, Shard);
  repeat(Phase::Ready);
}

void EntryRequests::onLeaseListRequest(CoreContext &Context,
                                       const std::string &From,
                                       const LeaseListRequest &Message) {
  Impl->reassertLeases(Context, From, Message.Shard);
}

std::vector<LeaseSummary>
EntryRequests::leasesFrom(const std::string &Owner) const {
  auto all = leasesByOwner();
  auto it = all.find(Owner);
  return it == all.end() ? std::vector<LeaseSummary>() : std::move(it->second);
}

std::map<std::string, std::vector<LeaseSummary>>
EntryRequests::leasesByOwner() const {
  std::map<std::pair<std::string, std::string>, LeaseSummary> summaries;
  for (const auto &it : Impl->Requests) {
    const OpenRequest &request = it.second;
    if (!holdsLease(request))
      continue;
    LeaseSummary &summary = summaries[{request.Owner, request.Shard}];
    summary.Shard = request.Shard;
    ++summary.Count;
    summary.Digest ^= std::hash<RequestId>()(request.Id);
  }
  std::map<std::string, std::vector<LeaseSummary>> lists;
  for (auto &it : summaries)
    lists[it.first.first].push_back(std::move(it.second));
  return lists;
}

void EntryRequests::State::moveToOwner(CoreContext &Context,
                                       OpenRequest &Request,
                                       const std::string &Owner) {
  // The former owner may still be running, with a different view.
  finishAtOwner(Context, Request, FinishReason::Cancelled);
  Request.Owner = Owner;
  Request.AtOwner = !Owner.empty();
  // The shard was removed from the configuration: requests that run may finish,
  // the others fail.
  if (Owner.empty() && (Request.CurrentPhase == Phase::Waiting ||
                        Request.CurrentPhase == Phase::Ready))
    fail(Context, Request, ErrorKind::NoServer);
}

void EntryRequests::onOwnersChanged(CoreContext &Context) {
  std::map<std::string, std::string> moved; // shard to new owner
  for (auto &it : Impl->Requests) {
    OpenRequest &request = it.second;
    if (!isActive(request) || request.Shard.empty())
      continue;
    std::string owner = Impl->Owner(request.Shard);
    if (owner == request.Owner)
      continue;
    Impl->moveToOwner(Context, request, owner);
    if (!owner.empty())
      moved[request.Shard] = owner;
  }
  for (const auto &it : moved)
    Impl->reassertLeases(Context, it.second, it.first);
}

} // namespace crocusspur::internal
