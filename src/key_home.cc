#include "key_home.h"

#include "key_records.h"
#include "list_confirmation.h"
#include "ticket.h"

#include <Poco/JSON/Object.h>
#include <algorithm>
#include <cctype>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace crocusspur::internal {
namespace {

// Former homes that are asked for a record.
constexpr size_t MaxAsked = 3;

// Issue time of a UUIDv7 in its text form (RFC 9562), if the key is one.
std::optional<WallTime> issueTime(const std::string &Key) {
  if (Key.size() != 36 || Key[14] != '7')
    return std::nullopt;
  for (size_t i = 0; i < Key.size(); ++i) {
    bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash ? Key[i] != '-'
             : !std::isxdigit(static_cast<unsigned char>(Key[i])))
      return std::nullopt;
  }
  std::string digits = Key.substr(0, 8) + Key.substr(9, 4);
  uint64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms, 16);
  return WallTime(Milliseconds(ms));
}

bool allowed(const GroupConfig &Group, const InstanceEntry &Instance) {
  return isAllowedIn(Group, Instance.Region, Instance.FailureDomain);
}

// Home candidates of the key, the home first.
std::vector<std::string> rankHomes(const GroupConfig &Group,
                                   const std::vector<InstanceEntry> &Instances,
                                   const std::string &Key) {
  std::vector<std::string> names;
  for (const InstanceEntry &it : Instances)
    if (it.State == MemberState::Live && allowed(Group, it))
      names.push_back(it.Name);
  return rankByRendezvous(Group.Name + '\n' + Key, std::move(names));
}

std::string homeIn(const GroupConfig &Group,
                   const std::vector<InstanceEntry> &Instances,
                   const std::string &Key) {
  std::vector<std::string> ranked = rankHomes(Group, Instances, Key);
  return ranked.empty() ? std::string() : std::move(ranked.front());
}

KeyDecision refusal(ErrorKind Error, Milliseconds RetryAfter = {}) {
  KeyDecision decision;
  decision.Error = Error;
  decision.Run = errorResponse(Error).Run;
  decision.RetryAfter = RetryAfter;
  return decision;
}

KeyDecision execution(TimePoint NotAfter) {
  KeyDecision decision;
  decision.Action = KeyAction::Execute;
  decision.NotAfter = NotAfter;
  return decision;
}

KeyDecision forwarding(std::string Home) {
  KeyDecision decision;
  decision.Action = KeyAction::Forward;
  decision.Home = std::move(Home);
  return decision;
}

KeyDecision replay(const KeyOutcome &Outcome) {
  KeyDecision decision;
  decision.Action = KeyAction::Replay;
  decision.HttpStatus = Outcome.HttpStatus;
  decision.ContentType = Outcome.ContentType;
  decision.Body = Outcome.Body;
  return decision;
}

// A request that waits for the answers of former homes.
struct PendingKey {
  std::string Group;
  std::string Key;
  uint64_t Fingerprint = 0;
  TimePoint Deadline;
  std::set<std::string> Asked; // that have not answered
  std::optional<KeyDecision> Decision;
};

} // namespace

struct KeyHome::State {
  explicit State(const CoreOptions &Values)
      : Options(Values), Lists(Options),
        Records(Options.MaxRememberedKeys, Options.KeyRetention) {}

  const CoreOptions Options;
  ListConfirmation Lists;
  KeyRecords Records;
  std::map<RequestId, PendingKey> Pending;
  // Tickets with lower nonces that have no record may have been executed.
  uint64_t ForgottenNonce = 0;

  KeyDecision admitTicket(CoreContext &Context, const RequestId &Id,
                          const RequestSpec &Spec);
  KeyDecision admitHere(CoreContext &Context, const RequestId &Id,
                        const RequestSpec &Spec, const GroupConfig &Group);
  KeyDecision fromRecord(CoreContext &Context, const RequestSpec &Spec,
                         const KeyRecord &Record);
  KeyDecision execute(CoreContext &Context, const RequestId &Id,
                      const RequestSpec &Spec, TimePoint NotAfter);
  KeyDecision askFormerHomes(CoreContext &Context, const RequestId &Id,
                             const RequestSpec &Spec, const GroupConfig &Group);
  std::vector<std::string> formerHomes(const CoreContext &Context,
                                       const GroupConfig &Group,
                                       const std::string &Key) const;
  const ActivePeriod *homeSince(const GroupConfig &Group,
                                const std::string &Key) const;
  bool mayBeNew(const CoreContext &Context, const ActivePeriod &Since,
                const std::string &Key) const;
  TimePoint leaseEnd(TimePoint Now) const;
  void expireRecords(TimePoint Now);
  void onDone(CoreContext &Context, PendingKey &Item, const KeyAnswer &Answer);
};

