#include "carobtide/routing/target_subset.hpp"

#include "carobtide/base/hash.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>
#include <string_view>
#include <utility>

namespace carobtide {

namespace {

/** Bounds of the number of edges that prefer a target, relative to even. */
constexpr double kLeastOfEven = 0.9;
constexpr double kMostOfEven = 1.1;

/** A pair with a lower value is preferred. */
std::uint64_t RankOf(std::uint64_t aEdge, std::uint64_t aTarget)
{
  const auto bytes = std::bit_cast<std::array<char, sizeof(aTarget)>>(aTarget);
  return ComputeChecksum(std::string_view(bytes.data(), bytes.size()), aEdge);
}

/** A hash as a number from 0 to 1. */
double ToUnit(std::uint64_t aHash)
{
  return static_cast<double>(aHash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

std::size_t TargetSubset::SizeOf(double aSendRate, Duration aIdleTime,
                                 std::size_t aTargets)
{
  const double sends =
    aSendRate * std::chrono::duration<double>(aIdleTime).count();
  if (aTargets < kMinTargets || sends <= 0 ||
      static_cast<double>(aTargets) <= sends) {
    return 0;
  }
  return std::max(kMinTargets, static_cast<std::size_t>(sends / 2));
}

std::size_t TargetSubset::SizeAmong(std::size_t aSize, std::size_t aHolders,
                                    std::size_t aTargets)
{
  return std::max<std::size_t>(1, aSize * aHolders / aTargets);
}

std::vector<std::size_t> TargetSubset::Choose(
  const std::vector<SubsetCandidate>& aCandidates, std::size_t aSize) const
{
  const auto locals = static_cast<std::size_t>(
    std::ranges::count_if(aCandidates, &SubsetCandidate::mIsLocal));
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t n = 0; n < aCandidates.size(); ++n) {
    if (locals < aSize || aCandidates[n].mIsLocal) {
      ranked.emplace_back(RankOf(mSelf, aCandidates[n].mId), n);
    }
  }
  const std::size_t size = std::min(aSize, ranked.size());
  std::ranges::nth_element(ranked,
                           ranked.begin() + static_cast<std::ptrdiff_t>(size));
  std::vector<std::size_t> chosen(size);
  std::transform(
    ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size),
    chosen.begin(), [](const auto& aRank) { return aRank.second; });
  return chosen;
}

std::vector<std::uint64_t> TargetSubset::EdgesOf(
  std::uint64_t aTarget, const std::vector<std::uint64_t>& aEdges,
  std::size_t aTargets, std::size_t aSize)
{
  std::vector<std::pair<std::uint64_t, std::uint64_t>> ranked;
  ranked.reserve(aEdges.size());
  std::ranges::transform(aEdges, std::back_inserter(ranked),
                         [&](std::uint64_t aEdge) {
                           return std::pair(RankOf(aEdge, aTarget), aEdge);
                         });
  const double share =
    static_cast<double>(aSize) / static_cast<double>(aTargets);
  const double even = share * static_cast<double>(aEdges.size());
  // Each target rounds at another point: otherwise the bounds of all targets
  // would change with the same edge.
  const double rounding = ToUnit(RankOf(0, aTarget));
  const auto least =
    static_cast<std::size_t>(std::floor(kLeastOfEven * even + rounding));
  const auto most =
    static_cast<std::size_t>(std::floor(kMostOfEven * even + rounding));
  const auto within = static_cast<std::size_t>(std::ranges::count_if(
    ranked, [&](const auto& aRank) { return ToUnit(aRank.first) < share; }));
  const std::size_t size =
    std::min(std::clamp(within, least, most), ranked.size());
  std::ranges::nth_element(ranked,
                           ranked.begin() + static_cast<std::ptrdiff_t>(size));
  std::vector<std::uint64_t> edges(size);
  std::transform(ranked.begin(),
                 ranked.begin() + static_cast<std::ptrdiff_t>(size),
                 edges.begin(), [](const auto& aRank) { return aRank.second; });
  return edges;
}

std::vector<std::size_t> TargetSubset::ChooseBalanced(
  const std::vector<SubsetCandidate>& aCandidates,
  const std::vector<std::uint64_t>& aEdges, std::size_t aSize) const
{
  std::vector<std::size_t> chosen;
  for (std::size_t n = 0; n < aCandidates.size(); ++n) {
    const auto edges =
      EdgesOf(aCandidates[n].mId, aEdges, aCandidates.size(), aSize);
    if (std::ranges::find(edges, mSelf) != edges.end()) {
      chosen.push_back(n);
    }
  }
  return chosen;
}

} // namespace carobtide
