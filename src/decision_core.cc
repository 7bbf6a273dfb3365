#include "crocusspur/decision_core.h"

#include "core_state.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>
#include <type_traits>
#include <utility>

namespace crocusspur {
namespace {

// Maximum number of messages from this instance to itself per event. A request
// needs five; the limit only stops an endless loop caused by a fault.
constexpr uint32_t MaxSelfMessages = 20000;
// Retry-after in the refusal of an instance that isn't the owner: about two
// timer periods.
constexpr Milliseconds NotOwnerRetryAfter{100};

template <typename T> bool holds(const PeerMessage &Message) {
  return std::holds_alternative<T>(Message);
}

bool isForOwner(const PeerMessage &Message) {
  return holds<AcquireRequest>(Message) || holds<PrefillDone>(Message) ||
         holds<PrefillLost>(Message) || holds<DecodeLost>(Message) ||
         holds<Finished>(Message) || holds<LeaseList>(Message);
}

template <typename T> Refusal notOwner(const T &Message) {
  return {Message.Id,          Message.Shard,      Message.Attempt,
          ErrorKind::NotReady, NotOwnerRetryAfter, 0};
}

} // namespace

using internal::CoreContext;
using internal::ShardOwner;

DecisionCore::State::State(CoreOptions Given)
    : Options(std::move(Given)), Keys(Options), Shards(Options),
      Requests(Keys, Crashes, [this](const std::string &Shard) {
        return Shards.ownerOf(Shard);
      }) {}

DecisionCore::DecisionCore(CoreOptions Options)
    : Impl(std::make_unique<State>(std::move(Options))) {}

DecisionCore::~DecisionCore() = default;

void DecisionCore::handle(const Event &Event, ActionList &Actions) {
  Impl->handle(Event, Actions);
}

std::string DecisionCore::makeTicket(uint64_t Nonce) const {
  return Impl->Keys.makeTicket(Nonce);
}

CoreContext DecisionCore::State::context(ActionList &Out) {
  return CoreContext{Now,
                     Wall,
                     Options,
                     Config.current() ? *Config.current() : *NoConfig,
                     List ? *List : *NoList,
                     Out};
}

void DecisionCore::State::handle(const Event &Item, ActionList &Actions) {
  if (Stopped)
    return;
  Now = Item.At;
  Wall = Item.Wall;
  ActionList queue = std::exchange(Deferred, {});
  detectPause(queue);
  dispatch(Item, queue);
  endPauseIfCurrent(queue);
  deliverSelfMessages(queue, Actions);
  if (std::exchange(AssignmentsStale, false)) {
    updateOwners(queue);
    updatePolled(queue);
    updatePlatformReading(queue);
    deliverSelfMessages(queue, Actions);
  }
  updateReadiness(queue);
  updateShutdown(queue);
  deliverSelfMessages(queue, Actions);
  stopIfDrained(Actions);
}

// Delivers the messages that this instance sends to itself, in order, and
// passes all other actions on.
void DecisionCore::State::deliverSelfMessages(ActionList &Queue,
                                              ActionList &Actions) {
  uint32_t own = 0;
  for (size_t i = 0; i < Queue.size(); ++i) {
    auto *message = std::get_if<SendToPeer>(&Queue[i]);
    if (!message || message->Instance != Options.Instance) {
      Actions.push_back(std::move(Queue[i]));
    } else if (++own > MaxSelfMessages) {
      Deferred.push_back(std::move(Queue[i]));
    } else {
      PeerMessage body = std::move(message->Message);
      onMessage(Options.Instance, Options.Incarnation, body, Queue);
    }
  }
  Queue.clear();
}

void DecisionCore::State::dispatch(const Event &Item, ActionList &Out) {
  CoreContext context = this->context(Out);
  std::visit(
      [&](const auto &Body) {
        using T = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<T, RequestArrived>)
          onArrived(Body, Out);
        else if constexpr (std::is_same_v<T, RequestCancelled>)
          Requests.onCancelled(context, Body);
        else if constexpr (std::is_same_v<T, StageFinished>)
          Requests.onStageFinished(context, Body);
        else if constexpr (std::is_same_v<T, StageProgress>)
          Requests.onStageProgress(context, Body);
        else if constexpr (std::is_same_v<T, RequestClosed>)
          Requests.onClosed(context, Body);
        else if constexpr (std::is_same_v<T, LoadReported>)
          onLoad(Body, Out);
        else if constexpr (std::is_same_v<T, CacheEventsReported>)
          onCacheEvents(Body, Out);
        else if constexpr (std::is_same_v<T, PeerReceived>)
          onPeerReceived(Body, Out);
        else if constexpr (std::is_same_v<T, PeerLinkChanged>)
          onLinkChanged(Body, Out);
        else if constexpr (std::is_same_v<T, ListPublished>)
          onPublished(Body, Out);
        else if constexpr (std::is_same_v<T, ConfigPublished>)
          onPublished(Body, Out);
        else if constexpr (std::is_same_v<T, TimerFired>)
          onTimer(Out);
        else
          beginShutdown(Body, Out);
      },
      Item.Body);
}

