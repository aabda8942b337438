#pragma once

/**
 * @file
 * The HTTP interface towards operators.
 */

#include "context.hpp"

#include <string>

namespace carobtide {

/**
 * Answers requests on the operators' port. All but /healthz, /readyz and
 * /metrics need an operator's token. Every request is safe to resend.
 *
 * Thread safety: Handle from any worker, concurrently.
 */
class OperatorApi
{
public:
  explicit OperatorApi(DaemonContext& aContext);

  boost::asio::awaitable<void> Handle(HttpExchange& aExchange);

private:
  /** Which bundle version a path names. */
  struct BundlePath
  {
    std::string mName;
    std::uint64_t mVersion = 0;
    std::string mAction;
  };

  boost::asio::awaitable<HttpResponse> Answer(HttpRequest aRequest,
                                              std::string aOperator);
  boost::asio::awaitable<HttpResponse> SubmitBundle(std::string aText,
                                                    std::string aOperator);
  boost::asio::awaitable<HttpResponse> ChangeBundle(HttpRequest aRequest,
                                                    BundlePath aPath,
                                                    std::string aOperator);
  boost::asio::awaitable<HttpResponse> Execute(BundleCommand aCommand,
                                               std::string aName,
                                               std::uint64_t aVersion);
  Result<BundleCommand> MakeChange(const HttpRequest& aRequest,
                                   const BundlePath& aPath,
                                   const std::string& aOperator) const;
  HttpResponse AnswerRead(const HttpRequest& aRequest) const;
  HttpResponse AnswerOpen(std::string_view aPath) const;
  HttpResponse ChangeMembers(const HttpRequest& aRequest);
  /** Name of the operator whose token the request carries; empty if none. */
  std::string FindOperator(const HttpRequest& aRequest) const;
  static Result<BundlePath> ParseBundlePath(std::string_view aPath);

  DaemonContext& mContext;
};

} // namespace carobtide