// End of the time for dispatches; the quarter lease covers differences of clock
// rates and the time from the last check to the write.
TimePoint KeyHome::State::leaseEnd(TimePoint Now) const {
  TimePoint end = Lists.activeUntil();
  return end > Now ? end - Options.LeasePeriod / 4 : TimePoint();
}

// The period since which this instance has been home of the key without a gap;
// null if it isn't home now.
const ActivePeriod *KeyHome::State::homeSince(const GroupConfig &Group,
                                              const std::string &Key) const {
  const ActivePeriod *since = nullptr;
  const auto &periods = Lists.periods();
  for (auto it = periods.rbegin(); it != periods.rend(); ++it) {
    if (homeIn(Group, it->List->Members, Key) != Options.Instance)
      break;
    since = &*it;
    if (!it->Continuous)
      break;
  }
  return since;
}

// True if no other home can have executed the key, and this one hasn't since it
// became home, given that it has no record.
bool KeyHome::State::mayBeNew(const CoreContext &Context,
                              const ActivePeriod &Since,
                              const std::string &Key) const {
  std::optional<WallTime> issued = issueTime(Key);
  if (!issued)
    return Since.Since + Options.KeyRetention <= Context.Now;
  // A former home may have taken the key up to one margin before its issue
  // time by its own clock, which may be another margin behind.
  if (*issued <= Since.SinceWall + 2 * Options.ClockMargin)
    return false;
  return Context.Wall - *issued + Options.ClockMargin < Options.KeyRetention;
}

void KeyHome::State::expireRecords(TimePoint Now) {
  Records.expire(Now, [&](const std::string &Key) {
    Ticket ticket;
    if (hasTicketPrefix(Key) && parseTicket(Key, Options.TicketKey, ticket))
      ForgottenNonce = std::max(ForgottenNonce, ticket.Nonce);
  });
}

KeyDecision KeyHome::State::fromRecord(CoreContext &Context,
                                       const RequestSpec &Spec,
                                       const KeyRecord &Record) {
  if (Record.Fingerprint != Spec.Fingerprint)
    return refusal(ErrorKind::KeyReused);
  if (Record.open())
    return refusal(ErrorKind::KeyInProgress, Options.HeartbeatPeriod);
  Records.touch(Context.Now, Spec.Group, Spec.IdempotencyKey);
  if (Record.State == KeyState::Unknown)
    return refusal(ErrorKind::OutcomeUnknown);
  if (Record.HasBody)
    return replay(Record.Outcome);
  KeyDecision decision = refusal(ErrorKind::OutcomeUnknown);
  decision.Run = ExecutionState::Yes;
  return decision;
}

KeyDecision KeyHome::State::execute(CoreContext &Context, const RequestId &Id,
                                    const RequestSpec &Spec,
                                    TimePoint NotAfter) {
  if (!Records.open(Context.Now, Spec.Group, Spec.IdempotencyKey, Id,
                    Spec.Fingerprint))
    return refusal(ErrorKind::Overloaded, Options.LeasePeriod);
  return execution(NotAfter);
}

KeyDecision KeyHome::State::admitTicket(CoreContext &Context,
                                        const RequestId &Id,
                                        const RequestSpec &Spec) {
  Ticket ticket;
  if (!parseTicket(Spec.IdempotencyKey, Options.TicketKey, ticket))
    return refusal(ErrorKind::BadRequest);
  // An earlier attempt may have run at the executor, so an executor that is
  // gone never gives "not run".
  if (ticket.Instance != Options.Instance)
    return Lists.reachable(ticket.Instance, Context.Now)
               ? forwarding(ticket.Instance)
               : refusal(ErrorKind::OutcomeUnknown);
  if (ticket.Incarnation != Options.Incarnation)
    return refusal(ErrorKind::OutcomeUnknown);
  if (const KeyRecord *record = Records.find(Spec.Group, Spec.IdempotencyKey))
    return fromRecord(Context, Spec, *record);
  if (ticket.Nonce <= ForgottenNonce)
    return refusal(ErrorKind::OutcomeUnknown);
  return execute(Context, Id, Spec, TimePoint::max());
}

KeyDecision KeyHome::State::admitHere(CoreContext &Context, const RequestId &Id,
                                      const RequestSpec &Spec,
                                      const GroupConfig &Group) {
  const std::string &key = Spec.IdempotencyKey;
  TimePoint limit = leaseEnd(Context.Now);
  const ActivePeriod *since = homeSince(Group, key);
  if (limit <= Context.Now || !since)
    return refusal(ErrorKind::KeyLeaseMissing, Options.LeasePeriod);
  std::optional<WallTime> issued = issueTime(key);
  if (issued && *issued > Context.Wall + Options.ClockMargin)
    return refusal(ErrorKind::BadRequest);
  if (mayBeNew(Context, *since, key)) {
    KeyDecision decision = execute(Context, Id, Spec, limit);
    decision.Fence = Lists.fence();
    return decision;
  }
  return askFormerHomes(Context, Id, Spec, Group);
}

