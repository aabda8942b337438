#include "answer_end.hpp"

#include <algorithm>

namespace carobtide {

using boost::asio::awaitable;

namespace {

/** Covers one lost packet; targets that live accept within milliseconds. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);

} // namespace

awaitable<Result<Unit>> ConfirmEnd(const HttpConnection& aConnection,
                                   Endpoint aTarget, Duration aTimeout)
{
  if (aConnection.Framing() != BodyFraming::Connection) {
    co_return Success();
  }
  const std::string peer = aTarget.ToString();
  auto probing = ProbeAddress(aTarget, std::min(aTimeout, kProbeTimeout));
  const ProbeResult result = co_await std::move(probing);
  if (result == ProbeResult::Accepted) {
    co_return Success();
  }
  co_return MakeError(ErrorCode::ConnectionLost, "answer.confirm-end", peer,
                      kProbeResults.Name(result));
}

} // namespace carobtide
