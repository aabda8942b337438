#include "carobtide/cli/engine_target.hpp"

#include "carobtide/cli/clock.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;

EngineTarget::Running::Running(const asio::any_io_executor& aExecutor)
  : mWake(aExecutor, asio::steady_timer::time_point::max())
{
}

EngineTarget::EngineTarget(asio::any_io_executor aExecutor,
                           EngineTargetOptions aOptions, WeightStore& aStore)
  : mExecutor(std::move(aExecutor))
  , mOptions(std::move(aOptions))
  , mStore(aStore)
  , mPoster(mExecutor, mOptions.mDaemons)
  , mRandom(mOptions.mCore.mSeed)
  , mPumpTimer(mExecutor)
  , mAnnounceTimer(mExecutor)
  , mRestartTimer(mExecutor)
{
}

Result<Unit> EngineTarget::Start()
{
  auto bound = Listen(mOptions.mListen);
  if (!bound) {
    return bound;
  }
  Announce();
  ArmAnnounceTimer();
  return Success();
}

void EngineTarget::Leave()
{
  mLeaving = true;
  Announce();
}

void EngineTarget::StopAccepting()
{
  if (mServer) {
    mServer->StopAccepting();
  }
}

std::size_t EngineTarget::OpenExchanges() const
{
  return mExchanges.size();
}

Result<Unit> EngineTarget::Listen(const Endpoint& aAddress)
{
  const Incarnation incarnation(static_cast<std::uint64_t>(WallMicros()));
  mCore =
    std::make_unique<EngineCore>(mOptions.mCore, incarnation, SteadyNow());
  mServer = std::make_unique<HttpServer>(
    mExecutor, HttpLimits{},
    [this](HttpExchange& aExchange) { return Handle(aExchange); });
  auto bound = mServer->Listen(aAddress);
  if (bound) {
    mAddress = mServer->Address();
  }
  return bound;
}

void EngineTarget::Pump()
{
  auto changes = mCore->Advance(SteadyNow());
  for (const SequenceProgress& progress : changes.mProgress) {
    const auto it = mRunning.find(progress.mId);
    if (it != mRunning.end()) {
      it->second->mTokens = progress.mTokens;
      it->second->mFinished = progress.mFinished;
      it->second->mWake.cancel();
    }
  }
  if (changes.mResidentsChanged) {
    Announce();
  }
  ArmPumpTimer();
}

void EngineTarget::ArmPumpTimer()
{
  const auto due = mCore->NextDue();
  if (!due || *due == Instant::max()) {
    return;
  }
  mPumpTimer.expires_at(ToSteady(*due));
  mPumpTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !mIsDown) {
      Pump();
    }
  });
}

void EngineTarget::Announce()
{
  if (mIsDown) {
    return;
  }
  const auto announcement =
    mCore->MakeAnnouncement(SteadyNow(), mAddress, mLeaving);
  mPoster.Post("/targets/announce", RenderAnnouncement(announcement));
}

void EngineTarget::ArmAnnounceTimer()
{
  mAnnounceTimer.expires_after(mOptions.mAnnounceInterval);
  mAnnounceTimer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    Announce();
    PublishCacheEvents();
    ArmAnnounceTimer();
  });
}

void EngineTarget::PublishCacheEvents()
{
  auto events = mCore->TakeCacheEvents();
  std::erase_if(events,
                [this](const auto&) { return Draw(mOptions.mCacheEventLoss); });
  if (events.empty() || mIsDown) {
    return;
  }
  auto timer =
    std::make_unique<asio::steady_timer>(mExecutor, mOptions.mCacheEventDelay);
  asio::steady_timer& wait = *timer;
  wait.async_wait(
    [this, kept = std::move(timer), body = RenderCacheEvents(Name(), events)](
      const boost::system::error_code& aError) {
      if (!aError) {
        mPoster.Post("/targets/cache-events", body);
      }
    });
}

void EngineTarget::Crash()
{
  ++mCrashes;
  mIsDown = true;
  mServer->StopAccepting();
  for (auto& [id, running] : mRunning) {
    running->mLost = true;
    running->mWake.cancel();
  }
  mRunning.clear();
  const auto open = mExchanges;
  std::ranges::for_each(open,
                        [](HttpExchange* aExchange) { aExchange->Abort(); });
  mRestartTimer.expires_after(mOptions.mRestartDelay);
  mRestartTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Restart();
    }
  });
}

void EngineTarget::Restart()
{
  constexpr Duration kRetryBind = std::chrono::milliseconds(200);
  if (Listen(mAddress)) {
    mIsDown = false;
    Announce();
    return;
  }
  mRestartTimer.expires_after(kRetryBind);
  mRestartTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Restart();
    }
  });
}

bool EngineTarget::Draw(double aShare)
{
  return std::bernoulli_distribution(aShare)(mRandom);
}

} // namespace carobtide
