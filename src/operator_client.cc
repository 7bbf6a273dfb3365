#include "operator_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <cstdlib>

namespace crocusspur::internal {
namespace {

// A state dump waits up to 2 s for the core.
constexpr int TimeoutSeconds = 10;

} // namespace

OperatorReply callOperator(const std::string &Address, const std::string &Token,
                           const std::string &Path, const std::string &Body) {
  using namespace Poco::Net;
  OperatorReply reply;
  try {
    HTTPClientSession session{SocketAddress(Address)};
    session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
    HTTPRequest request(Body.empty() ? HTTPRequest::HTTP_GET
                                     : HTTPRequest::HTTP_POST,
                        Path, HTTPRequest::HTTP_1_1);
    request.set("Authorization", "Bearer " + Token);
    request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    session.sendRequest(request) << Body;
    HTTPResponse response;
    std::istream &in = session.receiveResponse(response);
    Poco::StreamCopier::copyToString(in, reply.Body);
    reply.Status = response.getStatus();
  } catch (const Poco::Exception &error) {
    reply = {0, error.displayText()};
  }
  return reply;
}

std::string operatorToken() {
  const char *token = std::getenv("CROCUSSPUR_OPERATOR_TOKEN");
  return token ? token : "";
}

} // namespace crocusspur::internal
