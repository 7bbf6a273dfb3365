// Writes an answer to a caller's HTTP connection.
#ifndef CROCUSSPUR_HTTP_SINK_H
#define CROCUSSPUR_HTTP_SINK_H

#include "response_sink.h"

namespace crocusspur::internal {

struct HttpSinkOptions {
  bool KeepAlive = true;            // the caller wants the connection kept
  bool MayChunk = true;             // HTTP/1.1
  bool HeadOnly = false;            // answer to HEAD
  Milliseconds WriteTimeout{30000}; // a caller that takes nothing for this long
                                    // counts as gone
};

class HttpSink : public ResponseSink {
public:
  HttpSink(int Fd, const HttpSinkOptions &Options)
      : Fd(Fd), Options(Options), KeepAlive(Options.KeepAlive) {}

  bool begin(const ResponseHead &Head) override;
  bool write(std::string_view Data) override;
  bool end(bool Complete) override;
  int watchedSocket() const override { return Fd; }

  // Closes the connection after this answer.
  void closeAfterResponse() { KeepAlive = false; }
  // Whether another request can follow on the connection.
  bool keepsAlive() const { return KeepAlive && !Disconnected; }
  bool started() const { return Started; }
  // The answer broke off and its end would be shown by the end of the
  // connection alone: only a reset tells the caller.
  bool needsReset() const { return NeedsReset; }

private:
  bool flush(std::string_view Data, bool Framed);

  int Fd;
  HttpSinkOptions Options;
  std::string PendingHead; // not yet sent
  bool KeepAlive;
  bool Started = false;
  bool Chunked = false;
  bool UntilClose = false; // the end of the connection ends the answer
  bool NeedsReset = false;
  bool Disconnected = false;
};

// Reason phrase of a status.
const char *reasonPhrase(uint32_t Status);

} // namespace crocusspur::internal

#endif
