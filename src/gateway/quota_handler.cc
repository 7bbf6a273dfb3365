// Part of RequestHandler that takes a request's tokens from the quota of its
// client account, and gives them back if the request isn't run.
#include "gateway/request_handler.h"

namespace crocusspur::gateway {
namespace {

using internal::log;
using internal::LogLevel;

} // namespace

bool RequestHandler::admitByQuota() {
  // The first instance has counted a request that was passed on.
  if (Origin || Request.Account.empty())
    return true;
  const ClientAccount *account = Document->Accounts.find(Request.Account);
  if (!account || account->Quota.TokensPerSecond <= 0)
    return true;
  QuotaTokens = quotaTokens(account->Quota, Request.Generation);
  Quota = Context.Quotas.admit(*account, QuotaTokens);
  if (Quota.Admitted)
    return true;
  internal::LogFields all = fields();
  all.emplace_back("tokens", std::to_string(QuotaTokens));
  all.emplace_back("rate_per_s",
                   std::to_string(account->Quota.TokensPerSecond));
  all.emplace_back("tokens_left", std::to_string(Quota.TokensLeft));
  all.emplace_back("home", Quota.Home);
  all.emplace_back("basis", nameOf(Quota.Source));
  all.emplace_back("heard_ms", Quota.HomeHeardAgo
                                   ? std::to_string(Quota.HomeHeardAgo->count())
                                   : "");
  all.emplace_back("retry_after_ms", std::to_string(Quota.RetryAfter.count()));
  log(LogLevel::Info, "request", "account over its quota", all);
  refuse(ErrorKind::QuotaExceeded, "the client account is over its quota",
         Quota.RetryAfter);
  return false;
}

void RequestHandler::refundQuota() {
  if (!Quota.Admitted)
    return;
  Context.Quotas.giveBack(Request.Account, QuotaTokens, Quota);
  Quota.Admitted = false;
}

} // namespace crocusspur::gateway
