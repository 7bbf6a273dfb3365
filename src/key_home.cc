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

// Largest number of former homes that are queried for a record.
constexpr size_t MaxQueriedHomes = 3;

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

bool isAllowedInstance(const GroupConfig &Group,
                       const InstanceEntry &Instance) {
  return isAllowedIn(Group, Instance.Region, Instance.FailureDomain);
}

// Home candidates of the key, the home first.
std::vector<std::string> rankHomes(const GroupConfig &Group,
                                   const std::vector<InstanceEntry> &Instances,
                                   const std::string &Key) {
  std::vector<std::string> names;
  for (const InstanceEntry &it : Instances)
    if (it.State == MemberState::Live && isAllowedInstance(Group, it))
      names.push_back(it.Name);
  return rankByRendezvous(Group.Name + '\n' + Key, std::move(names));
}

std::string findHome(const GroupConfig &Group,
                     const std::vector<InstanceEntry> &Instances,
                     const std::string &Key) {
  std::vector<std::string> ranked = rankHomes(Group, Instances, Key);
  return ranked.empty() ? std::string() : std::move(ranked.front());
}

KeyDecision rejection(ErrorKind Error, Milliseconds RetryAfter = {}) {
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

// A request that waits for responses of former homes.
struct PendingKey {
  std::string Group;
  std::string Key;
  uint64_t Fingerprint = 0;
  TimePoint Deadline;
  std::set<std::string> AwaitedHomes; // former homes that haven't answered
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
  uint64_t MaxExpiredNonce = 0;

  KeyDecision admitTicket(CoreContext &Context, const RequestId &Id,
                          const RequestSpec &Spec);
  KeyDecision admitHere(CoreContext &Context, const RequestId &Id,
                        const RequestSpec &Spec, const GroupConfig &Group);
  KeyDecision decideFromRecord(CoreContext &Context, const RequestSpec &Spec,
                               const KeyRecord &Record);
  KeyDecision execute(CoreContext &Context, const RequestId &Id,
                      const RequestSpec &Spec, TimePoint NotAfter);
  KeyDecision queryFormerHomes(CoreContext &Context, const RequestId &Id,
                               const RequestSpec &Spec,
                               const GroupConfig &Group);
  std::vector<std::string> formerHomes(const CoreContext &Context,
                                       const GroupConfig &Group,
                                       const std::string &Key) const;
  const ActivePeriod *currentHomePeriod(const GroupConfig &Group,
                                        const std::string &Key) const;
  bool cannotHaveRun(const CoreContext &Context, const ActivePeriod &HomePeriod,
                     const std::string &Key) const;
  TimePoint dispatchEnd(TimePoint Now) const;
  void expireRecords(TimePoint Now);
  void onDone(CoreContext &Context, PendingKey &Item, const KeyAnswer &Answer);
};

// End of the time in which requests may be dispatched. It lies a quarter of a
// lease before the end of the lease, to allow for differences in clock rates
// and for the time from the last check to the write.
TimePoint KeyHome::State::dispatchEnd(TimePoint Now) const {
  TimePoint end = Lists.activeUntil();
  return end > Now ? end - Options.LeasePeriod / 4 : TimePoint();
}

// The first of the periods during which this instance has been home of the key
// without interruption until now; null if it isn't home now.
const ActivePeriod *
KeyHome::State::currentHomePeriod(const GroupConfig &Group,
                                  const std::string &Key) const {
  const ActivePeriod *homePeriod = nullptr;
  const auto &periods = Lists.periods();
  for (auto it = periods.rbegin(); it != periods.rend(); ++it) {
    if (findHome(Group, it->List->Members, Key) != Options.Instance)
      break;
    homePeriod = &*it;
    if (!it->Continuous)
      break;
  }
  return homePeriod;
}

// Given that this instance has no record of the key: true if no other home can
// have executed it, and this instance hasn't since it became home.
bool KeyHome::State::cannotHaveRun(const CoreContext &Context,
                                   const ActivePeriod &HomePeriod,
                                   const std::string &Key) const {
  std::optional<WallTime> issued = issueTime(Key);
  if (!issued)
    return HomePeriod.Since + Options.KeyRetention <= Context.Now;
  // By its own clock, a former home may have admitted the key up to one margin
  // before the issue time, and its clock may be another margin behind.
  if (*issued <= HomePeriod.SinceWall + 2 * Options.ClockMargin)
    return false;
  return Context.Wall - *issued + Options.ClockMargin < Options.KeyRetention;
}

void KeyHome::State::expireRecords(TimePoint Now) {
  Records.expire(Now, [&](const std::string &Key) {
    Ticket ticket;
    if (hasTicketPrefix(Key) && parseTicket(Key, Options.TicketKey, ticket))
      MaxExpiredNonce = std::max(MaxExpiredNonce, ticket.Nonce);
  });
}

KeyDecision KeyHome::State::decideFromRecord(CoreContext &Context,
                                             const RequestSpec &Spec,
                                             const KeyRecord &Record) {
  if (Record.Fingerprint != Spec.Fingerprint)
    return rejection(ErrorKind::KeyReused);
  if (Record.isOpen())
    return rejection(ErrorKind::KeyInProgress, Options.HeartbeatPeriod);
  Records.touch(Context.Now, Spec.Group, Spec.IdempotencyKey);
  if (Record.State == KeyState::Unknown)
    return rejection(ErrorKind::OutcomeUnknown);
  if (Record.HasBody)
    return replay(Record.Outcome);
  KeyDecision decision = rejection(ErrorKind::OutcomeUnknown);
  decision.Run = ExecutionState::Yes;
  return decision;
}

KeyDecision KeyHome::State::execute(CoreContext &Context, const RequestId &Id,
                                    const RequestSpec &Spec,
                                    TimePoint NotAfter) {
  if (!Records.addOpen(Context.Now, Spec.Group, Spec.IdempotencyKey, Id,
                       Spec.Fingerprint))
    return rejection(ErrorKind::Overloaded, Options.LeasePeriod);
  return execution(NotAfter);
}

KeyDecision KeyHome::State::admitTicket(CoreContext &Context,
                                        const RequestId &Id,
                                        const RequestSpec &Spec) {
  Ticket ticket;
  if (!parseTicket(Spec.IdempotencyKey, Options.TicketKey, ticket))
    return rejection(ErrorKind::BadRequest);
  // An earlier attempt may have run at the executor, so the response for an
  // unreachable executor is never "not run".
  if (ticket.Instance != Options.Instance)
    return Lists.reachable(ticket.Instance, Context.Now)
               ? forwarding(ticket.Instance)
               : rejection(ErrorKind::OutcomeUnknown);
  if (ticket.Incarnation != Options.Incarnation)
    return rejection(ErrorKind::OutcomeUnknown);
  if (const KeyRecord *record = Records.find(Spec.Group, Spec.IdempotencyKey))
    return decideFromRecord(Context, Spec, *record);
  if (ticket.Nonce <= MaxExpiredNonce)
    return rejection(ErrorKind::OutcomeUnknown);
  return execute(Context, Id, Spec, TimePoint::max());
}

KeyDecision KeyHome::State::admitHere(CoreContext &Context, const RequestId &Id,
                                      const RequestSpec &Spec,
                                      const GroupConfig &Group) {
  const std::string &key = Spec.IdempotencyKey;
  TimePoint limit = dispatchEnd(Context.Now);
  const ActivePeriod *homePeriod = currentHomePeriod(Group, key);
  if (limit <= Context.Now || !homePeriod)
    return rejection(ErrorKind::KeyLeaseMissing, Options.LeasePeriod);
  std::optional<WallTime> issued = issueTime(key);
  if (issued && *issued > Context.Wall + Options.ClockMargin)
    return rejection(ErrorKind::BadRequest);
  if (cannotHaveRun(Context, *homePeriod, key)) {
    KeyDecision decision = execute(Context, Id, Spec, limit);
    decision.Fence = Lists.fence();
    return decision;
  }
  return queryFormerHomes(Context, Id, Spec, Group);
}

std::vector<std::string>
KeyHome::State::formerHomes(const CoreContext &Context,
                            const GroupConfig &Group,
                            const std::string &Key) const {
  std::vector<std::string> homes;
  auto add = [&](const std::string &Name) {
    const InstanceEntry *entry = Context.List.findInstance(Name);
    if (Name != Options.Instance && entry && isAllowedInstance(Group, *entry) &&
        Lists.reachable(Name, Context.Now) && homes.size() < MaxQueriedHomes &&
        std::find(homes.begin(), homes.end(), Name) == homes.end())
      homes.push_back(Name);
  };
  const auto &known = Lists.knownLists();
  for (auto it = known.rbegin(); it != known.rend(); ++it)
    add(findHome(Group, (*it)->Members, Key));
  // An instance that has just started knows no older list. The next instance
  // in rank was home before this one joined.
  if (!known.empty())
    for (const std::string &it : rankHomes(Group, known.back()->Members, Key))
      add(it);
  return homes;
}

KeyDecision KeyHome::State::queryFormerHomes(CoreContext &Context,
                                             const RequestId &Id,
                                             const RequestSpec &Spec,
                                             const GroupConfig &Group) {
  std::vector<std::string> homes =
      formerHomes(Context, Group, Spec.IdempotencyKey);
  if (homes.empty() || Pending.size() >= Options.MaxRequests)
    return rejection(ErrorKind::OutcomeUnknown);
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
    Item.Decision = rejection(ErrorKind::KeyReused);
    return;
  }
  KeyOutcome outcome{Answer.HttpStatus, Answer.ContentType, Answer.Body};
  Item.Decision = replay(outcome);
  Records.addDone(Context.Now, Item.Group, Item.Key, Answer.Fingerprint,
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
    return rejection(ErrorKind::Forbidden);
  if (!isAllowedIn(*group, options.Region, options.FailureDomain))
    return rejection(ErrorKind::ResidencyViolation);
  if (hasTicketPrefix(Spec.IdempotencyKey)) {
    KeyDecision decision = Impl->admitTicket(Context, Id, Spec);
    if (Forwarded && decision.Action == KeyAction::Forward)
      return rejection(ErrorKind::OutcomeUnknown);
    return decision;
  }
  if (const KeyRecord *record =
          Impl->Records.find(Spec.Group, Spec.IdempotencyKey))
    return Impl->decideFromRecord(Context, Spec, *record);
  std::string home =
      findHome(*group, Context.List.Instances, Spec.IdempotencyKey);
  if (Forwarded || home == options.Instance)
    return Impl->admitHere(Context, Id, Spec, *group);
  if (!home.empty() && Impl->Lists.reachable(home, Context.Now))
    return forwarding(std::move(home));
  return rejection(ErrorKind::HomeUnreachable, options.LeasePeriod);
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
        const ActivePeriod *homePeriod =
            ticket || !group ? nullptr : Impl->currentHomePeriod(*group, Key);
        if (homePeriod && homePeriod->Since <= Record.AdmittedAt)
          end = Impl->dispatchEnd(Context.Now);
        limit = found ? std::min(limit, end) : end;
        found = true;
      });
  return limit;
}

