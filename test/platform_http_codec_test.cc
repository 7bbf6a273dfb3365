#include "platform/http_codec.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::internal::HttpHead;

namespace {

HttpHead requestHead(HeaderFields Fields) {
  HttpHead head;
  head.Method = "POST";
  head.Target = "/a/b?c=d";
  head.Fields = std::move(Fields);
  return head;
}

bool has(const std::string &Text, const std::string &Line) {
  return Text.find("\r\n" + Line + "\r\n") != std::string::npos;
}

ForwardOptions order() {
  ForwardOptions order;
  order.ServerId = "i-1";
  order.TimeLeft = Milliseconds(950);
  return order;
}

} // namespace

TEST_CASE("A request reaches the server with the caller's own bytes") {
  HttpCodec wire = platform::makeHttpCodec();
  CallerRequest request =
      wire.ParseRequestHead(requestHead({{"Host", "a.example"},
                                         {"Attempt-Id", "9c41"},
                                         {"Token-Usage", "1460,80"},
                                         {"Length-Hint", "55"},
                                         {"Prefix-Hash", "5c:800,91:660"},
                                         {"Deadline-Ms", "14000"},
                                         {"X-Other", "kept"}}));
  request.Body = "hello";
  CHECK(request.Id == "9c41");
  CHECK(request.TimeLeft == Milliseconds(14000));
  REQUIRE(request.Generation.has_value());
  CHECK(request.Generation->PromptTokens == 1460);
  CHECK(request.Generation->MaxOutputTokens == 80);
  CHECK(request.Generation->ExpectedOutputTokens == 55);
  std::string text = wire.FormatRequest(request, order());
  CHECK(text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
  CHECK(has(text, "Host: a.example"));
  CHECK(has(text, "Attempt-Id: 9c41"));
  CHECK(has(text, "Prefix-Hash: 5c:800,91:660"));
  CHECK(has(text, "Length-Hint: 55"));
  CHECK(has(text, "X-Other: kept"));
  CHECK(has(text, "Deadline-Ms: 950"));
  CHECK_FALSE(has(text, "Deadline-Ms: 14000"));
  CHECK(has(text, "Target-Instance: i-1"));
  CHECK(text.ends_with("\r\n\r\nhello"));
}

// A caller that sets what only the router may set could use another request's
// memory.
TEST_CASE("Fields that only the router sets are dropped from callers") {
  HttpCodec wire = platform::makeHttpCodec();
  HeaderFields fields;
  for (const char *name :
       {"Kv-Source", "kv-source", "Retention", "Pin-Ms", "Kv-Backup",
        "Inference-Phase", "Target-Instance", "Request-Priority", "Kv-Fetch"})
    fields.emplace_back(name, "x");
  CallerRequest request = wire.ParseRequestHead(requestHead(fields));
  CHECK(request.Forwarded.empty());
}

TEST_CASE("Fields of one connection are not forwarded") {
  HttpCodec wire = platform::makeHttpCodec();
  CallerRequest request =
      wire.ParseRequestHead(requestHead({{"Connection", "keep-alive"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"Content-Length", "5"}}));
  CHECK(request.Forwarded.empty());
}

TEST_CASE("Stages of a generation are told by header fields") {
  HttpCodec wire = platform::makeHttpCodec();
  CallerRequest request = wire.ParseRequestHead(requestHead({}));
  ForwardOptions prefill = order();
  prefill.PrefillOnly = true;
  CHECK(has(wire.FormatRequest(request, prefill), "Inference-Phase: prefill"));
  ForwardOptions decode = order();
  decode.KvSource = wire.FormatKvSource("10.0.0.8:80", "3fa0");
  decode.Reservation = "r7";
  decode.ContinueAfter = "12";
  std::string text = wire.FormatRequest(request, decode);
  CHECK(has(text, "Kv-Source: 10.0.0.8:80/3fa0"));
  CHECK(has(text, "Retention: r7"));
  CHECK(has(text, "Last-Event-Id: 12"));
}

TEST_CASE("The head of an answer says what it is worth") {
  HttpCodec wire = platform::makeHttpCodec();
  HttpHead head;
  head.Status = 200;
  head.Fields = {{"Server-Signature", "3e1b"}, {"Attempt-Id", "9c41"},
                 {"Server-Load", "3,1,8"},     {"Keep-Alive", "timeout=5"},
                 {"Connection", "keep-alive"}, {"Content-Length", "3"}};
  ResponseInfo info = wire.ParseResponseHead(head);
  CHECK(info.Signed);
  CHECK_FALSE(info.NotExecuted);
  CHECK(info.RequestId == "9c41");
  REQUIRE(info.Load.has_value());
  CHECK(info.Load->Waiting == 1);
  CHECK(info.KeepAliveTimeout == Milliseconds(5000));
  CHECK(info.Returned.size() == 3);
}

TEST_CASE("Only stated refusals and a wrong server count as not run") {
  HttpCodec wire = platform::makeHttpCodec();
  HttpHead head;
  head.Status = 503;
  CHECK_FALSE(wire.ParseResponseHead(head).NotExecuted);
  head.Fields = {{"Not-Executed", "1"}};
  CHECK(wire.ParseResponseHead(head).NotExecuted);
  HttpHead misdirected;
  misdirected.Status = 421;
  CHECK(wire.ParseResponseHead(misdirected).NotExecuted);
}

TEST_CASE("Answers of prefills and reservations are read or refused") {
  HttpCodec wire = platform::makeHttpCodec();
  auto prefill = wire.ParsePrefill(
      R"({"kv-handle":"3fa09c41b7d5","token-count":1460,"version":1})");
  REQUIRE(prefill.has_value());
  CHECK(prefill->Handle == "3fa09c41b7d5");
  CHECK_FALSE(wire.ParsePrefill("{\"kv-handle\":7}").has_value());
  CHECK_FALSE(wire.ParsePrefill("not json").has_value());
  CHECK(wire.ParseReservation("{\"retention\":\"r1\"}") == "r1");
  CHECK_FALSE(wire.ParseReservation("{}").has_value());
}

TEST_CASE("The id of an event is its id line") {
  HttpCodec wire = platform::makeHttpCodec();
  CHECK(wire.EventId("id: 12\ndata: x\n\n") == "12");
  CHECK(wire.EventId("data: id: 3\nid:4\r\n\r\n") == "4");
  CHECK(wire.EventId("data: x\n\n").empty());
}
