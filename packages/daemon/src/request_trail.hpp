#pragma once

/**
 * @file
 * What happened to one request, kept until it is known whether to log it.
 */

#include "allowance_gate.hpp"
#include "carobtide/catalog.hpp"
#include "carobtide/daemon/dialect.hpp"
#include "carobtide/routing/dispatcher.hpp"
#include "carobtide/transport/http_client.hpp"
#include "request_metrics.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** A decision that touched a request, or what became of one. */
enum class TrailStep : std::uint8_t
{
  OriginFound,
  Waiting,
  AdapterAsked,
  Routed,
  Resumed,
  ProcessChecked,
  SendEnded,
  Refused,
  HandedOn,
  RelayEnded,
  OverAllowance,
};

inline constexpr EnumTable<TrailStep, 11> kTrailSteps{ { {
  { TrailStep::OriginFound, "request.origin-found" },
  { TrailStep::Waiting, "request.waiting" },
  { TrailStep::AdapterAsked, "request.adapter-asked" },
  { TrailStep::Routed, "request.routed" },
  { TrailStep::Resumed, "request.resumed" },
  { TrailStep::ProcessChecked, "request.process-checked" },
  { TrailStep::SendEnded, "request.send-ended" },
  { TrailStep::Refused, "request.refused" },
  { TrailStep::HandedOn, "request.handed-on" },
  { TrailStep::RelayEnded, "request.relay-ended" },
  { TrailStep::OverAllowance, "request.over-allowance" },
} } };

/** How a request ended, for its last line. */
struct TrailEnd
{
  RequestOutcome mOutcome = RequestOutcome::Whole;
  std::string_view mReason;
  /** Empty without organisations or without a known key. */
  OrganisationName mOrganisation;
  /** Set if the request was refused without having run. */
  std::optional<RefusalReason> mRefusal;
  Duration mTook{ 0 };
  std::uint32_t mSends = 0;
  Duration mLongestPause{ 0 };
  /** Equal for requests of equal content, whatever their ids. */
  Digest mContent;
};

/**
 * The steps of one request. They are written when it has ended, all or none:
 * whatever failed or was tried twice, and a sample of the rest.
 *
 * Thread safety: none; the owner guards it.
 */
class RequestTrail
{
public:
  /** One in so many requests that went well is written. */
  static constexpr std::uint64_t kSampled = 16;
  /** Steps kept; later ones are counted only. */
  static constexpr std::size_t kMostSteps = 24;

  /** It is known what began the stream that the caller takes up. */
  void OnOriginFound(const StreamOrigin& aOrigin);
  void OnWait(const WaitForCapacity& aWait, Instant aNow);
  void OnAdapterAsked();
  /** `aAfterEvent` is not empty if an answer goes on after that event. */
  void OnRouted(const SendTo& aSend, std::string_view aAfterEvent);
  /** The target said which process it is, before the request was sent. */
  void OnProcessChecked(const SendTo& aSend, ProcessCheck aCheck);
  /**
   * `aFraming` is that of the target's answer; `aFlaw` says what made it none,
   * if it was none in the protocol.
   */
  void OnSendEnded(const SendTo& aSend, SendEnd aEnd, BodyFraming aFraming,
                   bool aMayRepeat, std::string aFlaw = {});
  void OnRefused(const Rejection& aAway);
  /** The allowance of its organisation does not bear the request. */
  void OnOverAllowance(const OrganisationName& aOrganisation, Credit aCost,
                       const AllowanceDecision& aDecision);
  void OnHandedOn(const RelayTo& aRelay);
  void OnRelayEnded(const RelayTo& aRelay, RelayEnd aEnd, bool aMayRepeat);

  /** Writes the steps and the end, or counts the request as left out. */
  void Write(const CallerRequest& aCaller, const Route& aRoute,
             const TrailEnd& aEnd, std::uint64_t& aLeftOut) const;

  /**
   * Writes the end of a request that was refused because it has no key of the
   * catalog. `aNotWritten` counts such requests that were not written before.
   */
  static void WriteKeyRefused(const CallerRequest& aCaller, const Route& aRoute,
                              std::uint64_t aNotWritten);

private:
  struct Entry
  {
    TrailStep mStep = TrailStep::Waiting;
    std::int64_t mTimeMicros = 0;
    TargetName mTarget;
    SoftwareVersion mSoftware;
    SendEnd mEnd = SendEnd::Whole;
    BodyFraming mFraming = BodyFraming::None;
    bool mMayRepeat = false;
    TargetSnapshot mSnapshot;
    double mLoadLimit = 0;
    std::string mDetail;
    /** The other daemon, and how handing the request to it ended. */
    std::string mRelay;
    RelayEnd mRelayEnd = RelayEnd::Answered;
    Credit mCost = 0;
    AllowanceDecision mAllowance;
    /** How long it may wait, or is asked to stay away. */
    Duration mPause{ 0 };
    std::optional<Duration> mForecast;
    std::optional<WaitingClass> mClass;
  };

  Entry& Add(TrailStep aStep);
  void WriteEntry(const Entry& aEntry, std::string_view aCall) const;

  std::vector<Entry> mEntries;
  std::int64_t mNotKept = 0;
};

} // namespace carobtide
