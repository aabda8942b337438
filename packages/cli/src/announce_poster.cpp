#include "carobtide/cli/announce_poster.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace carobtide {

namespace {

constexpr Duration kPostTimeout = std::chrono::seconds(2);
constexpr Bytes kMaxReply = 64 * kKiB;
constexpr std::uint32_t kMaxInFlight = 4;

} // namespace

AnnouncePoster::AnnouncePoster(boost::asio::any_io_executor aExecutor,
                               std::vector<Endpoint> aDaemons)
  : mExecutor(std::move(aExecutor))
  , mDaemons(std::move(aDaemons))
{
}

void AnnouncePoster::Post(const std::string& aPath, const std::string& aBody)
{
  for (const Endpoint& daemon : mDaemons) {
    if (mInFlight[daemon] >= kMaxInFlight) {
      continue;
    }
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = aPath;
    request.mHeaders.Add("Content-Type", "application/json");
    request.mBody = aBody;
    boost::asio::co_spawn(mExecutor, PostOne(daemon, std::move(request)),
                          boost::asio::detached);
  }
}

boost::asio::awaitable<void> AnnouncePoster::PostOne(Endpoint aDaemon,
                                                     HttpRequest aRequest)
{
  ++mInFlight[aDaemon];
  auto connection = co_await mPool.Acquire(aDaemon, kPostTimeout);
  if (connection) {
    HttpConnection& open = **connection;
    const auto head = co_await open.Send(aRequest, kPostTimeout);
    if (head) {
      const auto body = co_await open.ReadAll(kMaxReply, kPostTimeout);
      if (body) {
        mPool.Release(aDaemon, std::move(*connection));
      }
    }
  }
  --mInFlight[aDaemon];
}

} // namespace carobtide
