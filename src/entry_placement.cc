#include "entry_state.h"

#include <algorithm>
#include <set>
#include <utility>
#include <xxhash.h>

namespace crocusspur::internal {
namespace {

bool hasUsableDecode(const CoreContext &Context, const std::string &Group,
                     const ShardConfig &Shard) {
  return std::any_of(
      Shard.Servers.begin(), Shard.Servers.end(), [&](const std::string &Name) {
        const ServerConfig *server = Context.Config.findServer(Name);
        return server && server->Role == ServerRole::Decode &&
               isUsable(Context, Group, Name);
      });
}

} // namespace

bool isUsable(const CoreContext &Context, const std::string &Group,
              const std::string &Server) {
  const ServerConfig *server = Context.Config.findServer(Server);
  const GroupConfig *group = Context.Config.findGroup(Group);
  return server && group && Context.List.serverIsLive(Server) &&
         isAllowedIn(*group, server->Region, server->FailureDomain);
}

// Chooses the shorter of the last reported queues of two shards of the model.
// Two candidates spread the load without every entry choosing the same shard.
std::string EntryRequests::State::chooseShard(CoreContext &Context,
                                              const OpenRequest &Request) {
  const ModelConfig *model = Context.Config.findModel(Request.Spec.Target);
  std::vector<std::string> usable;
  for (const ShardConfig &it : model->Shards)
    if (hasUsableDecode(Context, Request.Spec.Group, it))
      usable.push_back(it.Name);
  if (usable.size() < 2)
    return usable.empty() ? "" : usable.front();
  uint64_t hash = XXH64(&Request.Id.Sequence, sizeof Request.Id.Sequence,
                        Request.Id.Incarnation);
  size_t first = hash % usable.size();
  size_t offset = 1 + (hash >> 32) % (usable.size() - 1);
  size_t second = (first + offset) % usable.size();
  return QueueLengths[usable[second]] < QueueLengths[usable[first]]
             ? usable[second]
             : usable[first];
}

void EntryRequests::State::place(CoreContext &Context, OpenRequest &Request) {
  Request.Shard = chooseShard(Context, Request);
  if (Request.Shard.empty()) {
    reject(Context, Request, ErrorKind::NoServer);
    return;
  }
  record(Context, Request, DecisionKind::Admitted, Request.Shard);
  Request.Owner = Owner(Request.Shard);
  Request.Placement = 1;
  acquire(Context, Request);
}

void EntryRequests::State::acquire(CoreContext &Context, OpenRequest &Request) {
  setPhase(Context, Request, Phase::Waiting);
  if (Request.Owner.empty()) {
    fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  Request.AtOwner = true;
  // An owner with a different record may ignore the report of a loss, so a lost
  // placement is requested until there is a new one. Such requests are few.
  if (Request.IsRetry)
    Request.ResendAt = Context.Now + Context.Options.LeasePeriod;
  AcquireRequest message;
  message.Id = Request.Id;
  message.Shard = Request.Shard;
  message.Group = Request.Spec.Group;
  message.Class = Request.Class;
  message.Attempt = Request.Placement;
  message.PromptTokens = Request.Spec.PromptTokens;
  message.MaxOutputTokens = Request.Spec.MaxOutputTokens;
  message.PrefixHashes = Request.Spec.PrefixHashes;
  message.TimeLeft =
      std::chrono::duration_cast<Microseconds>(Request.Deadline - Context.Now);
  // The deadline of the first output no longer applies once output has started.
  message.MayWait = Request.MayWait || Request.OutputTokens > 0;
  message.IsRetry = Request.IsRetry;
  message.Fingerprint = Request.Spec.Fingerprint;
  message.RunAlone = Request.RunAlone;
  message.LostOn = Request.LostOn;
  Context.send(Request.Owner, std::move(message));
}

void EntryRequests::State::askForDecode(CoreContext &Context,
                                        OpenRequest &Request) {
  setPhase(Context, Request, Phase::Ready);
  if (Request.Owner.empty()) {
    fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  Context.send(Request.Owner, PrefillDone{Request.Id, Request.Shard,
                                          Request.Placement, Request.KvBytes});
}

void EntryRequests::State::resendToOwner(CoreContext &Context,
                                         OpenRequest &Request) {
  if (Request.CurrentPhase == Phase::Waiting)
    acquire(Context, Request);
  else if (Request.CurrentPhase == Phase::Ready)
    askForDecode(Context, Request);
}

void EntryRequests::onPrefillGrant(CoreContext &Context,
                                   const std::string &From,
                                   const PrefillGrant &Message) {
  Impl->QueueLengths[Message.Shard] = Message.QueueLength;
  OpenRequest *request = Impl->find(Message.Id);
  bool expected = request && isActive(*request) && request->Owner == From &&
                  request->Shard == Message.Shard &&
                  Message.Attempt >= request->Placement;
  if (!expected) {
    Impl->rejectGrant(Context, From, Message.Id, Message.Shard,
                      Message.Attempt);
    return;
  }
  if (request->CurrentPhase != Phase::Waiting &&
      request->CurrentPhase != Phase::Ready) {
    if (request->PrefillServer != Message.PrefillServer)
      Impl->correctOwner(Context, *request);
    return; // a duplicate grant
  }
  request->Placement = Message.Attempt;
  if (request->CurrentPhase == Phase::Ready && !request->Spec.Idempotent) {
    // The prefill ran once and must not run again.
    Impl->fail(Context, *request, ErrorKind::BackendRefused);
    return;
  }
  request->Fence = Message.Fence;
  request->PrefillServer = Message.PrefillServer;
  request->Server = Message.DecodeServer;
  if (Message.PrefillServer == Message.DecodeServer)
    Impl->startDecode(Context, *request);
  else
    Impl->startPrefill(Context, *request);
}

void EntryRequests::onDecodeGrant(CoreContext &Context, const std::string &From,
                                  const DecodeGrant &Message) {
  OpenRequest *request = Impl->find(Message.Id);
  bool expected = request && isActive(*request) && request->Owner == From &&
                  request->Shard == Message.Shard &&
                  Message.Attempt >= request->Placement;
  if (!expected) {
    Impl->rejectGrant(Context, From, Message.Id, Message.Shard,
                      Message.Attempt);
    return;
  }
  if (request->CurrentPhase != Phase::Ready) {
    if (request->CurrentPhase == Phase::Decoding &&
        request->Server != Message.DecodeServer)
      Impl->correctOwner(Context, *request);
    return; // a duplicate grant
  }
  request->Placement = Message.Attempt;
  request->Fence = Message.Fence;
  request->Server = Message.DecodeServer;
  Impl->startDecode(Context, *request);
}

// The owner has placed the request on a different server than the one it runs
// on. This happens when the owner was paused and handles an AcquireRequest from
// before the pause together with a lease list from after it.
void EntryRequests::State::correctOwner(CoreContext &Context,
                                        OpenRequest &Request) {
  rejectGrant(Context, Request.Owner, Request.Id, Request.Shard,
              Request.Placement);
  sendLeases(Context, Request.Owner, Request.Shard);
}

void EntryRequests::State::rejectGrant(CoreContext &Context,
                                       const std::string &From,
                                       const RequestId &Id,
                                       const std::string &Shard,
                                       uint32_t Attempt) {
  Context.send(From,
               Finished{Id, Shard, Attempt, FinishReason::Cancelled, 0, false});
}

void EntryRequests::onRefusal(CoreContext &Context, const std::string &From,
                              const Refusal &Message) {
  Impl->QueueLengths[Message.Shard] = Message.QueueLength;
  OpenRequest *request = Impl->find(Message.Id);
  if (!request || request->Owner != From || request->Shard != Message.Shard ||
      Message.Attempt < request->Placement)
    return;
  if (request->CurrentPhase != Phase::Waiting &&
      request->CurrentPhase != Phase::Ready)
    return;
  if (Message.Kind == ErrorKind::NotReady) {
    // The receiver doesn't own the shard in its own view. The views converge.
    request->ResendAt = Context.Now + Message.RetryAfter;
    return;
  }
  request->AtOwner = false;
  request->RefusedByOwner = true;
  Impl->fail(Context, *request, Message.Kind, Message.RetryAfter);
}

// Returns true if a lost placement may be replaced, and takes that retry from
// the group's budget.
bool EntryRequests::State::tryConsumeRetry(CoreContext &Context,
                                           OpenRequest &Request) {
  bool allowed = ++Request.Placements < MaxPlacements &&
                 Budgets[Request.Spec.Group].takeRetry(
                     Context.Now, Context.Options.RetryBudgetRatio,
                     Context.Options.RetryBudgetFloor);
  if (allowed) {
    Request.IsRetry = true;
    // The owner of a shard records new placements itself.
    if (Request.Spec.Kind == RequestKind::Service)
      record(Context, Request, DecisionKind::Replaced, Request.Server);
  }
  return allowed;
}

// Reports to the owner that the prefill gave no result, and waits for a new
// grant. The message has the next attempt number, so that the new grant can be
// distinguished from one for the lost placement.
void EntryRequests::State::reportPrefillLost(CoreContext &Context,
                                             OpenRequest &Request,
                                             bool ServerFull) {
  if (Request.Owner.empty()) {
    fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  ++Request.Placement;
  Context.send(Request.Owner,
               PrefillLost{Request.Id, Request.Shard, Request.Placement,
                           Request.PrefillServer, ServerFull});
  setPhase(Context, Request, Phase::Waiting);
  Request.ResendAt = Context.Now + Context.Options.LeasePeriod;
}

// Reports to the owner that the decode server gave no or incomplete output.
void EntryRequests::State::reportDecodeLost(CoreContext &Context,
                                            OpenRequest &Request,
                                            bool ServerFull) {
  if (Request.Owner.empty()) {
    fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  ++Request.Placement;
  Context.send(Request.Owner,
               DecodeLost{Request.Id, Request.Shard, Request.Placement,
                          Request.Server, Request.ResultReady, ServerFull,
                          Request.OutputTokens});
  setPhase(Context, Request,
           Request.ResultReady ? Phase::Ready : Phase::Waiting);
  Request.ResendAt = Context.Now + Context.Options.LeasePeriod;
}

void EntryRequests::State::finishAtOwner(CoreContext &Context,
                                         OpenRequest &Request,
                                         FinishReason Reason) {
  if (!Request.AtOwner)
    return;
  Request.AtOwner = false;
  Context.send(Request.Owner,
               Finished{Request.Id, Request.Shard, Request.Placement, Reason,
                        Request.OutputTokens, Request.ResultUsed});
}

// Sends this entry's newer list to an owner that granted a server which is no
// longer live in it. Each list is sent once.
void EntryRequests::State::offerList(CoreContext &Context,
                                     const std::string &To) {
  if (OfferedSequence != Context.List.Sequence)
    OfferedTo.clear();
  OfferedSequence = Context.List.Sequence;
  if (To == Context.Options.Instance || !OfferedTo.insert(To).second)
    return;
  Context.send(To, ListOffer{Context.List.Text});
}

// Retries a broken request as soon as its crash is known, or when no crash was
// reported in time.
void EntryRequests::State::checkBroken(CoreContext &Context,
                                       OpenRequest &Request) {
  CrashVerdict verdict =
      Crashes.verdictFor(Context.Now, Request.Spec.Fingerprint);
  bool known = verdict == CrashVerdict::Refuse ||
               (verdict == CrashVerdict::RunAlone && !Request.RunAlone);
  if (known || Context.Now - Request.PhaseSince >= CrashReportWait)
    retryBroken(Context, Request);
}

// Requests a new placement for a waiting suspect if the same content has
// completed elsewhere, since it no longer has to run alone.
bool EntryRequests::State::reacquireIfCleared(CoreContext &Context,
                                              OpenRequest &Request) {
  if (Request.CurrentPhase != Phase::Waiting || !Request.RunAlone ||
      Crashes.verdictFor(Context.Now, Request.Spec.Fingerprint) !=
          CrashVerdict::Run)
    return false;
  Request.RunAlone = false;
  ++Request.Placement;
  acquire(Context, Request);
  return true;
}

// Fails or resends a request that has waited too long for its owner.
void EntryRequests::State::checkWaiting(CoreContext &Context,
                                        OpenRequest &Request) {
  if (Request.CurrentPhase == Phase::Broken)
    checkBroken(Context, Request);
  if (Request.CurrentPhase != Phase::Waiting &&
      Request.CurrentPhase != Phase::Ready)
    return;
  bool late = Context.Now >= Request.Deadline && !Request.MayWait;
  if (Request.CurrentPhase == Phase::Waiting && late &&
      Request.OutputTokens == 0) {
    fail(Context, Request, ErrorKind::DeadlineUnreachable);
    return;
  }
  if (Context.Now >= Request.ResumeBy) {
    fail(Context, Request, ErrorKind::NoServer);
    return;
  }
  if (reacquireIfCleared(Context, Request))
    return;
  if (Context.Now >= Request.ResendAt)
    resendToOwner(Context, Request);
}

void EntryRequests::onPeerUp(CoreContext &Context,
                             const std::string &Instance) {
  std::set<std::string> shards;
  for (const auto &it : Impl->Requests)
    if (it.second.Owner == Instance && isActive(it.second))
      shards.insert(it.second.Shard);
  for (const std::string &it : shards)
    Impl->reassertLeases(Context, Instance, it);
}

} // namespace crocusspur::internal
