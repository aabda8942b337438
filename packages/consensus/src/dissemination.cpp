#include "carobtide/consensus/dissemination.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace carobtide {

Dissemination::Dissemination(const DaemonName& aSelf,
                             std::vector<DaemonName> aAll,
                             DisseminationOptions aOptions, std::uint64_t aSeed)
  : mAll(std::move(aAll))
  , mOptions(aOptions)
  , mRandom(aSeed)
{
  std::ranges::sort(mAll);
  const auto it = std::ranges::find(mAll, aSelf);
  assert(it != mAll.end());
  mSelf = static_cast<std::size_t>(it - mAll.begin());
}

std::vector<std::size_t> Dissemination::TreeOrder(std::uint64_t aKey) const
{
  std::vector<std::size_t> order(mAll.size());
  std::iota(order.begin(), order.end(), 0);
  std::vector<std::uint64_t> ranks(mAll.size());
  std::ranges::transform(mAll, ranks.begin(), [&](const DaemonName& aName) {
    return ComputeChecksum(aName.Text(), aKey);
  });
  std::ranges::sort(order, {}, [&](std::size_t aIndex) {
    return std::pair(ranks[aIndex], aIndex);
  });
  return order;
}

std::size_t Dissemination::RandomOther()
{
  std::uniform_int_distribution<std::size_t> any(0, mAll.size() - 2);
  const std::size_t index = any(mRandom);
  return index < mSelf ? index : index + 1;
}

std::vector<DaemonName> Dissemination::Receivers(Epoch aEpoch, bool aFromLog)
{
  return ReceiversOf(aEpoch.Value(), aFromLog);
}

std::vector<DaemonName> Dissemination::ReceiversOf(std::uint64_t aKey,
                                                   bool aIsSource)
{
  if (mAll.size() < 2) {
    return {};
  }
  const std::vector<std::size_t> order = TreeOrder(aKey);
  const auto place =
    static_cast<std::size_t>(std::ranges::find(order, mSelf) - order.begin());
  std::vector<std::size_t> chosen;
  for (std::size_t i = 1; i <= mOptions.mFanOut; ++i) {
    const std::size_t child = place * mOptions.mFanOut + i;
    if (child < order.size()) {
      chosen.push_back(order[child]);
    }
  }
  if (aIsSource && order.front() != mSelf) {
    chosen.push_back(order.front());
  }
  for (std::size_t i = 0; i < mOptions.mRandomPeers; ++i) {
    chosen.push_back(RandomOther());
  }
  std::ranges::sort(chosen);
  chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
  std::vector<DaemonName> names;
  std::ranges::transform(chosen, std::back_inserter(names),
                         [this](std::size_t aIndex) { return mAll[aIndex]; });
  return names;
}

DaemonName Dissemination::NextExchange()
{
  if (mAll.size() < 2) {
    return {};
  }
  return mAll[RandomOther()];
}

} // namespace carobtide
