#pragma once

/**
 * @file
 * The stand-in engine's continuous batching, without I/O: sequences, their
 * prefill and decode progress, and the waiting queue.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace carobtide {

/** Speeds and limits of one stand-in engine. */
struct EngineOptions
{
  /** Decode rate of one sequence while at most mSlots run; 0 is instant. */
  double mTokensPerSecond = 50.0;
  /** Prefill rate, shared by the sequences in prefill; 0 is instant. */
  double mPrefillTokensPerSecond = 8000.0;
  /** Sequences that decode at full rate; beyond, they share the rate. */
  std::uint32_t mSlots = 8;
  /** Most sequences in the batch; others wait. */
  std::uint32_t mMaxRunning = 16;
  /** Tokens of KV cache; sequences that do not fit wait. */
  std::uint64_t mKvTokens = 200'000;
  /** Streams are woken at most this often. */
  Duration mStepTime = std::chrono::milliseconds(2);
};

using SequenceId = NumericId<struct SequenceIdTag>;

/** One request as the batch sees it. */
struct SequenceSpec
{
  SequenceId mId;
  std::uint32_t mPromptTokens = 0;
  /** Tokens to generate. */
  std::uint32_t mAnswerTokens = 1;
  /** Lower runs first. */
  std::uint32_t mPriority = 1;
  /** True wakes the owner for each token, not only at the end. */
  bool mStreaming = false;
};

/** How far a sequence has come. */
struct SequenceProgress
{
  SequenceId mId;
  /** Whole tokens generated so far. */
  std::uint32_t mTokens = 0;
  bool mFinished = false;
};

/** Figures of a load report. */
struct EngineLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  double mKvUsed = 0.0;
};

/**
 * A fluid model of a continuously batching engine: between two changes each
 * sequence progresses at a constant rate.
 *
 * Thread safety: none; the owner guards it. Times passed in never decrease.
 */
class EngineModel
{
public:
  explicit EngineModel(EngineOptions aOptions);

  /** Adds a sequence; it starts at once if the batch has room. */
  void Submit(Instant aNow, const SequenceSpec& aSpec);

  /** Drops a sequence, running or waiting. Unknown ids are ignored. */
  void Cancel(Instant aNow, SequenceId aId);

  /** Divides all rates from now on; 1 is the normal speed. */
  void SetSlowness(Instant aNow, double aFactor);

  /**
   * Brings the model up to `aNow`; reports the sequences that produced
   * tokens or finished since the last call. Finished ones are gone.
   */
  std::vector<SequenceProgress> Advance(Instant aNow);

  /** When Advance has something to report next; nothing while idle. */
  std::optional<Instant> NextDue() const;

  EngineLoad Load() const;

private:
  struct Sequence
  {
    SequenceSpec mSpec;
    double mPrefillLeft = 0.0;
    double mDecoded = 0.0;
    std::uint32_t mReported = 0;
  };

  /** Tokens per second of each sequence in that phase. */
  struct Rates
  {
    double mDecode = 0.0;
    double mPrefill = 0.0;
  };

  void Integrate(Instant aNow);
  void Step(double aSeconds);
  void Collect();
  void Admit();
  Rates CurrentRates() const;
  double SecondsToNextChange() const;
  double SecondsToReport(const Sequence& aSequence, const Rates& aRates) const;
  std::uint64_t KvTokens(const SequenceSpec& aSpec) const;

  EngineOptions mOptions;
  Instant mAt;
  double mSlowness = 1.0;
  std::uint64_t mKvUsed = 0;
  std::vector<Sequence> mRunning;
  /** Ordered by priority, then arrival. */
  std::vector<SequenceSpec> mWaiting;
  std::vector<SequenceProgress> mPending;
};

} // namespace carobtide
