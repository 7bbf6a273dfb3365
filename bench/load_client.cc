#include "load_client.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crocusspur::bench {
namespace {

using Clock = std::chrono::steady_clock;

std::string jsonStringField(std::string_view Text, const std::string &Name) {
  std::string key = "\"" + Name + "\":\"";
  size_t at = Text.find(key);
  if (at == std::string_view::npos)
    return "";
  at += key.size();
  return std::string(Text.substr(at, Text.find('"', at) - at));
}

// One request and the part of its response received so far.
struct Exchange {
  size_t Index = 0;
  int Fd = -1;
  std::string Out;
  std::string In;
  bool Done = false; // [DONE] was seen

  ~Exchange() {
    if (Fd >= 0)
      ::close(Fd);
  }
};

sockaddr_in socketAddress(const std::string &Address) {
  size_t colon = Address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<uint16_t>(std::stoul(Address.substr(colon + 1))));
  inet_pton(AF_INET, Address.substr(0, colon).c_str(), &to.sin_addr);
  return to;
}

class Replayer {
public:
  Replayer(const std::vector<PlannedRequest> &Trace, ReplayOptions Options)
      : Trace(Trace), Options(std::move(Options)), Epoll(epoll_create1(0)) {
    for (const auto &it : this->Options.Addresses)
      Targets.push_back(socketAddress(it));
    std::stable_sort(this->Options.Steps.begin(), this->Options.Steps.end(),
                     [](const auto &A, const auto &B) { return A.At < B.At; });
  }
  ~Replayer() { ::close(Epoll); }

  ReplayResult run() {
    Report.Results.resize(Trace.size());
    Report.StartedMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
    StartTime = Clock::now();
    Microseconds end = Options.DrainTime;
    if (!Trace.empty())
      end += Trace.back().At;
    while (now() < end && !finished()) {
      startDue();
      poll();
    }
    if (Options.BeforeCutoff)
      Options.BeforeCutoff();
    Open.clear();
    return std::move(Report);
  }

private:
  Microseconds now() const {
    return std::chrono::duration_cast<Microseconds>(Clock::now() - StartTime);
  }

  bool finished() const {
    return NextRequest == Trace.size() && Open.empty() &&
           NextStep == Options.Steps.size();
  }

  void startDue() {
    while (NextStep < Options.Steps.size() &&
           Options.Steps[NextStep].At <= now())
      Options.Steps[NextStep++].Run();
    while (NextRequest < Trace.size() && Trace[NextRequest].At <= now())
      start(NextRequest++);
  }

  void start(size_t Index) {
    const PlannedRequest &plan = Trace[Index];
    RequestResult &result = Report.Results[Index];
    result.Group = plan.Group;
    result.At = plan.At;
    Report.MaxStartDelay = std::max(Report.MaxStartDelay, now() - plan.At);
    auto exchange = std::make_unique<Exchange>();
    exchange->Index = Index;
    exchange->Fd = connectNext();
    if (exchange->Fd < 0) {
      result.Ended = true;
      return;
    }
    exchange->Out = requestText(plan);
    // A loopback socket accepts a whole request in one call.
    ssize_t sent = ::send(exchange->Fd, exchange->Out.data(),
                          exchange->Out.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(exchange->Out.size())) {
      result.Ended = true;
      return;
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = exchange->Fd;
    epoll_ctl(Epoll, EPOLL_CTL_ADD, exchange->Fd, &event);
    Open[exchange->Fd] = std::move(exchange);
  }

  // A blocking socket is sufficient, as connecting over loopback doesn't wait.
  int connectNext() {
    for (size_t i = 0; i < Targets.size(); ++i) {
      size_t at = NextTarget++ % Targets.size();
      int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (::connect(fd, reinterpret_cast<const sockaddr *>(&Targets[at]),
                    sizeof Targets[at]) == 0) {
        int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return fd;
      }
      ::close(fd);
    }
    return -1;
  }

  std::string requestText(const PlannedRequest &Plan) const {
    std::string body =
        R"({"model":"summary","stream":true,"prompt":")" + Plan.Prompt +
        "\",\"prompt_tokens\":" + std::to_string(Plan.PromptTokens) +
        ",\"max_tokens\":" + std::to_string(Plan.MaxTokens) + "}";
    return "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
           "Connection: close\r\nContent-Type: application/json\r\n"
           "Authorization: Bearer " +
           Options.Tokens.at(Plan.Group) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  void poll() {
    epoll_event events[256];
    int n = epoll_wait(Epoll, events, 256, 1);
    for (int i = 0; i < n; ++i)
      receive(events[i].data.fd);
  }

  void receive(int Fd) {
    auto it = Open.find(Fd);
    if (it == Open.end())
      return;
    char buffer[65536];
    ssize_t n = ::recv(Fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (n > 0) {
      it->second->In.append(buffer, static_cast<size_t>(n));
      readLines(*it->second);
      return;
    }
    finish(*it->second);
    Open.erase(it);
  }

  void readLines(Exchange &Item) {
    size_t from = 0;
    for (size_t end; (end = Item.In.find('\n', from)) != std::string::npos;
         from = end + 1)
      readLine(Item, std::string_view(Item.In).substr(from, end - from));
    Item.In.erase(0, from);
  }

  void readLine(Exchange &Item, std::string_view Line) {
    RequestResult &result = Report.Results[Item.Index];
    if (result.Status == 0 && Line.rfind("HTTP/1.1 ", 0) == 0) {
      result.Status = std::stoi(std::string(Line.substr(9, 3)));
      return;
    }
    if (Line.find("\"kind\":\"") != std::string_view::npos) {
      result.Kind = jsonStringField(Line, "kind");
      result.Execution = jsonStringField(Line, "run");
      return;
    }
    if (Line.rfind("data: ", 0) != 0)
      return;
    if (Line.rfind("data: [DONE]", 0) == 0) {
      Item.Done = true;
    } else if (Line.find("\"finish_reason\":null") != std::string_view::npos) {
      result.Last = now();
      if (result.Tokens++ == 0)
        result.First = result.Last;
    }
  }

  void finish(Exchange &Item) {
    readLine(Item, Item.In); // a problem document doesn't end in a newline
    RequestResult &result = Report.Results[Item.Index];
    result.Ended = true;
    result.Complete =
        Item.Done && result.Tokens == Trace[Item.Index].OutputTokens;
  }

  const std::vector<PlannedRequest> &Trace;
  ReplayOptions Options;
  int Epoll;
  std::vector<sockaddr_in> Targets;
  Clock::time_point StartTime;
  std::map<int, std::unique_ptr<Exchange>> Open;
  ReplayResult Report;
  size_t NextRequest = 0;
  size_t NextStep = 0;
  size_t NextTarget = 0;
};

} // namespace

ReplayResult replay(const std::vector<PlannedRequest> &Trace,
                    ReplayOptions Options) {
  return Replayer(Trace, std::move(Options)).run();
}

} // namespace crocusspur::bench
