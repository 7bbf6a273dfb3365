// The relay of one request: carries out the core's actions for it, copies the
// answer to the caller and reports outcomes to the core.
#ifndef CROCUSSPUR_RELAY_SESSION_H
#define CROCUSSPUR_RELAY_SESSION_H

#include "backend_client.h"
#include "caller_request.h"
#include "crocusspur/settings.h"
#include "mailbox.h"
#include "openai_format.h"
#include "request_log.h"
#include "response_sink.h"
#include "runtime.h"
#include "token_reorder_buffer.h"

#include <functional>
#include <string>

namespace crocusspur::internal {

// What all relays of a process share.
struct RelayContext {
  EventSink *Events = nullptr;
  BackendClient *Backends = nullptr;
  const Settings *Values = nullptr;
  std::function<PeerSender *()> Peers; // may return null
  MetricsSink *Metrics = nullptr;      // may be null
};

class RelaySession : private SocketWaiter,
                     private DecodeHandler,
                     private ServiceHandler {
public:
  RelaySession(const RelayContext &Context, const CallerRequest &Request,
               ResponseSink &Sink, Mailbox &Mail);

  // Returns when the request has ended, on the calling thread.
  void run();

private:
  enum class Next : uint8_t { Item, CallerGone, Broken, TimedOut };

  // Watches the caller, the mailbox and the socket together.
  WaitResult wait(int Fd, short Events, TimePoint Until) override;
  Next nextItem(MailboxItem &Item, TimePoint Until);
  void step();
  void carryOut(const Action &Item);

  void prefill(const StartPrefill &Item);
  void decode(const StartDecode &Item);
  void service(const StartService &Item);
  void forward(const ForwardToHome &Item);
  void answerError(const AnswerError &Item);
  void answerStored(const AnswerStored &Item);

  // DecodeHandler
  bool onEvent(const EngineEvent &Event) override;
  bool onBatch() override;
  bool onDone(const EngineEvent &Event) const;
  void takeToken(std::string_view RawToken);
  void reportProgress();
  std::string lastPiece() const;
  void finishDecode(const std::string &Last);

  // ServiceHandler
  bool onHead(const HttpHead &Head) override;
  bool onBody(std::string_view Data) override;
  void finishService();

  struct ForwardState;
  bool sendForward(const ForwardToHome &Item);
  void onForwardItem(const MailboxItem &Item, ForwardState &State);
  void onForwardFrame(const PeerMessage &Message, ForwardState &State);
  void endForward(bool Complete, ForwardState &State);
  void reportForward(StageOutcome Outcome);

  bool callFor(const std::string &Server, TimePoint NotAfter,
               Milliseconds Timeout, BackendCall &Call) const;
  EngineWork workFor(uint32_t Attempt, uint64_t Fence) const;
  void report(StageFinished Result, const CallEnd &End);
  void answerProblem(const Problem &Item);
  void finish(bool Written);
  void noteFirstOutput();
  void summarize();
  void leave();
  void remember(std::string_view Data);

  const RelayContext &Context;
  const CallerRequest &Request;
  ResponseSink &Sink;
  Mailbox &Mail;
  WaitSet Watched; // caller, mailbox and the stage's server
  OpenAiFormat Format;
  TokenReorderBuffer Sequence;
  TokenReorderBuffer::Sink TakeToken;

  bool Ended = false;
  bool Delivered = false;
  bool CallerGone = false;
  bool Begun = false; // the answer's head has been given to the sink

  uint32_t Attempt = 0;    // of the running stage
  uint64_t FirstIndex = 0; // of the running decode
  uint64_t ReportedTokens = 0;
  std::string ResultAt;  // server that holds a prefill's result; empty: none
  std::string Batch;     // stream events not yet written
  std::string PlainText; // text of a plain answer, escaped

  ResponseHead ServiceHead;
  bool CollectService = false;
  std::string ServiceBody;

  std::string Remembered; // answer to remember under the idempotency key
  std::string Home;       // while forwarded
  RequestSummary Summary;
};

} // namespace crocusspur::internal

#endif
