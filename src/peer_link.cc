#include "peer_link.h"

#include "log.h"
#include "peer_loop.h"
#include "runtime.h"

#include <set>
#include <type_traits>
#include <utility>

namespace crocusspur::internal {
namespace {

constexpr char Module[] = "peer_link";

bool isForwardMessage(const PeerMessage &Message) {
  return std::visit(
      [](const auto &It) {
        using T = std::decay_t<decltype(It)>;
        return std::is_same_v<T, ForwardRequest> ||
               std::is_same_v<T, ForwardHead> ||
               std::is_same_v<T, ForwardBody> ||
               std::is_same_v<T, ForwardEnd> ||
               std::is_same_v<T, ForwardCancel>;
      },
      Message);
}

PeerLoopOptions optionsFrom(const Settings &Values, uint64_t Incarnation) {
  PeerLoopOptions options;
  options.Name = Values.Instance;
  options.Incarnation = Incarnation;
  options.Key = Values.PeerKey;
  options.Address = Values.PeerAddress;
  options.Limits.MaxFrameBytes = Values.MaxFrameBytes;
  return options;
}

class PeerLink : public Plugin, public PeerSender {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

  bool send(const std::string &Instance, const PeerMessage &Message) override {
    return Loop->send(Instance, Message);
  }
  void setPeers(const InstanceList &List) override {
    Loop->setPeers(List.Instances);
  }

private:
  PeerLoopHooks hooks();
  void onError(const std::string &Peer, const std::string &Reason);
  void onDown(const std::string &Name, uint64_t Incarnation);
  void onMessage(const std::string &Name, uint64_t Incarnation,
                 PeerMessage Message);
  ForwardHandler *forwardHandler();

  Kernel *Owner = nullptr;
  EventSink *Events = nullptr;
  ForwardHandler *CachedForwardHandler = nullptr; // loop's thread only
  std::set<std::string> ReportedUnreachable;      // loop's thread only
  std::unique_ptr<PeerLoop> Loop;
};

bool PeerLink::start(Kernel &Owner) {
  this->Owner = &Owner;
  Events = Owner.find<EventSink>();
  if (!Events) {
    log(LogLevel::Error, Module, "can't start: no event sink");
    return false;
  }
  // The core's thread chooses the incarnation, which is part of its request
  // ids. The handshake must send the same one, because peers compare it with
  // tickets and leases.
  uint64_t incarnation = Events->nextRequestId().Incarnation;
  Loop = std::make_unique<PeerLoop>(optionsFrom(Owner.settings(), incarnation),
                                    hooks());
  if (!Loop->start()) {
    log(LogLevel::Error, Module, "can't start: no listening socket for peers");
    return false;
  }
  Owner.provide<PeerSender>(this);
  const std::string &configured = Owner.settings().PeerAddress;
  std::string host = configured.substr(0, configured.rfind(':') + 1);
  log(LogLevel::Info, Module, "listening",
      {{"front", "peers"}, {"address", host + std::to_string(Loop->port())}});
  return true;
}

void PeerLink::stop() { Loop->stop(); }

PeerLoopHooks PeerLink::hooks() {
  PeerLoopHooks it;
  it.OnUp = [this](const std::string &Name, uint64_t Incarnation) {
    log(LogLevel::Info, Module, "link up", {{"peer", Name}});
    ReportedUnreachable.erase(Name);
    Events->post(PeerLinkChanged{Name, Incarnation, true});
  };
  it.OnDown = [this](const std::string &Name, uint64_t Incarnation) {
    onDown(Name, Incarnation);
  };
  it.OnMessage = [this](const std::string &Name, uint64_t Incarnation,
                        PeerMessage Message) {
    onMessage(Name, Incarnation, std::move(Message));
  };
  it.OnError = [this](const std::string &Peer, const std::string &Reason) {
    onError(Peer, Reason);
  };
  return it;
}

void PeerLink::onError(const std::string &Peer, const std::string &Reason) {
  // Dialling an unreachable peer is retried about once per second; logging each
  // attempt would flood the log.
  if (Reason.starts_with("can't connect") &&
      !ReportedUnreachable.insert(Peer).second)
    return;
  log(LogLevel::Warn, Module, "closed a connection",
      {{"peer", Peer},
       {"kind", errorResponse(ErrorKind::PeerProtocol).Name},
       {"reason", Reason}});
}

void PeerLink::onDown(const std::string &Name, uint64_t Incarnation) {
  log(LogLevel::Info, Module, "link down", {{"peer", Name}});
  Events->post(PeerLinkChanged{Name, Incarnation, false});
  if (ForwardHandler *handler = forwardHandler())
    handler->onLinkLost(Name);
}

void PeerLink::onMessage(const std::string &Name, uint64_t Incarnation,
                         PeerMessage Message) {
  if (!isForwardMessage(Message)) {
    Events->post(PeerReceived{Name, Incarnation, std::move(Message)});
    return;
  }
  if (ForwardHandler *handler = forwardHandler())
    handler->onForward(Name, std::move(Message));
  else
    log(LogLevel::Warn, Module, "dropped a frame of a forwarded request",
        {{"peer", Name}, {"reason", "no handler for forwarded requests"}});
}

// Looked up lazily, because its plug-in may start after this one.
ForwardHandler *PeerLink::forwardHandler() {
  if (!CachedForwardHandler)
    CachedForwardHandler = Owner->find<ForwardHandler>();
  return CachedForwardHandler;
}

const PluginRegistration Registration{
    {"peer_link", Phase::PeerLinks, [] { return makePeerLink(); }}};

} // namespace

std::unique_ptr<Plugin> makePeerLink() { return std::make_unique<PeerLink>(); }

} // namespace crocusspur::internal
