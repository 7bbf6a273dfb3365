#include "relay.h"

#include "crocusspur/kernel.h"
#include "log.h"
#include "peer_sink.h"
#include "relay_session.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <boost/leaf.hpp>
#include <utility>

namespace crocusspur::internal {
namespace {

// Requests that this instance executes as home for other instances, each on one
// thread.
constexpr int MaxForwarded = 256;
constexpr int StackBytes = 262144;
constexpr int IdleSeconds = 60;

class Relay : public Plugin,
              public RelayRunner,
              public RelayRegistry,
              public ForwardHandler {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

  void run(CallerRequest Request, ResponseSink &Sink) override;
  bool deliver(const RequestId &Id, Action Item) override;
  size_t openRequests() override { return Mailboxes.all().size(); }
  void onForward(const std::string &From, PeerMessage Message) override;
  void onLinkLost(const std::string &Instance) override;

private:
  class ForwardedJob;
  friend class ForwardedJob;

  void startForwarded(const std::string &From, ForwardRequest Message);
  void runForwarded(const std::string &From, ForwardRequest Message,
                    Mailbox &Mail);
  void onResponseFrame(const std::string &From, const RequestId &Id,
                       PeerMessage Message);
  void onCancel(const std::string &From, const RequestId &Id);

  RelayContext Context;
  BackendClient Backends;
  MailboxTable Mailboxes;
  Poco::ThreadPool Pool{"forwarded", 2, MaxForwarded, IdleSeconds, StackBytes};
};

// Runs one forwarded request on a thread of the pool and deletes itself.
class Relay::ForwardedJob : public Poco::Runnable {
public:
  ForwardedJob(Relay &Owner, std::string From, ForwardRequest Message,
               MailboxPtr Mail)
      : Owner(Owner), From(std::move(From)), Message(std::move(Message)),
        Mail(std::move(Mail)) {}

  void run() override {
    RequestId id = Message.Id;
    try {
      Owner.runForwarded(From, std::move(Message), *Mail);
    } catch (const std::exception &error) {
      log(LogLevel::Error, "relay", "forwarded request ended by an exception",
          {{"request", id.str()}, {"reason", error.what()}});
    }
    Owner.Mailboxes.close(id);
    delete this;
  }

private:
  Relay &Owner;
  std::string From;
  ForwardRequest Message;
  MailboxPtr Mail;
};

bool Relay::start(Kernel &Owner) {
  Context.Events = Owner.find<EventSink>();
  if (!Context.Events) {
    log(LogLevel::Error, "relay", "there is no decision core to report to");
    return false;
  }
  Context.Backends = &Backends;
  Context.Values = &Owner.settings();
  Context.Metrics = Owner.find<MetricsSink>();
  Context.Peers = [&Owner] { return Owner.find<PeerSender>(); };
  Owner.provide<RelayRunner>(this);
  Owner.provide<RelayRegistry>(this);
  Owner.provide<ForwardHandler>(this);
  Owner.provide<BackendClient>(&Backends);
  return true;
}

void Relay::stop() {
  for (const MailboxPtr &it : Mailboxes.all())
    it->disconnect();
  Pool.joinAll();
}

void Relay::run(CallerRequest Request, ResponseSink &Sink) {
  MailboxPtr mail = Mailboxes.open(Request.Id);
  if (!mail) {
    writeProblem(Sink, makeProblem(ErrorKind::Internal,
                                   "the request id is in use", Request.Id));
    return;
  }
  RelaySession(Context, Request, Sink, *mail).run();
  Mailboxes.close(Request.Id);
}

bool Relay::deliver(const RequestId &Id, Action Item) {
  MailboxPtr mail = Mailboxes.find(Id);
  return mail && mail->push(std::move(Item));
}

void Relay::onForward(const std::string &From, PeerMessage Message) {
  if (auto *request = std::get_if<ForwardRequest>(&Message))
    startForwarded(From, std::move(*request));
  else if (const auto *cancel = std::get_if<ForwardCancel>(&Message))
    onCancel(From, cancel->Id);
  else if (const auto *head = std::get_if<ForwardHead>(&Message))
    onResponseFrame(From, head->Id, std::move(Message));
  else if (const auto *body = std::get_if<ForwardBody>(&Message))
    onResponseFrame(From, body->Id, std::move(Message));
  else if (const auto *end = std::get_if<ForwardEnd>(&Message))
    onResponseFrame(From, end->Id, std::move(Message));
}

void Relay::onLinkLost(const std::string &Instance) {
  for (const MailboxPtr &it : Mailboxes.all())
    if (it->hasPeer(Instance))
      it->disconnect();
}

void Relay::onCancel(const std::string &From, const RequestId &Id) {
  MailboxPtr mail = Mailboxes.find(Id);
  if (mail && mail->hasPeer(From))
    mail->disconnect();
}

void Relay::onResponseFrame(const std::string &From, const RequestId &Id,
                            PeerMessage Message) {
  MailboxPtr mail = Mailboxes.find(Id);
  if (!mail || !mail->hasPeer(From) || mail->push(std::move(Message)))
    return;
  // The caller reads the response too slowly for the bounded mailbox.
  mail->disconnect();
  if (PeerSender *peers = Context.Peers())
    peers->send(From, ForwardCancel{Id});
}

void Relay::startForwarded(const std::string &From, ForwardRequest Message) {
  RequestId id = Message.Id;
  // Opened before the thread starts, so that a cancel that follows finds it.
  MailboxPtr mail = Mailboxes.open(id);
  if (!mail)
    return; // a duplicate; the first request responds
  mail->setPeer(From);
  auto *job = new ForwardedJob(*this, From, std::move(Message), mail);
  try {
    Pool.start(*job, "forwarded");
  } catch (const Poco::Exception &) {
    delete job;
    Mailboxes.close(id);
    PeerSink sink(Context.Peers(), From, id);
    writeProblem(sink, makeProblem(ErrorKind::Overloaded,
                                   "the home runs too many requests", id));
  }
}

void Relay::runForwarded(const std::string &From, ForwardRequest Message,
                         Mailbox &Mail) {
  PeerSink sink(Context.Peers(), From, Message.Id);
  RequestId id = Message.Id;
  ConfigPtr config = Context.Events->config();
  const GroupConfig *group = config->findGroup(Message.Group);
  const Settings &values = *Context.Values;
  if (!group || !isAllowedIn(*group, values.Region, values.FailureDomain)) {
    writeProblem(sink,
                 makeProblem(ErrorKind::ResidencyViolation,
                             "the home is outside the group's domains", id));
    return;
  }
  RequestInput input;
  input.Method = std::move(Message.Method);
  input.Target = std::move(Message.Path);
  input.ContentType = std::move(Message.ContentType);
  input.Group = std::move(Message.Group);
  input.IdempotencyKey = std::move(Message.IdempotencyKey);
  input.Body = std::move(Message.Body);
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(request, parseCallerRequest(std::move(input), *config));
        request.Id = id;
        request.ForwardedBy = From;
        RelaySession(Context, request, sink, Mail).run();
        return {};
      },
      [&](const RequestError &Error) {
        writeProblem(sink, makeProblem(Error.Kind, Error.Detail, id));
      },
      [&] { writeProblem(sink, makeProblem(ErrorKind::Internal, "", id)); });
}

const PluginRegistration Registration{
    {"relay", Phase::Core, [] { return std::make_unique<Relay>(); }}};

} // namespace
} // namespace crocusspur::internal