void DecisionCore::State::onPublished(const ListPublished &Body,
                                      ActionList &Out) {
  onList(Body.List, Out);
}

void DecisionCore::State::onPublished(const ConfigPublished &Body,
                                      ActionList &Out) {
  onConfigPublished(Body.Document, Out);
}

void DecisionCore::State::onArrived(const RequestArrived &Body,
                                    ActionList &Out) {
  if (!Ready && !Draining) {
    const ErrorResponse &response = errorResponse(ErrorKind::NotReady);
    Out.push_back(AnswerError{Body.Id, ErrorKind::NotReady, response.Run,
                              Milliseconds{1000}, ""});
    Out.push_back(DecisionRecord{DecisionKind::Shed, Body.Id, Body.Spec.Group,
                                 "", ErrorKind::NotReady, 0});
    return;
  }
  CoreContext context = this->context(Out);
  Requests.onArrived(context, Body);
}

void DecisionCore::State::onPeerReceived(const PeerReceived &Body,
                                         ActionList &Out) {
  if (Peers.isStale(Body.From, Body.Incarnation))
    return;
  if (Peers.onFrameReceived(Body.From, Body.Incarnation, Now))
    onInstanceStopped(Body.From, Out);
  onMessage(Body.From, Body.Incarnation, Body.Message, Out);
}

void DecisionCore::State::onLinkChanged(const PeerLinkChanged &Body,
                                        ActionList &Out) {
  Out.push_back(
      DecisionRecord{Body.Up ? DecisionKind::PeerUp : DecisionKind::PeerDown,
                     {},
                     "",
                     Body.Instance,
                     ErrorKind::Internal,
                     0});
  AssignmentsStale = true;
  if (Peers.onLink(Body.Instance, Body.Incarnation, Body.Up, Now))
    onInstanceStopped(Body.Instance, Out);
  if (!Body.Up)
    return;
  sendHeartbeat(Body.Instance, Requests.leasesFrom(Body.Instance), Out);
  requestInitialVersions(Body.Instance, Out);
  CoreContext context = this->context(Out);
  Requests.onPeerUp(context, Body.Instance);
  Crashes.onPeerUp(context, Body.Instance);
}

void DecisionCore::State::onMessage(const std::string &From,
                                    uint64_t Incarnation,
                                    const PeerMessage &Message,
                                    ActionList &Out) {
  if (isForOwner(Message)) {
    dispatchToOwner(From, Message, Out);
    return;
  }
  CoreContext context = this->context(Out);
  std::visit(
      [&](const auto &Body) {
        using T = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<T, Heartbeat>)
          onHeartbeat(From, Incarnation, Body, Out);
        else if constexpr (std::is_same_v<T, PrefillGrant>)
          Requests.onPrefillGrant(context, From, Body);
        else if constexpr (std::is_same_v<T, DecodeGrant>)
          Requests.onDecodeGrant(context, From, Body);
        else if constexpr (std::is_same_v<T, Refusal>)
          Requests.onRefusal(context, From, Body);
        else if constexpr (std::is_same_v<T, LeaseListRequest>)
          Requests.onLeaseListRequest(context, From, Body);
        else if constexpr (std::is_same_v<T, KeyQuery>)
          Keys.onKeyQuery(context, From, Body);
        else if constexpr (std::is_same_v<T, KeyAnswer>)
          onKeyAnswer(From, Body, Out);
        else if constexpr (std::is_same_v<T, ConfigOffer>)
          onConfigOffer(From, Body, Out);
        else if constexpr (std::is_same_v<T, ListOffer>)
          onListOffer(Body, Out);
        else if constexpr (std::is_same_v<T, ConfigRequest> ||
                           std::is_same_v<T, ListRequest>)
          onVersionRequest(From, Body, Out);
        else if constexpr (std::is_same_v<T, CrashReport>)
          Crashes.onReport(context, From, Body);
        else if constexpr (std::is_same_v<T, Goodbye>) {
          Peers.onGoodbye(From);
          AssignmentsStale = true;
          onInstanceStopped(From, Out);
        }
        // Forwarded requests and their responses are exchanged between relays.
      },
      Message);
}

