#include "http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <istream>

namespace crocusspur::test {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPResponse;

std::istream &exchange(HTTPClientSession &Session, const HttpRequest &Request,
                       HTTPResponse &Response) {
  Session.setTimeout(Poco::Timespan(Request.Timeout.count() * 1000));
  Poco::Net::HTTPRequest request(Request.Method, Request.Path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto &it : Request.Headers)
    request.set(it.first, it.second);
  if (!Request.Body.empty() || Request.Method == "POST")
    request.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
  Session.sendRequest(request) << Request.Body;
  return Session.receiveResponse(Response);
}

} // namespace

HttpResponse send(const HttpRequest &Request) {
  HttpResponse result;
  try {
    HTTPClientSession session{Poco::Net::SocketAddress(Request.Address)};
    HTTPResponse response;
    std::istream &body = exchange(session, Request, response);
    Poco::StreamCopier::copyToString(body, result.Body);
    for (const auto &it : response)
      result.Headers[Poco::toLower(it.first)] = it.second;
    result.Status = response.getStatus();
  } catch (const Poco::Exception &error) {
    result.Status = 0;
    result.Body = error.displayText();
  }
  return result;
}

struct EventStream::State {
  HTTPClientSession Session;
  HTTPResponse Response;
  std::istream *Input = nullptr;
};

EventStream::EventStream(const HttpRequest &Request)
    : Impl(std::make_unique<State>()) {
  try {
    Poco::Net::SocketAddress address(Request.Address);
    Impl->Session.setHost(address.host().toString());
    Impl->Session.setPort(address.port());
    Impl->Input = &exchange(Impl->Session, Request, Impl->Response);
  } catch (const Poco::Exception &) {
    Impl->Input = nullptr;
  }
}

EventStream::~EventStream() = default;

int EventStream::status() const {
  return Impl->Input ? Impl->Response.getStatus() : 0;
}

std::string EventStream::body() {
  std::string text;
  try {
    if (Impl->Input)
      Poco::StreamCopier::copyToString(*Impl->Input, text);
  } catch (const Poco::Exception &error) {
    text += error.displayText();
  }
  return text;
}

bool EventStream::next(StreamEvent &Event) {
  Event = {};
  try {
    std::string line;
    while (Impl->Input && std::getline(*Impl->Input, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (line.rfind("event: ", 0) == 0)
        Event.Name = line.substr(7);
      else if (line.rfind("data: ", 0) == 0)
        Event.Data = line.substr(6);
      else if (line.empty() && !Event.Data.empty())
        return true;
    }
  } catch (const Poco::Exception &) {
    // A broken connection ends the stream.
  }
  return false;
}

void EventStream::close() {
  Impl->Input = nullptr;
  Impl->Session.reset();
}

} // namespace crocusspur::test
