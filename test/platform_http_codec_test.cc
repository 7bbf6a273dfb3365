#include "platform/http_codec.h"

#include <algorithm>
#include <cstdio>
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

ForwardOptions options() {
  ForwardOptions options;
  options.ServerId = "i-1";
  options.TimeLeft = Milliseconds(950);
  return options;
}

} // namespace

TEST_CASE("HttpCodec forwards the caller's fields and body to the server") {
  HttpCodec codec = platform::makeHttpCodec();
  CallerRequest request =
      codec.ParseRequestHead(requestHead({{"Host", "a.example"},
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
  std::string text = codec.FormatRequest(request, options());
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

// A caller that sets fields reserved for the router could use another request's
// KV cache.
TEST_CASE("HttpCodec drops fields reserved for the router from requests") {
  HttpCodec codec = platform::makeHttpCodec();
  HeaderFields fields;
  for (const char *name :
       {"Kv-Source", "kv-source", "Retention", "Pin-Ms", "Kv-Backup",
        "Inference-Phase", "Target-Instance", "Request-Priority", "Kv-Fetch"})
    fields.emplace_back(name, "x");
  CallerRequest request = codec.ParseRequestHead(requestHead(fields));
  CHECK(request.Forwarded.empty());
}

// Guards against a key or an account's name of the caller's own that reaches a
// server in another spelling or a second field.
TEST_CASE("HttpCodec takes keys and account names out of all fields") {
  HttpCodec codec = platform::makeHttpCodec();
  auto take = [&](HeaderFields Fields) {
    Fields.insert(Fields.begin(), {"X-First", "1"});
    Fields.emplace_back("X-Last", "2");
    CallerRequest request = codec.ParseRequestHead(requestHead(Fields));
    KeyPresence presence = codec.TakeKey(request);
    CHECK(request.Forwarded == HeaderFields{{"X-First", "1"}, {"X-Last", "2"}});
    CHECK((presence == KeyPresence::Present) == !request.Key.empty());
    return std::pair(presence, request.Key);
  };
  const std::pair present{KeyPresence::Present, std::string("k-1")};
  const std::pair malformed{KeyPresence::Malformed, std::string()};
  const std::pair missing{KeyPresence::Missing, std::string()};
  CHECK(take({{"Authorization", "Bearer k-1"}}) == present);
  CHECK(take({{"aUTHORIZATION", "bEARER   k-1"}, {"TENANT", "other"}}) ==
        present);
  CHECK(take({{"Tenant", "a"},
              {"authorization", "Bearer k-1"},
              {"tenant", ""}}) == present);
  CHECK(take({{"Authorization", "Bearer k-1"},
              {"AUTHORIZATION", "Bearer k-1"}}) == present);
  CHECK(take({{"Authorization", "Bearer k-1"},
              {"authorization", "Bearer k-2"}}) == malformed);
  CHECK(take({{"Authorization", "Bearer k-1"},
              {"authorization", "x"},
              {"authorization", "Bearer k-1"}}) == malformed);
  for (const char *text : {"k-1", "Bearer", "Bearer ", "Basic k-1", "",
                           "Bearerk-1", "Bearer\tk-1"})
    CHECK_MESSAGE(take({{"Authorization", text}}) == malformed, text);
  CHECK(take({{"Tenant", "a"}, {"tEnAnT", "b"}}) == missing);
  CHECK(take({}) == missing);
}

// Guards against changed bytes towards servers of deployments that know no
// accounts.
TEST_CASE("HttpCodec passes credentials on unless they are taken") {
  HttpCodec codec = platform::makeHttpCodec();
  CallerRequest request = codec.ParseRequestHead(
      requestHead({{"Authorization", "Bearer k-1"}, {"Tenant", "a"}}));
  std::string before = codec.FormatRequest(request, options());
  CHECK(has(before, "Authorization: Bearer k-1"));
  CHECK(has(before, "Tenant: a"));
  codec.TakeKey(request);
  request.Account = "stores";
  std::string after = codec.FormatRequest(request, options());
  CHECK(has(after, "Tenant: stores"));
  CHECK(after.find("k-1") == std::string::npos);
  CHECK_FALSE(has(after, "Tenant: a"));
}

TEST_CASE("HttpCodec doesn't forward hop-by-hop fields") {
  HttpCodec codec = platform::makeHttpCodec();
  CallerRequest request =
      codec.ParseRequestHead(requestHead({{"Connection", "keep-alive"},
                                          {"Transfer-Encoding", "chunked"},
                                          {"Content-Length", "5"}}));
  CHECK(request.Forwarded.empty());
}

TEST_CASE("HttpCodec formats the stages of a generation as header fields") {
  HttpCodec codec = platform::makeHttpCodec();
  CallerRequest request = codec.ParseRequestHead(requestHead({}));
  ForwardOptions prefill = options();
  prefill.PrefillOnly = true;
  CHECK(has(codec.FormatRequest(request, prefill), "Inference-Phase: prefill"));
  ForwardOptions decode = options();
  decode.KvSource = codec.FormatKvSource("10.0.0.8:80", "3fa0");
  decode.Reservation = "r7";
  decode.ContinueAfter = "12";
  std::string text = codec.FormatRequest(request, decode);
  CHECK(has(text, "Kv-Source: 10.0.0.8:80/3fa0"));
  CHECK(has(text, "Retention: r7"));
  CHECK(has(text, "Last-Event-Id: 12"));
  CHECK(text.find("Request-Priority") == std::string::npos);
}

// Guards against servers that preempt an urgent request since they don't learn
// its rank, and against a rank that the caller sets itself.
TEST_CASE("HttpCodec sends the rank that the gateway states") {
  HttpCodec codec = platform::makeHttpCodec();
  CallerRequest request =
      codec.ParseRequestHead(requestHead({{"request-priority", "0"}}));
  ForwardOptions order = options();
  order.Priority = 2;
  std::string text = codec.FormatRequest(request, order);
  CHECK(has(text, "Request-Priority: 2"));
  CHECK(text.find("request-priority") == std::string::npos);
}

TEST_CASE("HttpCodec parses the head of a response") {
  HttpCodec codec = platform::makeHttpCodec();
  HttpHead head;
  head.Status = 200;
  head.Fields = {{"Server-Signature", "3e1b"}, {"Attempt-Id", "9c41"},
                 {"Server-Load", "3,1,8"},     {"Keep-Alive", "timeout=5"},
                 {"Connection", "keep-alive"}, {"Content-Length", "3"}};
  ResponseInfo info = codec.ParseResponseHead(head);
  CHECK(info.Signed);
  CHECK_FALSE(info.NotExecuted);
  CHECK(info.RequestId == "9c41");
  REQUIRE(info.Load.has_value());
  CHECK(info.Load->Waiting == 1);
  CHECK(info.KeepAliveTimeout == Milliseconds(5000));
  CHECK(info.Returned.size() == 3);
}

// Servers that state a fourth figure lost their whole load report, so that
// instances chose among them by their own calls only.
TEST_CASE("HttpCodec parses load reports of three and more figures") {
  HttpCodec codec = platform::makeHttpCodec();
  auto parse = [&](const std::string &Value) {
    HttpHead head;
    head.Status = 200;
    head.Fields = {{"Server-Load", Value}};
    return codec.ParseResponseHead(head).Load;
  };
  for (const char *it : {"3,1,8", "3,1,8,x", "3,1,8,", "3,1,8,0", "3,1,8,-5",
                         "3,1,8,nan", "3,1,8,1e9", "3,1,8,99999999"}) {
    CAPTURE(it);
    REQUIRE(parse(it).has_value());
    CHECK(parse(it)->Slots == 8);
    CHECK_FALSE(parse(it)->Slowdown.has_value());
  }
  for (const char *it : {"3,1,8,250", " 3, 1, 8, 250 ", "3,1,8,250.0,7,x"}) {
    CAPTURE(it);
    REQUIRE(parse(it).has_value());
    CHECK(parse(it)->Running == 3);
    CHECK(parse(it)->Waiting == 1);
    CHECK(parse(it)->Slowdown == 2.5);
  }
  for (const char *it : {"", ",", ",,,", "3,1", "x,1,8,250", "3,,8,250",
                         "3,1,-8", "3,1,8x", "99999999999,1,8"}) {
    CAPTURE(it);
    CHECK_FALSE(parse(it).has_value());
  }
}

TEST_CASE("HttpCodec parses a request limit") {
  HttpCodec codec = platform::makeHttpCodec();
  auto parse = [&](const std::vector<std::string> &Values) {
    HttpHead head;
    head.Status = 200;
    for (const std::string &it : Values)
      head.Fields.emplace_back("server-LIMIT", it);
    return codec.ParseResponseHead(head).Limit;
  };
  CHECK(parse({"2.1"}).PerSecond == 2.1);
  CHECK(parse({"0"}).PerSecond == 0);
  CHECK(parse({"30"}).PerSecond == 30);
  CHECK_FALSE(parse({}).PerSecond.has_value());
  CHECK_FALSE(parse({}).Malformed);
  CHECK(parse({"3", "2.5", "3"}).PerSecond == 2.5);
  CHECK(parse({"x", "2.5"}).PerSecond == 2.5);
  CHECK(parse({"x", "2.5"}).Malformed);
}

TEST_CASE("HttpCodec ignores a request limit that isn't a decimal number") {
  HttpCodec codec = platform::makeHttpCodec();
  for (const std::string &text :
       {std::string(), std::string("-1"), std::string("+1"), std::string("1e3"),
        std::string("inf"), std::string("nan"), std::string("1.2.3"),
        std::string("."), std::string("2,5"), std::string("2 per second"),
        std::string(400, '9')}) {
    CAPTURE(text);
    HttpHead head;
    head.Status = 200;
    head.Fields = {{"Server-Limit", text}};
    StatedLimit limit = codec.ParseResponseHead(head).Limit;
    CHECK_FALSE(limit.PerSecond.has_value());
    CHECK(limit.Malformed);
  }
}

TEST_CASE("Only stated refusals and status 421 count as not executed") {
  HttpCodec codec = platform::makeHttpCodec();
  HttpHead head;
  head.Status = 503;
  CHECK_FALSE(codec.ParseResponseHead(head).NotExecuted);
  head.Fields = {{"Not-Executed", "1"}};
  CHECK(codec.ParseResponseHead(head).NotExecuted);
  HttpHead misdirected;
  misdirected.Status = 421;
  CHECK(codec.ParseResponseHead(misdirected).NotExecuted);
}

TEST_CASE("HttpCodec parses or rejects prefill and reservation responses") {
  HttpCodec codec = platform::makeHttpCodec();
  auto prefill = codec.ParsePrefill(
      R"({"kv-handle":"3fa09c41b7d5","token-count":1460,"version":1})");
  REQUIRE(prefill.has_value());
  CHECK(prefill->Handle == "3fa09c41b7d5");
  CHECK_FALSE(codec.ParsePrefill("{\"kv-handle\":7}").has_value());
  CHECK_FALSE(codec.ParsePrefill("not json").has_value());
  CHECK(codec.ParseReservation("{\"retention\":\"r1\"}") == "r1");
  CHECK_FALSE(codec.ParseReservation("{}").has_value());
}

// A handle with line ends ended the head of the next request, so that it ran
// without its body, or added a field.
TEST_CASE("HttpCodec accepts no name from a server that a head can't hold") {
  HttpCodec codec = platform::makeHttpCodec();
  for (int c = 0; c < 256; ++c) {
    std::string name = std::string("r1") + static_cast<char>(c) + "2";
    std::string escaped(1, static_cast<char>(c));
    if (c < ' ' || c == '"' || c == '\\') {
      char text[8];
      std::snprintf(text, sizeof text, "\\u%04x", c);
      escaped = text;
    }
    bool fits = c > ' ' && c < 127 && c != '/' && c != '?' && c != '#';
    CAPTURE(c);
    CHECK(codec.ParsePrefill("{\"kv-handle\":\"r1" + escaped + "2\"}")
              .has_value() == fits);
    CHECK(codec.ParseReservation("{\"retention\":\"r1" + escaped + "2\"}")
              .has_value() == fits);
  }
}

TEST_CASE("No value of any bytes adds a line to the head of a request") {
  HttpCodec codec = platform::makeHttpCodec();
  std::string any;
  for (int c = 0; c < 256; ++c)
    any += static_cast<char>(c);
  any += "\r\nX-Evil: 1\r\n\r\nGET / HTTP/1.1\r\n";
  auto lines = [](const std::string &Text) {
    return std::count(Text.begin(), Text.end(), '\n');
  };
  auto request = [&](const std::string &Value) {
    CallerRequest request = codec.ParseRequestHead(
        requestHead({{"Host", "a.example"}, {"X-Other", Value}}));
    request.Account = Value;
    ForwardOptions all = options();
    all.ServerId = all.KvSource = all.Reservation = all.ContinueAfter = Value;
    return codec.FormatRequest(request, all);
  };
  std::string text = request(any);
  CHECK(lines(text) == lines(request("x")));
  CHECK(text.find("\nX-Evil") == text.npos);
  CHECK(text.find('\0') == text.npos);
  ServerChoice server;
  server.Id = any;
  server.Address = "127.0.0.1:1";
  ServerChoice plain = server;
  plain.Id = "i-1";
  CHECK(lines(codec.FormatReport(server)) == lines(codec.FormatReport(plain)));
}

TEST_CASE("HttpCodec takes the id of an event from its id line") {
  HttpCodec codec = platform::makeHttpCodec();
  CHECK(codec.Event.Id("id: 12\ndata: x\n\n") == "12");
  CHECK(codec.Event.Id("data: id: 3\nid:4\r\n\r\n") == "4");
  CHECK(codec.Event.Id("id: 5\rdata: x\r\r") == "5");
  CHECK(codec.Event.Id("data: x\n\n").empty());
}

TEST_CASE("HttpCodec reads which weights write a response and its events") {
  HttpCodec codec = platform::makeHttpCodec();
  HttpHead head;
  head.Status = 200;
  CHECK_FALSE(codec.ParseResponseHead(head).Weights);
  head.Fields = {{"Weight-Versions", "12"}};
  CHECK(codec.ParseResponseHead(head).Weights == WeightVersion(12));
  head.Fields = {{"Weight-Versions", "1,2"}};
  CHECK_FALSE(codec.ParseResponseHead(head).Weights);
  CHECK(codec.Event.Weights("weight-versions: 3\nid: 5\n\n") ==
        WeightVersion(3));
  CHECK(codec.Event.Weights("weight-versions:4\r\nid: 5\r\n\r\n") ==
        WeightVersion(4));
  for (const char *it :
       {"id: 5\nweight-versions: 3\n\n", "weight-versions\n\n",
        "weight-versions: x\n\n", "weight-versions-of: 3\n\n", ""})
    CHECK_FALSE_MESSAGE(codec.Event.Weights(it), it);
  CHECK(codec.ParsePrefill(R"({"kv-handle":"h","token-count":9,"version":2})")
            ->Weights == WeightVersion(2));
  ForwardOptions order;
  CHECK(codec.FormatRequest({}, order).find("Expected-Version") ==
        std::string::npos);
  order.ExpectedWeights = 7;
  CHECK(codec.FormatRequest({}, order).find("\r\nExpected-Version: 7\r\n") !=
        std::string::npos);
}

TEST_CASE("HttpCodec takes a server for leaving only if it says so") {
  HttpCodec codec = platform::makeHttpCodec();
  for (const char *text : {"1", "0", "", "yes"}) {
    CAPTURE(text);
    HttpHead head;
    head.Status = 200;
    head.Fields = {{"Server-Leaving", text}};
    CHECK(codec.ParseResponseHead(head).ServerLeaving ==
          (std::string(text) == "1"));
  }
  CHECK_FALSE(codec.ParseResponseHead(HttpHead()).ServerLeaving);
}
