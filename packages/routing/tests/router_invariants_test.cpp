#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace carobtide;
using namespace carobtide::test;

namespace {

constexpr std::uint32_t kTargets = 5;
constexpr std::uint32_t kSlots = 3;

/** Drives one router with random events and checks what must always hold. */
class RandomDrive
{
public:
  explicit RandomDrive(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRouter(MakeOptions(aSeed))
  {
    for (std::uint32_t it = 0; it < kTargets; ++it) {
      mUsable.insert(NameOf(it));
      Take(mRouter.OnAnnouncement(Now(), Announce(it)));
    }
  }

  void Run(std::uint32_t aSteps)
  {
    for (std::uint32_t it = 0; it < aSteps; ++it) {
      mNow += Duration(mRandom() % 40'000);
      Step();
      CheckCounts();
    }
    Finish();
  }

private:
  struct Attempt
  {
    RequestId mRequest;
    TargetName mTarget;
  };

  static RouterOptions MakeOptions(std::uint64_t aSeed)
  {
    RouterOptions options = Options();
    options.mSeed = aSeed;
    options.mMaxQueued = 24;
    options.mDaemons = 2;
    return options;
  }

  static TargetName NameOf(std::uint64_t aIndex)
  {
    return TargetName("t" + std::to_string(aIndex));
  }

  Instant Now() const { return At(mNow); }

  Announcement Announce(std::uint64_t aIndex)
  {
    Announcement engine = Engine(
      NameOf(aIndex).Text(), { "tagger", aIndex % 2 == 0 ? "lister" : "sizer" },
      aIndex < 3 ? "be-central-a" : "be-central-b");
    engine.mLoad.mSlots = kSlots;
    engine.mIncarnation = Incarnation(mIncarnations[aIndex] + 1);
    engine.mSequence = ++mSequence;
    return engine;
  }

  void Step()
  {
    switch (mRandom() % 16) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        return AdmitOne();
      case 5:
        return ChangeTarget();
      case 6:
        return Take(mRouter.Tick(Now()));
      case 7:
        return LeaveOne();
      case 8:
        return FirstByte();
      case 9:
        return Hints();
      case 10:
        return Stale();
      case 11:
        return QuarantineOne();
      default:
        return FinishOne();
    }
  }

  void AdmitOne()
  {
    static const std::vector<std::string> kModels{ "tagger", "lister", "sizer",
                                                   "absent" };
    const std::uint64_t id = ++mLastRequest;
    RequestFacts facts = ModelRequest(id, kModels[mRandom() % 4]);
    facts.mCaller = CallerName("caller-" + std::to_string(mRandom() % 3));
    facts.mPriority = static_cast<PriorityClass>(mRandom() % 3);
    facts.mIdempotent = mRandom() % 3 != 0;
    facts.mStreaming = mRandom() % 2 == 0;
    facts.mFingerprint = Digest{ 1, mRandom() % 40 };
    if (mRandom() % 2 == 0) {
      facts.mFirstByteDeadline = Now() + 2s;
      facts.mDeadline = Now() + 5s;
    }
    mOpen[facts.mId] = facts.mIdempotent;
    Take(mRouter.Admit(Now(), facts));
  }

  void ChangeTarget()
  {
    const std::uint64_t index = mRandom() % kTargets;
    const TargetName name = NameOf(index);
    switch (mRandom() % 4) {
      case 0:
        mUsable.erase(name);
        return Take(mRouter.OnTargetSilent(Now(), name));
      case 1: {
        Announcement leaving = Announce(index);
        leaving.mLeaving = true;
        mUsable.erase(name);
        return Take(mRouter.OnAnnouncement(Now(), leaving));
      }
      case 2:
        ++mIncarnations[index];
        [[fallthrough]];
      default:
        mUsable.insert(name);
        return Take(mRouter.OnAnnouncement(Now(), Announce(index)));
    }
  }

  void LeaveOne()
  {
    const RequestId id(1 +
                       mRandom() % std::max<std::uint64_t>(1, mLastRequest));
    mOpen.erase(id);
    mGone.insert(id);
    Take(mRouter.OnCallerGone(Now(), id));
  }

  void FirstByte()
  {
    if (mAttempts.empty()) {
      return;
    }
    const AttemptId id = Pick();
    Take(mRouter.OnFirstByte(Now(), id));
    mRouter.OnTokens(Now(), id, 1 + mRandom() % 900);
  }

  void Hints()
  {
    std::vector<InFlightHint> hints;
    hints.push_back({ NameOf(mRandom() % (kTargets + 1)),
                      static_cast<std::uint32_t>(mRandom() % 4), 0 });
    mRouter.OnPeerHints(Now(), DaemonName("peer"), hints);
  }

  /** Events of attempts that ended or never were. */
  void Stale()
  {
    const AttemptId id(mEnded.empty() ? 999'999 : *mEnded.begin());
    Take(mRouter.OnFirstByte(Now(), id));
    mRouter.OnTokens(Now(), id, 5);
    const auto effects =
      mRouter.OnFinished(Now(), id, AttemptEnd::ConnectionLost, false);
    CHECK(effects.empty());
  }

  void QuarantineOne()
  {
    if (mRandom() % 8 == 0) {
      Take(mRouter.OnQuarantine(Now(), Digest{ 1, mRandom() % 40 }));
    }
  }

  void FinishOne()
  {
    if (mAttempts.empty()) {
      return;
    }
    const AttemptId id = Pick();
    const auto end = mRandom() % 2 == 0
                       ? AttemptEnd::Whole
                       : kAttemptEnds.mRows[mRandom() % 6].first;
    End(id, end);
  }

  void End(AttemptId aAttempt, AttemptEnd aEnd)
  {
    const Attempt attempt = mAttempts.at(aAttempt);
    mAttempts.erase(aAttempt);
    mEnded.insert(aAttempt.Value());
    if (aEnd == AttemptEnd::Whole || aEnd == AttemptEnd::CallerGone) {
      CHECK(mOpen.erase(attempt.mRequest) == 1);
    }
    Take(mRouter.OnFinished(Now(), aAttempt, aEnd, mRandom() % 4 == 0));
  }

  AttemptId Pick()
  {
    auto it = mAttempts.begin();
    std::advance(it, mRandom() % mAttempts.size());
    return it->first;
  }

  void Take(const RouterEffects& aEffects)
  {
    for (const auto& it : aEffects) {
      std::visit([this](const auto& aEffect) { On(aEffect); }, it);
    }
    // Attempts of requests that ended must have been cancelled.
    for (const auto& [id, attempt] : mAttempts) {
      CHECK(mOpen.contains(attempt.mRequest));
    }
  }

  void On(const DispatchAttempt& aDispatch)
  {
    REQUIRE(mOpen.contains(aDispatch.mRequest));
    CHECK(mUsable.contains(aDispatch.mTarget));
    CHECK(mSeenAttempts.insert(aDispatch.mAttempt.Value()).second);
    const bool isFirst = mDispatched.insert(aDispatch.mRequest).second;
    if (!mOpen.at(aDispatch.mRequest)) {
      CHECK(isFirst);
    }
    mAttempts[aDispatch.mAttempt] = { aDispatch.mRequest, aDispatch.mTarget };
  }

  void On(const CancelAttempt& aCancel)
  {
    CHECK(mAttempts.erase(aCancel.mAttempt) == 1);
    mEnded.insert(aCancel.mAttempt.Value());
  }

  void On(const RefuseRequest& aRefuse)
  {
    CHECK(mOpen.erase(aRefuse.mRequest) == 1);
    CHECK_FALSE(mDispatched.contains(aRefuse.mRequest));
  }

  void On(const FailRequest& aFail)
  {
    CHECK(mOpen.erase(aFail.mRequest) == 1);
    CHECK(mDispatched.contains(aFail.mRequest));
  }

  void On(const AnnounceCrash& /*aStrike*/) {}
  void On(const AnnounceQuarantine& /*aQuarantine*/) {}

  void CheckCounts()
  {
    CHECK(mRouter.Stats().mInFlight == mAttempts.size());
    std::map<TargetName, std::uint32_t> load;
    for (const auto& [id, attempt] : mAttempts) {
      ++load[attempt.mTarget];
    }
    for (const auto& [target, count] : load) {
      // Slots, the bounded excess of urgent work, and one suspect.
      CHECK(count <= kSlots + kMostExcess + 1);
    }
  }

  /** Ends everything; nothing may be left. */
  void Finish()
  {
    for (std::uint32_t it = 0; it < kTargets; ++it) {
      mUsable.insert(NameOf(it));
      Take(mRouter.OnAnnouncement(Now(), Announce(it)));
    }
    for (int round = 0; round < 2000 && !mOpen.empty(); ++round) {
      mNow += 50ms;
      Take(mRouter.Tick(Now()));
      while (!mAttempts.empty()) {
        End(mAttempts.begin()->first, AttemptEnd::Whole);
      }
    }
    CHECK(mOpen.empty());
    CHECK(mRouter.Stats().mInFlight == 0);
    CHECK(mRouter.Stats().mQueued == 0);
    for (const InFlightHint& it : mRouter.Hints()) {
      CHECK(it.mInFlight == 0);
      CHECK(it.mLong == 0);
    }
  }

  static constexpr std::uint32_t kMostExcess = 1;

  RandomEngine mRandom;
  Router mRouter;
  Duration mNow{ 0 };
  std::uint64_t mSequence = 0;
  std::uint64_t mLastRequest = 0;
  std::map<std::uint64_t, std::uint64_t> mIncarnations;
  std::set<TargetName> mUsable;
  /** Requests that have not ended; true if idempotent. */
  std::map<RequestId, bool> mOpen;
  std::set<RequestId> mGone;
  std::set<RequestId> mDispatched;
  std::map<AttemptId, Attempt> mAttempts;
  std::set<std::uint64_t> mSeenAttempts;
  std::set<std::uint64_t> mEnded;
};

} // namespace

TEST_CASE("random events: every request ends once, nothing runs twice")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    RandomDrive(seed).Run(600);
  }
}
