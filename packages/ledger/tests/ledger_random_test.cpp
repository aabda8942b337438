/**
 * @file
 * Random commands of many claimants over few keys, with a snapshot taken at
 * any point, against two replicas and a plain record of who was granted what.
 */

#include "ledger_fixture.hpp"

#include "carobtide/base/codec.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

using namespace carobtide;

namespace {

constexpr int kKeys = 12;
constexpr int kDaemons = 4;
constexpr int kAttempts = 6;

using Attempt = std::pair<ClaimantId, std::uint64_t>;

/** Draws commands that are wrong, late and repeated as often as right. */
class CommandSource
{
public:
  explicit CommandSource(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  LedgerCommand Next()
  {
    const int kind = Pick(100);
    const std::string key = "k" + std::to_string(Pick(kKeys));
    const ClaimantId claimant = ClaimantOf("d" + std::to_string(Pick(kDaemons)),
                                           static_cast<unsigned>(Pick(3)));
    const auto attempt = static_cast<std::uint64_t>(Pick(kAttempts));
    if (kind < 45) {
      return Claim(key, claimant, attempt, Pick(8) == 0 ? "y" : "x");
    }
    if (kind < 60) {
      return Complete(key, claimant, attempt,
                      std::string(static_cast<std::size_t>(Pick(40)), 'a'));
    }
    if (kind < 75) {
      return Release(key, claimant, attempt);
    }
    if (kind < 85) {
      return Abandon(key, claimant, attempt);
    }
    if (kind < 98) {
      mWall += Duration(std::chrono::seconds(Pick(100) - 20));
      return Tick(mWall);
    }
    if (kind < 99) {
      return AbandonClaimant{ claimant };
    }
    const auto maxKeys = 4 + static_cast<std::size_t>(Pick(20));
    return SetLedgerLimits{ LedgerLimits{ maxKeys, 30, kMiB,
                                          std::chrono::minutes(5) } };
  }

  int Pick(int aCount)
  {
    return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
  }

private:
  RandomEngine mRandom;
  Duration mWall{ 0 };
};

/** The holder of each key since it was last free. */
class GrantRecord
{
public:
  /** Notes a command that `aLedger` has applied; false on a second grant. */
  bool Note(Ledger& aLedger, const LedgerCommand& aCommand,
            LedgerVerdict aVerdict)
  {
    if (const auto* claim = std::get_if<ClaimKey>(&aCommand)) {
      const Attempt attempt{ claim->mClaimant, claim->mAttempt };
      if (aVerdict != LedgerVerdict::Granted) {
        return true;
      }
      if (mGone.contains(claim->mClaimant)) {
        return false;
      }
      const auto [it, isNew] = mHolders.emplace(claim->mKey, attempt);
      return isNew ||
             (it->second == attempt && !mSettled.contains(claim->mKey));
    }
    if (const auto* release = std::get_if<ReleaseKey>(&aCommand)) {
      const Attempt attempt{ release->mClaimant, release->mAttempt };
      const auto it = mHolders.find(release->mKey);
      if (aVerdict == LedgerVerdict::Settled && it != mHolders.end() &&
          it->second == attempt) {
        mHolders.erase(it);
      }
    } else if (const auto* complete = std::get_if<CompleteKey>(&aCommand)) {
      NoteSettled(complete->mKey, aVerdict);
    } else if (const auto* abandon = std::get_if<AbandonKey>(&aCommand)) {
      NoteSettled(abandon->mKey, aVerdict);
    } else if (const auto* gone = std::get_if<AbandonClaimant>(&aCommand)) {
      mGone.insert(gone->mClaimant);
      for (const auto& [key, holder] : mHolders) {
        if (holder.first == gone->mClaimant) {
          mSettled.insert(key);
        }
      }
    } else if (std::holds_alternative<ExpireKeys>(aCommand)) {
      return NoteExpiry(aLedger);
    }
    return true;
  }

private:
  void NoteSettled(const LedgerKey& aKey, LedgerVerdict aVerdict)
  {
    if (aVerdict == LedgerVerdict::Settled) {
      mSettled.insert(aKey);
    }
  }

  /** Forgets settled keys that expired; an open claim must not expire. */
  bool NoteExpiry(const Ledger& aLedger)
  {
    Ledger probe;
    REQUIRE(probe.Load(aLedger.Save()));
    LedgerLimits limits = probe.Limits();
    limits.mMaxKeys = 1'000'000;
    probe.Apply(SetLedgerLimits{ limits });
    for (auto it = mHolders.begin(); it != mHolders.end();) {
      const bool isFree = IsFree(probe, it->first);
      if (isFree && !mSettled.contains(it->first)) {
        return false;
      }
      if (isFree) {
        mSettled.erase(it->first);
      }
      it = isFree ? mHolders.erase(it) : std::next(it);
    }
    return true;
  }

  static bool IsFree(Ledger& aProbe, const LedgerKey& aKey)
  {
    const ClaimantId nobody = ClaimantOf("probe");
    const ClaimKey claim{ aKey, ComputeDigest("x"), nobody, ++sProbes, 0 };
    const bool isFree = aProbe.Apply(claim).mVerdict == LedgerVerdict::Granted;
    aProbe.Apply(ReleaseKey{ aKey, nobody, claim.mAttempt });
    return isFree;
  }

  static inline std::uint64_t sProbes = 0;

  std::map<LedgerKey, Attempt> mHolders;
  std::set<LedgerKey> mSettled;
  std::set<ClaimantId> mGone;
};

} // namespace

TEST_CASE("random commands: one grant a key, equal replicas, equal restores")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CommandSource source(seed);
    const LedgerLimits limits{ 8, 30, kMiB, std::chrono::minutes(5) };
    Ledger first(limits);
    Ledger second(limits);
    GrantRecord record;
    for (int step = 0; step < 2'000; ++step) {
      const LedgerCommand command = source.Next();
      const LedgerOutcome outcome = first.Apply(command);
      const LedgerOutcome twin = second.Apply(command);
      INFO("seed " << seed << ", step " << step << ", command "
                   << command.index());
      REQUIRE(twin.mVerdict == outcome.mVerdict);
      REQUIRE(twin.mAnswer == outcome.mAnswer);
      REQUIRE(record.Note(first, command, outcome.mVerdict));
      if (source.Pick(97) == 0) {
        Ledger restored;
        REQUIRE(restored.Load(first.Save()));
        second = std::move(restored);
      }
    }
    REQUIRE(first.Save() == second.Save());
    REQUIRE(first.OpenClaims() <= first.Size());
  }
}

TEST_CASE("commands and outcomes survive their encoding")
{
  CommandSource source(99);
  Ledger direct;
  Ledger decoded;
  for (int step = 0; step < 2'000; ++step) {
    const LedgerCommand command = source.Next();
    const auto copy = Decode<LedgerCommand>(Encode(command));
    REQUIRE(copy);
    const LedgerOutcome outcome = direct.Apply(command);
    const auto returned =
      Decode<LedgerOutcome>(Encode(decoded.Apply(copy.Value())));
    REQUIRE(returned);
    REQUIRE(returned->mVerdict == outcome.mVerdict);
    REQUIRE(returned->mAnswer == outcome.mAnswer);
  }
}
