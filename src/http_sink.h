// Writes a response to a caller's HTTP connection.
#ifndef CROCUSSPUR_HTTP_SINK_H
#define CROCUSSPUR_HTTP_SINK_H

#include "response_sink.h"
#include "stall_detector.h"

namespace crocusspur::internal {

struct HttpSinkOptions {
  bool KeepAlive = true; // the caller accepts a persistent connection
  bool MayChunk = true;  // HTTP/1.1
  bool HeadOnly = false; // response to HEAD
  // A caller that accepts less than so many bytes for this long, while data
  // waits for it, counts as disconnected.
  Milliseconds WriteTimeout{30000};
  size_t MinWriteBytes = MinAcceptedBytes;
};

class HttpSink : public ResponseSink {
public:
  HttpSink(int Fd, const HttpSinkOptions &Options)
      : Fd(Fd), Options(Options),
        Stall(Options.WriteTimeout, Options.MinWriteBytes),
        KeepAlive(Options.KeepAlive) {}

  bool begin(const ResponseHead &Head) override;
  bool write(std::string_view Data) override;
  bool end(bool Complete) override;
  int watchedSocket() const override { return Fd; }

  // Closes the connection after this response.
  void closeAfterResponse() { KeepAlive = false; }
  // Whether another request can follow on the connection.
  bool keepsAlive() const { return KeepAlive && !Disconnected; }
  bool started() const { return Started; }
  // The response isn't complete and is delimited only by the end of the
  // connection, so only a reset shows that to the caller. Closing the socket
  // resets the connection then, also if the process ends; a shutdown() before
  // would still look like the end.
  bool needsReset() const { return UntilClose && !Complete; }

private:
  bool flush(std::string_view Data, bool Framed);

  int Fd;
  HttpSinkOptions Options;
  StallDetector Stall;
  std::string PendingHead; // not yet sent
  bool KeepAlive;
  bool Started = false;
  bool Chunked = false;
  bool UntilClose = false; // the end of the connection ends the response
  bool Complete = false;   // all of the response was sent
  bool Disconnected = false;
};

const char *reasonPhrase(uint32_t Status);

} // namespace crocusspur::internal

#endif
