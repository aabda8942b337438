#include "carobtide/routing/policy.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace carobtide {

namespace {

/** Half-life of the weight of a load report. */
constexpr double kReportHalfLifeSeconds = 0.5;
/** Occupancy added to the score of a target in another failure domain. */
constexpr double kRemotePenalty = 0.1;
/** Occupancy subtracted if the whole prompt is in the prefix cache. */
constexpr double kPrefixBonus = 0.25;
/** Occupancy subtracted if the adapter is resident. */
constexpr double kAdapterBonus = 0.25;

double ReportWeight(Duration aAge)
{
  const double seconds = std::chrono::duration<double>(aAge).count();
  return std::exp2(-std::max(0.0, seconds) / kReportHalfLifeSeconds);
}

/**
 * Expected share of the slots in use after one more request, multiplied by the
 * slowness; lower is better. Attempts of this daemon and of its peers count in
 * full. A load report counts only for the load beyond these, weighted by age.
 */
double Score(const Candidate& aCandidate)
{
  const double known = aCandidate.mOwnInFlight + aCandidate.mPeerInFlight;
  const double excess =
    std::max(0.0, static_cast<double>(aCandidate.mReported) - known);
  const double load = known + excess * ReportWeight(aCandidate.mReportAge);
  const double slots = std::max(1U, aCandidate.mSlots);
  double score = (load + 1.0) / slots * aCandidate.mSlowness;
  score += aCandidate.mSameFailureDomain ? 0.0 : kRemotePenalty;
  score -= kPrefixBonus * std::clamp(aCandidate.mPrefixHit, 0.0, 1.0);
  score -= aCandidate.mAdapterResident ? kAdapterBonus : 0.0;
  return score;
}

/**
 * The better of two random candidates (power of two choices, Mitzenmacher).
 * The first is drawn from this failure domain if it has any. The candidate with
 * the largest cached share of the prompt is compared as a third.
 */
class TwoChoicesPolicy final : public TargetPolicy
{
public:
  std::string_view Name() const override { return "two-choices"; }

  std::size_t Choose(std::span<const Candidate> aCandidates,
                     RandomEngine& aRandom) override
  {
    assert(!aCandidates.empty());
    const std::size_t count = aCandidates.size();
    if (count == 1) {
      return 0;
    }
    const std::size_t first = DrawFirst(aCandidates, aRandom);
    const std::size_t skip = 1 + aRandom() % (count - 1);
    const std::size_t second = (first + skip) % count;
    const std::size_t better = Better(aCandidates, first, second);
    const auto cached =
      std::ranges::max_element(aCandidates, {}, &Candidate::mPrefixHit);
    return Better(aCandidates, better,
                  static_cast<std::size_t>(cached - aCandidates.begin()));
  }

private:
  static std::size_t Better(std::span<const Candidate> aCandidates,
                            std::size_t aFirst, std::size_t aSecond)
  {
    const bool isSecond =
      Score(aCandidates[aSecond]) < Score(aCandidates[aFirst]);
    return isSecond ? aSecond : aFirst;
  }

  static std::size_t DrawFirst(std::span<const Candidate> aCandidates,
                               RandomEngine& aRandom)
  {
    const auto local = static_cast<std::size_t>(
      std::ranges::count(aCandidates, true, &Candidate::mSameFailureDomain));
    if (local == 0) {
      return aRandom() % aCandidates.size();
    }
    std::size_t toSkip = aRandom() % local;
    const auto it =
      std::ranges::find_if(aCandidates, [&toSkip](const Candidate& aCandidate) {
        return aCandidate.mSameFailureDomain && toSkip-- == 0;
      });
    return static_cast<std::size_t>(it - aCandidates.begin());
  }
};

/** The candidate that was chosen least recently. */
class RoundRobinPolicy final : public TargetPolicy
{
public:
  std::string_view Name() const override { return "round-robin"; }

  std::size_t Choose(std::span<const Candidate> aCandidates,
                     RandomEngine& /*aRandom*/) override
  {
    assert(!aCandidates.empty());
    const auto it =
      std::ranges::min_element(aCandidates, {}, [this](const Candidate& aIt) {
        return aIt.mIndex < mLastChosen.size() ? mLastChosen[aIt.mIndex] : 0;
      });
    if (it->mIndex >= mLastChosen.size()) {
      mLastChosen.resize(it->mIndex + 1, 0);
    }
    mLastChosen[it->mIndex] = ++mChoiceCount;
    return static_cast<std::size_t>(it - aCandidates.begin());
  }

private:
  std::vector<std::uint64_t> mLastChosen;
  std::uint64_t mChoiceCount = 0;
};

/** The candidate with the lowest reported load; ties are broken at random. */
class LeastReportedPolicy final : public TargetPolicy
{
public:
  std::string_view Name() const override { return "least-reported"; }

  std::size_t Choose(std::span<const Candidate> aCandidates,
                     RandomEngine& aRandom) override
  {
    assert(!aCandidates.empty());
    const std::size_t start = aRandom() % aCandidates.size();
    std::size_t best = start;
    for (std::size_t it = 0; it < aCandidates.size(); ++it) {
      const std::size_t place = (start + it) % aCandidates.size();
      if (aCandidates[place].mReported < aCandidates[best].mReported) {
        best = place;
      }
    }
    return best;
  }
};

template<class Policy>
std::unique_ptr<TargetPolicy> MakePolicy()
{
  return std::make_unique<Policy>();
}

struct PolicyEntry
{
  std::string_view mName;
  std::unique_ptr<TargetPolicy> (*mMake)();
};

constexpr std::array<PolicyEntry, 3> kPolicies{ {
  { "two-choices", &MakePolicy<TwoChoicesPolicy> },
  { "round-robin", &MakePolicy<RoundRobinPolicy> },
  { "least-reported", &MakePolicy<LeastReportedPolicy> },
} };

} // namespace

std::vector<std::string_view> TargetPolicyNames()
{
  std::vector<std::string_view> names;
  std::ranges::transform(kPolicies, std::back_inserter(names),
                         &PolicyEntry::mName);
  return names;
}

std::unique_ptr<TargetPolicy> MakeTargetPolicy(std::string_view aName)
{
  const auto it = std::ranges::find(kPolicies, aName, &PolicyEntry::mName);
  return it == kPolicies.end() ? nullptr : it->mMake();
}

} // namespace carobtide
