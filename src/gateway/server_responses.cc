#include "gateway/server_responses.h"

namespace crocusspur::gateway {

void reportResponses(ConnectionPool &Connections, ServiceDirectory &Directory) {
  Connections.setReplacedCheck([&Directory](const ServerChoice &Server) {
    return Directory.isReplaced(Server);
  });
  Connections.setResponseListener([&Connections,
                                   &Directory](const ServerChoice &Server,
                                               const ResponseInfo &Info) {
    if (Info.Load && Info.Load->Slowdown)
      Directory.onReportedSlowdown(processOf(Server), *Info.Load->Slowdown);
    if (Info.RetryAfter)
      Directory.onServerResting(processOf(Server), *Info.RetryAfter);
    if (Info.Misdirected)
      Directory.onMisdirected(processOf(Server));
    if (Info.ServerLeaving &&
        Directory.onServerLeaving({processOf(Server)}, LeavingOrigin::Response))
      Connections.drop(Server.Address);
  });
}

} // namespace crocusspur::gateway