void DecisionCore::State::onKeyAnswer(const std::string &From,
                                      const KeyAnswer &Message,
                                      ActionList &Out) {
  CoreContext context = this->context(Out);
  Keys.onKeyAnswer(context, From, Message);
  Requests.takeResolvedKeys(context);
}

// If this instance doesn't own the shard in its own view, the message is
// refused as NotReady; the entry sends it again until both views agree.
void DecisionCore::State::dispatchToOwner(const std::string &From,
                                          const PeerMessage &Message,
                                          ActionList &Out) {
  CoreContext context = this->context(Out);
  std::visit(
      [&](const auto &Body) {
        using T = std::decay_t<decltype(Body)>;
        if constexpr (requires { Body.Shard; }) {
          auto it = Owned.find(Body.Shard);
          ShardOwner *owner = it == Owned.end() ? nullptr : it->second.get();
          if constexpr (std::is_same_v<T, Finished>) {
            if (owner)
              owner->onFinished(context, From, Body);
          } else if constexpr (std::is_same_v<T, LeaseList>) {
            if (owner)
              owner->onLeaseList(context, From, Body);
          } else if constexpr (requires { Body.Attempt; }) {
            if (!owner)
              context.send(From, notOwner(Body));
            else if constexpr (std::is_same_v<T, AcquireRequest>)
              owner->onAcquire(context, From, Body);
            else if constexpr (std::is_same_v<T, PrefillDone>)
              owner->onPrefillDone(context, From, Body);
            else if constexpr (std::is_same_v<T, PrefillLost>)
              owner->onPrefillLost(context, From, Body);
            else if constexpr (std::is_same_v<T, DecodeLost>)
              owner->onDecodeLost(context, From, Body);
          }
        }
      },
      Message);
}

namespace {

Poco::Dynamic::Var parsed(const std::string &Json) {
  return Poco::JSON::Parser().parse(Json);
}

int64_t millisecondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration_cast<Milliseconds>(To - From).count();
}

} // namespace

uint64_t DecisionCore::lastEvaluatedConfig() const {
  return Impl->Config.lastEvaluated();
}

std::vector<std::pair<std::string, uint32_t>>
DecisionCore::queueLengths() const {
  std::vector<std::pair<std::string, uint32_t>> lengths;
  for (const auto &it : Impl->Owned)
    lengths.emplace_back(it.first, it.second->queueLength());
  return lengths;
}

std::string DecisionCore::dumpState(TimePoint Now) const {
  Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
  root.set("instance", Impl->Options.Instance);
  root.set("incarnation", RequestId{Impl->Options.Incarnation, 0}.str());
  root.set("ready", Impl->Ready);
  root.set("paused", Impl->Paused);
  root.set("draining", Impl->Draining);
  root.set("stopped", Impl->Stopped);
  const ConfigPtr &config = Impl->Config.current();
  root.set("config_version", config ? config->Version : 0);
  root.set("config_judged", Impl->Config.lastEvaluated());
  root.set("list_sequence", Impl->List ? Impl->List->Sequence : 0);
  root.set("reads_platform", Impl->ReadingPlatform.value_or(false));
  Poco::JSON::Object peers;
  for (const auto &it : Impl->Peers.all()) {
    Poco::JSON::Object peer;
    peer.set("linked", it.second.Up);
    peer.set("reachable", Impl->Peers.isReachable(it.first, Now));
    peer.set("heard_ms_ago", millisecondsBetween(it.second.LastSeen, Now));
    peer.set("config_version", it.second.Last.ConfigVersion);
    peer.set("list_sequence", it.second.Last.ListSequence);
    peers.set(it.first, peer);
  }
  root.set("peers", peers);
  Poco::JSON::Object owners;
  for (const auto &it : Impl->Shards.owners())
    owners.set(it.first, it.second);
  root.set("owners", owners);
  Poco::JSON::Object owned;
  for (const auto &it : Impl->Owned)
    owned.set(it.first, parsed(it.second->dump(Now)));
  root.set("owned", owned);
  Poco::JSON::Array polled;
  for (const std::string &it : Impl->Polled)
    polled.add(it);
  root.set("polled_servers", polled);
  root.set("requests", parsed(Impl->Requests.dump(Now)));
  root.set("keys", parsed(Impl->Keys.dump(Now)));
  root.set("crashes", parsed(Impl->Crashes.dump(Now)));
  std::ostringstream out;
  root.stringify(out);
  return out.str();
}

} // namespace crocusspur
