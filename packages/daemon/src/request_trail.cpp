#include "request_trail.hpp"

#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"

#include <boost/algorithm/string/join.hpp>

#include <algorithm>
#include <chrono>

namespace carobtide {

namespace {

std::int64_t Millis(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

/** What all daemons observed of the target, if it is no ordinary one. */
void AddRates(const TargetSnapshot& aSnapshot, std::vector<LogInput>& aInputs)
{
  if (aSnapshot.mSpeed != 1.0) {
    aInputs.push_back({ "speed", aSnapshot.mSpeed });
  }
  if (aSnapshot.mSharedFailures > 0) {
    aInputs.push_back({ "shared_failures", aSnapshot.mSharedFailures });
  }
  if (aSnapshot.mIsProbe) {
    aInputs.push_back({ "probe", std::int64_t(1) });
  }
}

} // namespace

RequestTrail::Entry& RequestTrail::Add(TrailStep aStep)
{
  if (mEntries.size() >= kMostSteps) {
    ++mNotKept;
    mEntries.pop_back();
  }
  Entry& entry = mEntries.emplace_back();
  entry.mStep = aStep;
  entry.mTimeMicros = WallMicros();
  return entry;
}

void RequestTrail::OnOriginFound(const StreamOrigin& aOrigin)
{
  Entry& entry = Add(TrailStep::OriginFound);
  entry.mDetail = aOrigin.mService.Text();
  entry.mSoftware = aOrigin.mSoftware;
}

void RequestTrail::OnWait(const WaitForCapacity& aWait, Instant aNow)
{
  // Woken and told to wait again in the same class: one step.
  const bool isWaiting = !mEntries.empty() &&
                         mEntries.back().mStep == TrailStep::Waiting &&
                         mEntries.back().mClass == aWait.mClass;
  if (!isWaiting) {
    Entry& entry = Add(TrailStep::Waiting);
    entry.mPause = aWait.mUntil - aNow;
    entry.mForecast = aWait.mForecast;
    entry.mClass = aWait.mClass;
  }
}

void RequestTrail::OnAdapterAsked()
{
  Add(TrailStep::AdapterAsked);
}

void RequestTrail::OnRouted(const SendTo& aSend, std::string_view aAfterEvent)
{
  Entry& entry =
    Add(aAfterEvent.empty() ? TrailStep::Routed : TrailStep::Resumed);
  entry.mTarget = aSend.mTarget;
  entry.mSoftware = aSend.mSoftware;
  entry.mSnapshot = aSend.mSnapshot;
  entry.mDetail = aAfterEvent;
}

void RequestTrail::OnSendEnded(const SendTo& aSend, SendEnd aEnd,
                               BodyFraming aFraming, bool aMayRepeat,
                               std::string aFlaw)
{
  Entry& entry = Add(TrailStep::SendEnded);
  entry.mTarget = aSend.mTarget;
  entry.mEnd = aEnd;
  entry.mFraming = aFraming;
  entry.mMayRepeat = aMayRepeat;
  entry.mDetail = std::move(aFlaw);
}

void RequestTrail::OnRefused(const Rejection& aAway)
{
  Entry& entry = Add(TrailStep::Refused);
  entry.mDetail = aAway.mReason;
  entry.mSnapshot.mHolders = aAway.mHolders;
  entry.mSnapshot.mLoad = aAway.mLeastLoad;
  entry.mLoadLimit = aAway.mLoadLimit;
  entry.mPause = aAway.mRetryAfter;
  entry.mForecast = aAway.mForecast;
}

void RequestTrail::OnOverAllowance(const OrganisationName& aOrganisation,
                                   Credit aCost,
                                   const AllowanceDecision& aDecision)
{
  Entry& entry = Add(TrailStep::OverAllowance);
  entry.mDetail = aOrganisation.Text();
  entry.mCost = aCost;
  entry.mAllowance = aDecision;
}

void RequestTrail::OnHandedOn(const RelayTo& aRelay)
{
  Entry& entry = Add(TrailStep::HandedOn);
  entry.mRelay = aRelay.mRelay.ToString();
  entry.mSnapshot.mHolders = static_cast<std::uint32_t>(aRelay.mHolders.size());
}

void RequestTrail::OnProcessChecked(const SendTo& aSend, ProcessCheck aCheck)
{
  Entry& entry = Add(TrailStep::ProcessChecked);
  entry.mTarget = aSend.mTarget;
  entry.mDetail = kProcessChecks.Name(aCheck);
}

void RequestTrail::OnRelayEnded(const RelayTo& aRelay, RelayEnd aEnd,
                                bool aMayRepeat)
{
  Entry& entry = Add(TrailStep::RelayEnded);
  entry.mRelay = aRelay.mRelay.ToString();
  entry.mRelayEnd = aEnd;
  entry.mMayRepeat = aMayRepeat;
}

void RequestTrail::WriteEntry(const Entry& aEntry, std::string_view aCall) const
{
  std::vector<LogInput> inputs;
  switch (aEntry.mStep) {
    case TrailStep::OriginFound:
      inputs.push_back({ "service", std::string_view(aEntry.mDetail) });
      inputs.push_back(
        { "software", std::string_view(aEntry.mSoftware.Text()) });
      break;
    case TrailStep::Waiting:
      inputs.push_back({ "patience_ms", Millis(aEntry.mPause) });
      if (aEntry.mClass) {
        inputs.push_back({ "rank", kWaitingClassNames.Name(*aEntry.mClass) });
      }
      if (aEntry.mForecast) {
        inputs.push_back({ "forecast_ms", Millis(*aEntry.mForecast) });
      }
      break;
    case TrailStep::AdapterAsked:
      break;
    case TrailStep::ProcessChecked:
      inputs.push_back({ "check", std::string_view(aEntry.mDetail) });
      break;
    case TrailStep::Resumed:
      inputs.push_back({ "after_event", std::string_view(aEntry.mDetail) });
      [[fallthrough]];
    case TrailStep::Routed:
      inputs.push_back(
        { "software", std::string_view(aEntry.mSoftware.Text()) });
      inputs.push_back({ "load", aEntry.mSnapshot.mLoad });
      inputs.push_back({ "own_in_flight", static_cast<std::int64_t>(
                                            aEntry.mSnapshot.mOwnInFlight) });
      inputs.push_back({ "reading_ms", Millis(aEntry.mSnapshot.mPrefillTime) });
      inputs.push_back({ "failure_share", aEntry.mSnapshot.mFailureShare });
      AddRates(aEntry.mSnapshot, inputs);
      inputs.push_back(
        { "holders", static_cast<std::int64_t>(aEntry.mSnapshot.mHolders) });
      inputs.push_back({ "heartbeat", static_cast<std::int64_t>(
                                        aEntry.mSnapshot.mHeartbeat) });
      inputs.push_back({ "told_ms_ago", Millis(aEntry.mSnapshot.mStateAge) });
      break;
    case TrailStep::Refused:
      inputs.push_back({ "reason", std::string_view(aEntry.mDetail) });
      inputs.push_back(
        { "holders", static_cast<std::int64_t>(aEntry.mSnapshot.mHolders) });
      inputs.push_back({ "least_load", aEntry.mSnapshot.mLoad });
      inputs.push_back({ "load_limit", aEntry.mLoadLimit });
      if (aEntry.mForecast) {
        inputs.push_back({ "forecast_ms", Millis(*aEntry.mForecast) });
      }
      inputs.push_back({ "retry_after_ms", Millis(aEntry.mPause) });
      break;
    case TrailStep::OverAllowance:
      inputs.push_back({ "organisation", std::string_view(aEntry.mDetail) });
      inputs.push_back({ "cost", aEntry.mCost });
      inputs.push_back({ "balance", aEntry.mAllowance.mBalance });
      inputs.push_back({ "told_ms_ago", Millis(aEntry.mAllowance.mReplyAge) });
      inputs.push_back(
        { "retry_after_ms", Millis(aEntry.mAllowance.mRetryAfter) });
      break;
    case TrailStep::HandedOn:
      inputs.push_back({ "unreachable_holders", static_cast<std::int64_t>(
                                                  aEntry.mSnapshot.mHolders) });
      break;
    case TrailStep::RelayEnded:
      inputs.push_back({ "end", kRelayEnds.Name(aEntry.mRelayEnd) });
      inputs.push_back(
        { "then", std::string_view(aEntry.mMayRepeat ? "repeat" : "final") });
      break;
    case TrailStep::SendEnded:
      inputs.push_back({ "end", kSendEnds.Name(aEntry.mEnd) });
      inputs.push_back({ "framing", kBodyFramings.Name(aEntry.mFraming) });
      if (!aEntry.mDetail.empty()) {
        inputs.push_back({ "flaw", std::string_view(aEntry.mDetail) });
      }
      inputs.push_back(
        { "then", std::string_view(aEntry.mMayRepeat ? "repeat" : "final") });
      break;
  }
  LogFields fields;
  fields.mStep = kTrailSteps.Name(aEntry.mStep);
  fields.mPeer = aEntry.mRelay.empty() ? aEntry.mTarget.Text() : aEntry.mRelay;
  fields.mCall = aCall;
  fields.mInputs = inputs;
  fields.mTimeMicros = aEntry.mTimeMicros;
  Log(LogLevel::Info, fields);
}

void RequestTrail::Write(const CallerRequest& aCaller, const Route& aRoute,
                         const TrailEnd& aEnd, std::uint64_t& aLeftOut) const
{
  const bool isFine = aEnd.mOutcome == RequestOutcome::Whole &&
                      aEnd.mSends == 1 &&
                      (aRoute.mPauseObjective == Duration::zero() ||
                       aEnd.mLongestPause <= aRoute.mPauseObjective);
  if (isFine && ComputeChecksum(aCaller.mId) % kSampled != 0) {
    ++aLeftOut;
    return;
  }
  std::ranges::for_each(
    mEntries, [&](const Entry& aIt) { WriteEntry(aIt, aCaller.mId); });
  const std::string content = aEnd.mContent.ToHex();
  const std::string parts = boost::algorithm::join(aCaller.mSharedParts, ",");
  std::vector<LogInput> inputs{
    { "route", std::string_view(aRoute.mName) },
    { "content", std::string_view(content) },
    { "model", std::string_view(aCaller.mModel.Text()) },
    { "adapter", std::string_view(aCaller.mAdapter.Text()) },
    { "parts", std::string_view(parts) },
    { "outcome", kRequestOutcomes.Name(aEnd.mOutcome) },
    { "took_ms", Millis(aEnd.mTook) },
    { "objective_ms", Millis(aRoute.mObjective) },
    { "patience_ms", Millis(aCaller.mPatience.value_or(aRoute.mTimeout)) },
    { "timeout_ms", Millis(aRoute.mTimeout) },
    { "sends", static_cast<std::int64_t>(aEnd.mSends) },
    { "pause_ms", Millis(aEnd.mLongestPause) },
    { "left_out", static_cast<std::int64_t>(aLeftOut) },
  };
  if (!aEnd.mOrganisation.IsEmpty()) {
    inputs.push_back(
      { "organisation", std::string_view(aEnd.mOrganisation.Text()) });
  }
  if (aEnd.mRefusal) {
    inputs.push_back({ "refused", kRefusalReasons.Name(*aEnd.mRefusal) });
  }
  if (!aCaller.mAfterEvent.empty()) {
    inputs.push_back({ "resumes", std::string_view(aCaller.mResumes) });
    inputs.push_back({ "resume_after", std::string_view(aCaller.mAfterEvent) });
  }
  if (mNotKept > 0) {
    inputs.push_back({ "steps_not_kept", mNotKept });
  }
  aLeftOut = 0;
  LogFields fields;
  fields.mStep = "request.end";
  fields.mPeer = mEntries.empty() ? "" : mEntries.back().mTarget.Text();
  fields.mCall = aCaller.mId;
  fields.mInputs = inputs;
  fields.mMessage = aEnd.mReason;
  Log(LogLevel::Info, fields);
}

void RequestTrail::WriteKeyRefused(const CallerRequest& aCaller,
                                   const Route& aRoute,
                                   std::uint64_t aNotWritten)
{
  const std::vector<LogInput> inputs{
    { "route", std::string_view(aRoute.mName) },
    { "outcome", kRequestOutcomes.Name(RequestOutcome::TurnedAway) },
    { "refused", kRefusalReasons.Name(RefusalReason::Key) },
    { "key", aCaller.mKeyHeader == KeyHeader::Usable
               ? std::string_view("unknown")
               : kKeyHeaders.Name(aCaller.mKeyHeader) },
    { "not_written", static_cast<std::int64_t>(aNotWritten) },
  };
  LogFields fields;
  fields.mStep = "request.end";
  fields.mCall = aCaller.mId;
  fields.mInputs = inputs;
  fields.mMessage = "401: no key of the catalog";
  Log(LogLevel::Info, fields);
}

} // namespace carobtide
