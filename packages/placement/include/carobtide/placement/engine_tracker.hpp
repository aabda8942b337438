#pragma once

/**
 * @file
 * What the leader knows of one engine, and the protocol of orders to it.
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
  Endpoint mAddress;
  ResidencyAction mAction = ResidencyAction::Load;
  ModelName mModel;
  /** Empty for the model's own weights. */
  AdapterName mAdapter;
  /**
   * Orders that the engine must have accepted before this one: an order that
   * is carried out late, after others, is then refused.
   */
  std::uint64_t mAccepted = 0;
};

/** What an engine answered to an order. */
enum class ResidencyAnswer : std::uint8_t
{
  /** It is being carried out. */
  Accepted,
  /** It holds already, or was done at once. */
  Done,
  /** Another order is under way, or the count of orders differs. */
  Conflict,
  Refused,
  /** Lost, late or never sent: it may be carried out, now or later. */
  Unknown,
};

inline constexpr EnumTable<ResidencyAnswer, 5> kResidencyAnswers{ { {
  { ResidencyAnswer::Accepted, "accepted" },
  { ResidencyAnswer::Done, "done" },
  { ResidencyAnswer::Conflict, "conflict" },
  { ResidencyAnswer::Refused, "refused" },
  { ResidencyAnswer::Unknown, "unknown" },
} } };

/** An engine's own account, as of a moment ago. */
struct EngineReport
{
  /** An order for a model is under way. */
  bool mBusy = false;
  /** Orders accepted since it started. */
  std::uint64_t mAccepted = 0;
  std::vector<HeldModel> mModels;
};

/**
 * One engine: what it holds, and the one order that may be under way. Orders
 * are sent one after the other, each bound to the count of those before it. An
 * order without an answer is sent again as it was: if the engine takes the
 * copy, the lost one can no longer be carried out.
 *
 * Answers: orders and answers that are lost, or carried out seconds late.
 *
 * Thread safety: none; the owner guards it.
 */
class EngineTracker
{
public:
  explicit EngineTracker(Heartbeat aHeartbeat, bool aSilent);

  /** Takes a later heartbeat of the same incarnation. */
  void OnHeartbeat(Instant aNow, const Heartbeat& aHeartbeat, bool aSilent);

  /** An account that was asked for at `aAskedAt`; nothing if it failed. */
  void OnReport(Instant aNow, Instant aAskedAt,
                const std::optional<EngineReport>& aReport);

  /** True if the engine's account is wanted now. Asking is noted. */
  bool WantsReport(Instant aNow);

  /** True if a new order may be sent. */
  bool IsFree(Instant aNow) const;

  /** Notes a new order as sent. Precondition: IsFree. */
  void OnSent(Instant aNow, const ResidencyOrder& aOrder,
              Duration aExpectedTime);

  /** True while an order is out or carried out. */
  bool IsBusy() const { return mOpen.has_value() || mWork.has_value(); }

  /** The order that must be sent again now, if any. */
  std::optional<ResidencyOrder> TakeResend(Instant aNow);

  void OnAnswer(Instant aNow, OrderId aOrder, ResidencyAnswer aAnswer);

  const Heartbeat& Last() const { return mLast; }
  bool IsUsable() const;

  /** Models it holds for requests, one being unloaded left out. */
  std::vector<HeldModel> Serving() const;

  /** Models that take room: held, being loaded or being unloaded. */
  std::vector<ModelName> Occupying() const;

  bool Holds(const ModelName& aModel) const;
  const HeldModel* Find(const ModelName& aModel) const;
  bool IsLoading(const ModelName& aModel) const;
  /** The model that is being loaded and not held yet, if any. */
  std::optional<ModelName> Loading() const;

  /** When a model came; the start of time if it was there from the start. */
  Instant HeldSince(const ModelName& aModel) const;

  /** Orders that it accepted, as far as known. */
  std::uint64_t Accepted() const { return mAccepted; }

  bool HasCopyInMemory(const ModelName& aModel) const;
  bool HasCopyOnDisk(const ModelName& aModel) const;

private:
  /** The model order that the engine carries out. */
  struct Work
  {
    ResidencyOrder mOrder;
    Instant mDueAt;
  };

  void Adopt(Instant aNow, const std::vector<HeldModel>& aModels);
  void Apply(Instant aNow, const ResidencyOrder& aOrder);

  Heartbeat mLast;
  bool mSilent = false;
  std::vector<HeldModel> mModels;
  std::map<ModelName, Instant> mHeldSince;
  std::uint64_t mAccepted = 0;
  /** False until a report has told the count of orders. */
  bool mKnown = false;
  bool mBusy = false;
  /** Sent and not yet answered. */
  std::optional<ResidencyOrder> mOpen;
  Duration mExpectedTime{ 0 };
  Instant mSentAt;
  bool mResend = false;
  std::optional<Work> mWork;
  Instant mReportAt;
  bool mReportOpen = false;
  Instant mReportAskedAt;
  Instant mChangedAt;
};

} // namespace carobtide