std::vector<std::string>
KeyHome::State::formerHomes(const CoreContext &Context,
                            const GroupConfig &Group,
                            const std::string &Key) const {
  std::vector<std::string> homes;
  auto add = [&](const std::string &Name) {
    const InstanceEntry *entry = Context.List.findInstance(Name);
    if (Name != Options.Instance && entry && allowed(Group, *entry) &&
        Lists.reachable(Name, Context.Now) && homes.size() < MaxAsked &&
        std::find(homes.begin(), homes.end(), Name) == homes.end())
      homes.push_back(Name);
  };
  const auto &known = Lists.knownLists();
  for (auto it = known.rbegin(); it != known.rend(); ++it)
    add(homeIn(Group, (*it)->Members, Key));
  // An instance that has just started knows no older list; the next in rank was
  // home before it joined.
  if (!known.empty())
    for (const std::string &it : rankHomes(Group, known.back()->Members, Key))
      add(it);
  return homes;
}

KeyDecision KeyHome::State::askFormerHomes(CoreContext &Context,
                                           const RequestId &Id,
                                           const RequestSpec &Spec,
                                           const GroupConfig &Group) {
  std::vector<std::string> homes =
      formerHomes(Context, Group, Spec.IdempotencyKey);
  if (homes.empty() || Pending.size() >= Options.MaxRequests)
    return refusal(ErrorKind::OutcomeUnknown);
  PendingKey item{Spec.Group,
                  Spec.IdempotencyKey,
                  Spec.Fingerprint,
                  Context.Now + Options.LeasePeriod / 2,
                  {homes.begin(), homes.end()},
                  std::nullopt};
  Pending[Id] = std::move(item);
  for (const std::string &it : homes)
    Context.send(it, KeyQuery{Id, Spec.Group, Spec.IdempotencyKey});
  KeyDecision decision;
  decision.Action = KeyAction::Wait;
  return decision;
}

void KeyHome::State::onDone(CoreContext &Context, PendingKey &Item,
                            const KeyAnswer &Answer) {
  if (Answer.Fingerprint != Item.Fingerprint) {
    Item.Decision = refusal(ErrorKind::KeyReused);
    return;
  }
  KeyOutcome outcome{Answer.HttpStatus, Answer.ContentType, Answer.Body};
  Item.Decision = replay(outcome);
  Records.adopt(Context.Now, Item.Group, Item.Key, Answer.Fingerprint,
                std::move(outcome));
}

KeyHome::KeyHome(const CoreOptions &Options)
    : Impl(std::make_unique<State>(Options)) {}

KeyHome::~KeyHome() = default;

KeyDecision KeyHome::admit(CoreContext &Context, const RequestId &Id,
                           const RequestSpec &Spec, bool Forwarded) {
  Impl->Lists.advance(Context);
  Impl->expireRecords(Context.Now);
  const CoreOptions &options = Impl->Options;
  const GroupConfig *group = Context.Config.findGroup(Spec.Group);
  if (!group)
    return refusal(ErrorKind::Forbidden);
  if (!isAllowedIn(*group, options.Region, options.FailureDomain))
    return refusal(ErrorKind::ResidencyViolation);
  if (hasTicketPrefix(Spec.IdempotencyKey)) {
    KeyDecision decision = Impl->admitTicket(Context, Id, Spec);
    if (Forwarded && decision.Action == KeyAction::Forward)
      return refusal(ErrorKind::OutcomeUnknown);
    return decision;
  }
  if (const KeyRecord *record =
          Impl->Records.find(Spec.Group, Spec.IdempotencyKey))
    return Impl->fromRecord(Context, Spec, *record);
  std::string home =
      homeIn(*group, Context.List.Instances, Spec.IdempotencyKey);
  if (Forwarded || home == options.Instance)
    return Impl->admitHere(Context, Id, Spec, *group);
  if (!home.empty() && Impl->Lists.reachable(home, Context.Now))
    return forwarding(std::move(home));
  return refusal(ErrorKind::HomeUnreachable, options.LeasePeriod);
}

TimePoint KeyHome::dispatchLimit(const CoreContext &Context,
                                 const std::string &Key) const {
  TimePoint limit = TimePoint();
  bool found = false;
  bool ticket = hasTicketPrefix(Key);
  Impl->Records.forEachOpen(
      Key, [&](const std::string &GroupName, const KeyRecord &Record) {
        TimePoint end = ticket ? TimePoint::max() : TimePoint();
        const GroupConfig *group = Context.Config.findGroup(GroupName);
        const ActivePeriod *since =
            ticket || !group ? nullptr : Impl->homeSince(*group, Key);
        if (since && since->Since <= Record.AdmittedAt)
          end = Impl->leaseEnd(Context.Now);
        limit = found ? std::min(limit, end) : end;
        found = true;
      });
  return limit;
}

