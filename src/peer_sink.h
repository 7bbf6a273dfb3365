// Sends the response to a forwarded request to the instance that forwarded it.
#ifndef CROCUSSPUR_PEER_SINK_H
#define CROCUSSPUR_PEER_SINK_H

#include "response_sink.h"
#include "runtime.h"

#include <string>

namespace crocusspur::internal {

class PeerSink : public ResponseSink {
public:
  PeerSink(PeerSender *Peers, std::string Instance, const RequestId &Id);

  bool begin(const ResponseHead &Head) override;
  bool write(std::string_view Data) override;
  bool end(bool Complete) override;
  int watchedSocket() const override { return -1; }

private:
  bool send(const PeerMessage &Message);

  PeerSender *Peers;
  std::string Instance;
  RequestId Id;
  bool Failed = false;
};

} // namespace crocusspur::internal

#endif
