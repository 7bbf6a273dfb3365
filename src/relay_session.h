// The relay of one request: executes the core's actions for it, copies the
// response to the caller and reports outcomes to the core.
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

// Dependencies that all relays of a process share.
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

  // Runs on the calling thread and returns when the request has ended.
  void run();

private:
  enum class WaitOutcome : uint8_t {
    Item,
    CallerDisconnected,
    Disconnected,
    TimedOut
  };

  // Waits for the socket while watching the caller and the mailbox.
  WaitResult wait(int Fd, short Events, TimePoint Until) override;
  WaitOutcome waitForItem(MailboxItem &Item, TimePoint Until);
  void processNext();
  void execute(const Action &Item);

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
  void onToken(std::string_view RawToken);
  void reportProgress();
  std::string finalOutput() const;
  void finishDecode(const std::string &Output);

  // ServiceHandler
  bool onHead(const HttpHead &Head) override;
  bool onBody(std::string_view Data) override;
  void finishService();

  struct ForwardState;
  bool sendForward(const ForwardToHome &Item);
  void onForwardItem(const MailboxItem &Item, ForwardState &State);
  void onForwardFrame(const PeerMessage &Message, ForwardState &State);
  void endForward(bool Complete, ForwardState &State);
  void reportForwardFailure(StageOutcome Outcome);

  // Returns whether the caller has disconnected, or the instance that forwarded
  // the request has cancelled it. Doesn't wait.
  bool callerLeft();
  // Returns false if nothing may be sent: the server isn't configured any more,
  // or the caller has left.
  bool makeCall(const std::string &Server, TimePoint NotAfter,
                Milliseconds Timeout, BackendCall &Call);
  EngineRequest makeEngineRequest(uint32_t Attempt, uint64_t Fence) const;
  void report(StageFinished Result, const BackendCallResult &CallResult);
  void sendProblem(const Problem &Item);
  void finish(bool Written);
  void recordFirstOutput();
  void reportSummary();
  void cancel();
  void recordForReplay(std::string_view Data);

  const RelayContext &Context;
  const CallerRequest &Request;
  ResponseSink &Sink;
  Mailbox &Mail;
  WaitSet Watched; // caller, mailbox and the stage's server
  OpenAiFormat Format;
  TokenReorderBuffer ReorderBuffer;
  TokenReorderBuffer::Sink OnToken;

  bool Ended = false;
  bool Delivered = false;
  bool CallerDisconnected = false;
  bool ResponseStarted = false; // the response head has been passed to the sink

  uint32_t Attempt = 0;    // of the running stage
  uint64_t FirstIndex = 0; // of the running decode
  uint64_t ReportedTokens = 0;
  std::string PrefillResultServer; // holds a prefill's result; empty: none
  std::string Batch;               // stream events not yet written
  std::string ResponseText;        // text of a non-streaming response, escaped

  ResponseHead ServiceHead;
  bool BufferService = false;
  std::string ServiceBody;

  std::string ReplayBody; // response to store for the idempotency key
  std::string Home;       // while forwarded
  RequestSummary Summary;
};

} // namespace crocusspur::internal

#endif