uint64_t KeyHome::leasedListDigest(TimePoint Now) const {
  return Impl->leaseEnd(Now) > Now ? Impl->Lists.periods().back().List->Digest
                                   : 0;
}

void KeyHome::onDispatched(CoreContext &, const RequestId &Id) {
  Impl->Records.dispatched(Id);
}

void KeyHome::onNotRun(CoreContext &, const RequestId &Id) {
  Impl->Records.notRun(Id);
}

void KeyHome::onOutcome(CoreContext &Context, const RequestId &Id,
                        uint32_t HttpStatus, const std::string &ContentType,
                        const std::string &Body) {
  Impl->Records.done(Context.Now, Id, {HttpStatus, ContentType, Body});
}

void KeyHome::onOutcomeUnknown(CoreContext &Context, const RequestId &Id) {
  Impl->Records.unknown(Context.Now, Id);
}

std::vector<std::pair<RequestId, KeyDecision>>
KeyHome::takeResolved(CoreContext &Context) {
  std::vector<std::pair<RequestId, KeyDecision>> resolved;
  for (auto it = Impl->Pending.begin(); it != Impl->Pending.end();) {
    PendingKey &item = it->second;
    if (!item.Decision && (item.Asked.empty() || item.Deadline <= Context.Now))
      item.Decision = refusal(ErrorKind::OutcomeUnknown);
    if (!item.Decision) {
      ++it;
      continue;
    }
    resolved.emplace_back(it->first, std::move(*item.Decision));
    it = Impl->Pending.erase(it);
  }
  return resolved;
}

void KeyHome::onKeyQuery(CoreContext &Context, const std::string &From,
                         const KeyQuery &Message) {
  KeyAnswer answer;
  answer.Id = Message.Id;
  answer.Key = Message.Key;
  const GroupConfig *group = Context.Config.findGroup(Message.Group);
  const InstanceEntry *peer = Context.List.findInstance(From);
  const KeyRecord *record = Impl->Records.find(Message.Group, Message.Key);
  bool mayKnow = group && peer && allowed(*group, *peer);
  if (mayKnow && !record)
    answer.Status = KeyStatus::NeverSeen;
  if (mayKnow && record && record->open())
    answer.Status = KeyStatus::Running;
  if (mayKnow && record && record->HasBody) {
    answer.Status = KeyStatus::Done;
    answer.Fingerprint = record->Fingerprint;
    answer.HttpStatus = record->Outcome.HttpStatus;
    answer.ContentType = record->Outcome.ContentType;
    answer.Body = record->Outcome.Body;
  }
  Context.send(From, std::move(answer));
}

void KeyHome::onKeyAnswer(CoreContext &Context, const std::string &From,
                          const KeyAnswer &Message) {
  auto it = Impl->Pending.find(Message.Id);
  if (it == Impl->Pending.end() || it->second.Key != Message.Key ||
      it->second.Asked.erase(From) == 0 || it->second.Decision)
    return;
  if (Message.Status == KeyStatus::Done)
    Impl->onDone(Context, it->second, Message);
  else if (Message.Status == KeyStatus::Running)
    it->second.Decision =
        refusal(ErrorKind::KeyInProgress, Impl->Options.HeartbeatPeriod);
}

void KeyHome::fillHeartbeat(CoreContext &Context, const std::string &To,
                            Heartbeat &Message) {
  Impl->Lists.fill(Context, To, Message);
}

void KeyHome::onHeartbeat(CoreContext &Context, const std::string &From,
                          uint64_t Incarnation, const Heartbeat &Message) {
  Impl->Lists.onHeartbeat(Context, From, Incarnation, Message);
}

void KeyHome::onListChanged(CoreContext &Context) {
  Impl->Lists.advance(Context);
}

void KeyHome::onTimer(CoreContext &Context) {
  Impl->Lists.advance(Context);
  Impl->expireRecords(Context.Now);
}

std::string KeyHome::makeTicket(uint64_t Nonce) const {
  const CoreOptions &options = Impl->Options;
  return formatTicket({options.Instance, options.Incarnation, Nonce},
                      options.TicketKey);
}

std::string KeyHome::dump(TimePoint Now) const {
  Poco::JSON::Object root;
  root.set("records", Impl->Records.size());
  root.set("open", Impl->Records.openCount());
  root.set("body_bytes", Impl->Records.bodyBytes());
  root.set("waiting", Impl->Pending.size());
  std::ostringstream out;
  root.stringify(out);
  std::string text = out.str();
  text.insert(text.size() - 1, ",\"list\":" + Impl->Lists.dump(Now));
  return text;
}

} // namespace crocusspur::internal
