#pragma once

/**
 * @file
 * The leader's state of one engine, and the protocol for sending it orders.
 */

#include "carobtide/fleet/target.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobtide {

/** What an order does. */
enum class ResidencyAction : std::uint8_t
{
  Load,
  Unload,
};

inline constexpr EnumTable<ResidencyAction, 2> kResidencyActions{ { {
  { ResidencyAction::Load, "load" },
  { ResidencyAction::Unload, "unload" },
} } };

/** An order to one incarnation of an engine. */
struct ResidencyOrder
{
  OrderId mId;
  TargetName mTarget;
  Incarnation mIncarnation;
  Endpoint mAddress;
  ResidencyAction mAction = ResidencyAction::Load;
  ModelName mModel;
  /** Empty for the model's own weights. */
  AdapterName mAdapter;
  /**
   * Number of orders that the engine must have accepted before this one. An
   * engine with another count refuses the order, so a delayed copy has no
   * effect after later orders.
   */
  std::uint64_t mAccepted = 0;
};

/** What an engine answered to an order. */
enum class ResidencyAnswer : std::uint8_t
{
  /** The engine is executing it. */
  Accepted,
  /** The requested state already held, or was reached immediately. */
  Done,
  /** Another order is being executed, or the order counts differ. */
  Conflict,
  Refused,
  /** No answer: the order may still be executed, now or later. */
  Unknown,
};

inline constexpr EnumTable<ResidencyAnswer, 5> kResidencyAnswers{ { {
  { ResidencyAnswer::Accepted, "accepted" },
  { ResidencyAnswer::Done, "done" },
  { ResidencyAnswer::Conflict, "conflict" },
  { ResidencyAnswer::Refused, "refused" },
  { ResidencyAnswer::Unknown, "unknown" },
} } };

/** State that an engine reports of itself; it may be slightly outdated. */
struct EngineReport
{
  /** The process that reports; zero if it is not stated. */
  Incarnation mIncarnation;
  /** A model load or unload is being executed. */
  bool mBusy = false;
  /** Number of orders accepted since the engine started. */
  std::uint64_t mAccepted = 0;
  std::vector<HeldModel> mModels;
};

/** An adapter on an engine, of one of its models. */
struct EngineAdapter
{
  ModelName mModel;
  AdapterName mAdapter;

  bool operator==(const EngineAdapter&) const = default;
};

/**
 * Tracks the models of one engine and its only outstanding order. Orders are
 * sent one at a time, each bound to the count of orders accepted before it. An
 * order without an answer is resent unchanged: once the engine accepts one
 * copy, it refuses the other. This tolerates lost orders and answers, and
 * orders that are executed seconds late.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class EngineTracker
{
public:
  explicit EngineTracker(Heartbeat aHeartbeat, bool aSilent);

  /** Handles a heartbeat. Precondition: same incarnation as the first one. */
  void OnHeartbeat(Instant aNow, const Heartbeat& aHeartbeat, bool aSilent);

  /** Handles the report requested at `aRequestedAt`; nullopt if that failed. */
  void OnReport(Instant aNow, Instant aRequestedAt,
                const std::optional<EngineReport>& aReport);

  /** True if a report must be requested now; marks it as requested. */
  bool ShouldRequestReport(Instant aNow);

  /** The rate that the engine states, which its orders wait for the end of. */
  void OnLimit(const RateLimit& aLimit) { mLimit = aLimit; }
  const RateLimit& Limit() const { return mLimit; }

  /** True if a new order may be sent. */
  bool IsFree(Instant aNow) const;

  /** Records that a new order is being sent. Precondition: IsFree. */
  void OnSent(Instant aNow, const ResidencyOrder& aOrder,
              Duration aExpectedTime);

  /** True while an order is unanswered or being executed. */
  bool IsBusy() const
  {
    return mUnanswered.has_value() || mRunning.has_value();
  }

  /** Returns the order to resend now, if any, and records it as sent. */
  std::optional<ResidencyOrder> TakeResend(Instant aNow);

  /** Requests no report and sends no order before a time. */
  void OnPause(Instant aUntil);

  /** Handles an answer; ignored unless it is for the unanswered order. */
  void OnAnswer(Instant aNow, OrderId aOrder, ResidencyAnswer aAnswer);

  const Heartbeat& LastHeartbeat() const { return mLastHeartbeat; }
  /** True if the engine is ready and its heartbeats arrive in time. */
  bool IsUsable() const;

  /** Models that can serve requests; excludes one being unloaded. */
  std::vector<HeldModel> Serving() const;

  /** Models that use memory: held, being loaded or being unloaded. */
  std::vector<ModelName> ModelsUsingMemory() const;

  bool Holds(const ModelName& aModel) const;
  const HeldModel* Find(const ModelName& aModel) const;

  /** Adapters that take a place: held, being loaded or being unloaded. */
  std::size_t AdapterPlaces() const;
  /** True if the engine unloads the adapter once nothing uses it any more. */
  bool IsUnloading(const ModelName& aModel, const AdapterName& aAdapter) const;

  bool IsLoading(const ModelName& aModel) const;
  /** The model being loaded that is not held yet, if any. */
  std::optional<ModelName> Loading() const;
  /** When the order being executed should be done. Precondition: IsBusy. */
  Instant DueAt() const;

  /** When a model became resident; Instant() if held from the start. */
  Instant HeldSince(const ModelName& aModel) const;

  /** Number of orders that the engine accepted, as far as known. */
  std::uint64_t Accepted() const { return mAccepted; }

  /** True if it was not heard of lately, as of the last heartbeat passed. */
  bool IsSilent() const { return mSilent; }

  bool HasCopyInMemory(const ModelName& aModel) const;
  bool HasCopyOnDisk(const ModelName& aModel) const;

private:
  /** The model order that the engine is executing. */
  struct RunningOrder
  {
    ResidencyOrder mOrder;
    Instant mDueAt;
  };

  /**
   * True if a heartbeat with these models was written after the end of the
   * order that is being executed: it has the order's effect and lacks nothing
   * that was loaded before.
   */
  bool ShowsEndOf(const ResidencyOrder& aOrder,
                  const std::vector<HeldModel>& aModels) const;
  void ReplaceModels(Instant aNow, const std::vector<HeldModel>& aModels);
  void ApplyAdapterOrder(Instant aNow, const ResidencyOrder& aOrder);
  /** Forgets the unloads that a report shows to be done. */
  void EndAdapterUnloads(const std::vector<HeldModel>& aModels);

  Heartbeat mLastHeartbeat;
  bool mSilent = false;
  std::vector<HeldModel> mModels;
  /** Not in mModels, since they serve nothing new. */
  std::vector<EngineAdapter> mUnloadingAdapters;
  std::map<ModelName, Instant> mHeldSince;
  std::uint64_t mAccepted = 0;
  /** False until a report states the engine's count of accepted orders. */
  bool mIsCountKnown = false;
  bool mBusy = false;
  /** The order that was sent and is not answered yet. */
  std::optional<ResidencyOrder> mUnanswered;
  Duration mExpectedTime{ 0 };
  Instant mSentAt;
  bool mMustResend = false;
  std::optional<RunningOrder> mRunning;
  Instant mNextReportAt;
  bool mIsReportPending = false;
  Instant mReportRequestedAt;
  Instant mChangedAt;
  Instant mPausedUntil;
  RateLimit mLimit;
};

} // namespace carobtide