uint64_t KeyHome::leasedListDigest(TimePoint Now) const {
  return Impl->dispatchEnd(Now) > Now
             ? Impl->Lists.periods().back().List->Digest
             : 0;
}

void KeyHome::onDispatched(CoreContext &, const RequestId &Id) {
  Impl->Records.markDispatched(Id);
}

void KeyHome::onNotRun(CoreContext &, const RequestId &Id) {
  Impl->Records.removeOpen(Id);
}

void KeyHome::onOutcome(CoreContext &Context, const RequestId &Id,
                        uint32_t HttpStatus, const std::string &ContentType,
                        const std::string &Body) {
  Impl->Records.markDone(Context.Now, Id, {HttpStatus, ContentType, Body});
}

void KeyHome::onOutcomeUnknown(CoreContext &Context, const RequestId &Id) {
  Impl->Records.markUnknown(Context.Now, Id);
}

std::vector<std::pair<RequestId, KeyDecision>>
KeyHome::takeResolved(CoreContext &Context) {
  std::vector<std::pair<RequestId, KeyDecision>> resolved;
  for (auto it = Impl->Pending.begin(); it != Impl->Pending.end();) {
    PendingKey &item = it->second;
    if (!item.Decision &&
        (item.AwaitedHomes.empty() || item.Deadline <= Context.Now))
      item.Decision = rejection(ErrorKind::OutcomeUnknown);
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
  bool isAllowed = group && peer && isAllowedInstance(*group, *peer);
  if (isAllowed && !record)
    answer.Status = KeyStatus::NeverSeen;
  if (isAllowed && record && record->isOpen())
    answer.Status = KeyStatus::Running;
  if (isAllowed && record && record->HasBody) {
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
      it->second.AwaitedHomes.erase(From) == 0 || it->second.Decision)
    return;
  if (Message.Status == KeyStatus::Done)
    Impl->onDone(Context, it->second, Message);
  else if (Message.Status == KeyStatus::Running)
    it->second.Decision =
        rejection(ErrorKind::KeyInProgress, Impl->Options.HeartbeatPeriod);
}

void KeyHome::fillHeartbeat(CoreContext &Context, const std::string &To,
                            Heartbeat &Message) {
  Impl->Lists.fill(Context, To, Message);
}

uint64_t KeyHome::lastHeartbeatNumber() const {
  return Impl->Lists.lastHeartbeatNumber();
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
