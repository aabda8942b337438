#include "routing_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace carobtide;
using namespace carobtide::test;

namespace {

constexpr std::uint32_t kTargets = 5;
constexpr std::uint32_t kSlots = 3;

/** Feeds random events to a router and checks its invariants. */
class RandomRouterTest
{
public:
  explicit RandomRouterTest(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mRouter(MakeOptions(aSeed))
  {
    for (std::uint32_t it = 0; it < kTargets; ++it) {
      mAvailable.insert(NameOf(it));
      ApplyEffects(mRouter.OnAnnouncement(Now(), Announce(it)));
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
        return ApplyEffects(mRouter.Tick(Now()));
      case 7:
        return DisconnectCaller();
      case 8:
        return SendFirstByte();
      case 9:
        return SendHints();
      case 10:
        return SendStaleEvents();
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
    ApplyEffects(mRouter.Admit(Now(), facts));
  }

  void ChangeTarget()
  {
    const std::uint64_t index = mRandom() % kTargets;
    const TargetName name = NameOf(index);
    switch (mRandom() % 4) {
      case 0:
        mAvailable.erase(name);
        return ApplyEffects(mRouter.OnTargetSilent(Now(), name));
      case 1: {
        Announcement leaving = Announce(index);
        leaving.mLeaving = true;
        mAvailable.erase(name);
        return ApplyEffects(mRouter.OnAnnouncement(Now(), leaving));
      }
      case 2:
        ++mIncarnations[index];
        [[fallthrough]];
      default:
        mAvailable.insert(name);
        return ApplyEffects(mRouter.OnAnnouncement(Now(), Announce(index)));
    }
  }

  void DisconnectCaller()
  {
    const RequestId id(1 +
                       mRandom() % std::max<std::uint64_t>(1, mLastRequest));
    mOpen.erase(id);
    mGone.insert(id);
    ApplyEffects(mRouter.OnCallerGone(Now(), id));
  }

  void SendFirstByte()
  {
    if (mAttempts.empty()) {
      return;
    }
    const AttemptId id = PickAttempt();
    ApplyEffects(mRouter.OnFirstByte(Now(), id));
    mRouter.OnTokens(Now(), id, 1 + mRandom() % 900);
  }

  void SendHints()
  {
    std::vector<InFlightHint> hints;
    hints.push_back({ NameOf(mRandom() % (kTargets + 1)),
                      static_cast<std::uint32_t>(mRandom() % 4), 0 });
    mRouter.OnPeerHints(Now(), DaemonName("peer"), hints);
  }

  /** Events of an attempt that has ended or never existed. */
  void SendStaleEvents()
  {
    const AttemptId id(mEnded.empty() ? 999'999 : *mEnded.begin());
    ApplyEffects(mRouter.OnFirstByte(Now(), id));
    mRouter.OnTokens(Now(), id, 5);
    const auto effects =
      mRouter.OnFinished(Now(), id, AttemptEnd::ConnectionLost, false);
    CHECK(effects.empty());
  }

  void QuarantineOne()
  {
    if (mRandom() % 8 == 0) {
      ApplyEffects(mRouter.OnQuarantine(Now(), Digest{ 1, mRandom() % 40 }));
    }
  }

  void FinishOne()
  {
    if (mAttempts.empty()) {
      return;
    }
    const AttemptId id = PickAttempt();
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
    ApplyEffects(mRouter.OnFinished(Now(), aAttempt, aEnd, mRandom() % 4 == 0));
  }

  AttemptId PickAttempt()
  {
    auto it = mAttempts.begin();
    std::advance(it, mRandom() % mAttempts.size());
    return it->first;
  }

  void ApplyEffects(const RouterEffects& aEffects)
  {
    for (const auto& it : aEffects) {
      std::visit([this](const auto& aEffect) { On(aEffect); }, it);
    }
    // The end of a request must cancel its remaining attempts.
    for (const auto& [id, attempt] : mAttempts) {
      CHECK(mOpen.contains(attempt.mRequest));
    }
  }

  void On(const DispatchAttempt& aDispatch)
  {
    REQUIRE(mOpen.contains(aDispatch.mRequest));
    CHECK(mAvailable.contains(aDispatch.mTarget));
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

  void On(const AnnounceCrash& /*aReport*/) {}
  void On(const AnnounceQuarantine& /*aQuarantine*/) {}

  void CheckCounts()
  {
    CHECK(mRouter.Stats().mInFlight == mAttempts.size());
    std::map<TargetName, std::uint32_t> load;
    for (const auto& [id, attempt] : mAttempts) {
      ++load[attempt.mTarget];
    }
    for (const auto& [target, count] : load) {
      // Slots, the interactive overcommit, and one isolated suspect.
      CHECK(count <= kSlots + kMaxOvercommit + 1);
    }
  }

  /** Completes all open requests and checks that no state is left. */
  void Finish()
  {
    for (std::uint32_t it = 0; it < kTargets; ++it) {
      mAvailable.insert(NameOf(it));
      ApplyEffects(mRouter.OnAnnouncement(Now(), Announce(it)));
    }
    for (int round = 0; round < 2000 && !mOpen.empty(); ++round) {
      mNow += 50ms;
      ApplyEffects(mRouter.Tick(Now()));
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

  static constexpr std::uint32_t kMaxOvercommit = 1;

  RandomEngine mRandom;
  Router mRouter;
  Duration mNow{ 0 };
  std::uint64_t mSequence = 0;
  std::uint64_t mLastRequest = 0;
  std::map<std::uint64_t, std::uint64_t> mIncarnations;
  std::set<TargetName> mAvailable;
  /** Requests that have not ended; true if idempotent. */
  std::map<RequestId, bool> mOpen;
  std::set<RequestId> mGone;
  std::set<RequestId> mDispatched;
  std::map<AttemptId, Attempt> mAttempts;
  std::set<std::uint64_t> mSeenAttempts;
  std::set<std::uint64_t> mEnded;
};

} // namespace

TEST_CASE(
  "random events: every request ends once, non-idempotent ones run once")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    RandomRouterTest(seed).Run(600);
  }
}
