#pragma once

/**
 * @file
 * Scenarios of the load tool: classes of requests, phases of demand, and the
 * processes that tools/bench starts for them.
 */

#include "carobtide/base.hpp"
#include "carobtide/cli/load_organisations.hpp"
#include "carobtide/settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace carobtide {

/** A heavy-tailed length: lognormal, with a share from a Pareto tail. */
struct LengthSpec
{
  /** Median of the lognormal body. */
  double mMedian = 50.0;
  /** Standard deviation of its logarithm. */
  double mSigma = 0.5;
  /** Share drawn from the tail, which starts at mTailFrom. */
  double mTailShare = 0.0;
  double mTailFrom = 1000.0;
  /** Exponent of the Pareto tail. */
  double mTailAlpha = 1.5;
  /** Longer draws are cut to this. */
  std::uint32_t mMax = 4000;
};

/** What kind of call a class makes. */
enum class LoadKind : std::uint8_t
{
  Chat,
  Completion,
  Service,
  /** Any path; an answer of a status below 400 counts as whole. */
  Call,
};

inline constexpr EnumTable<LoadKind, 4> kLoadKinds{ { {
  { LoadKind::Chat, "chat" },
  { LoadKind::Completion, "completion" },
  { LoadKind::Service, "service" },
  { LoadKind::Call, "call" },
} } };

/** A class of like requests. */
struct LoadClass
{
  std::string mName;
  LoadKind mKind = LoadKind::Chat;
  /** Bearer tokens; each request takes one at random. Optional for calls. */
  std::vector<std::string> mTokens;
  /** "NAME" or "NAME:ADAPTER", most wanted first. */
  std::vector<std::string> mModels;
  /** Exponent of the Zipf law over mModels; 0 is uniform. */
  double mModelSkew = 0.0;
  bool mStreaming = false;
  LengthSpec mPrompt;
  LengthSpec mAnswer;
  /** max_tokens sent, as a multiple of the answer's length; 0 sends none. */
  double mMaxTokensSlack = 1.0;
  /** Leading prompt tokens that are equal for all requests of a token. */
  std::uint32_t mSharedPrefixTokens = 0;
  /** An answer attains its target if it meets both. */
  Duration mFirstByteTarget = std::chrono::seconds(1);
  Duration mWholeTarget = std::chrono::seconds(30);
  Duration mTimeout = std::chrono::seconds(60);
  /** Path of a service or call, e.g. "/services/order-desk/reserve". */
  std::string mPath;
  /**
   * Headers of each try. In values "{id}" becomes an id that no other try has,
   * "{left_ms}" the time that is left to the caller.
   */
  std::vector<std::pair<std::string, std::string>> mHeaders;
  /** True sends an Idempotency-Key. */
  bool mKeyed = false;
  /** Share of service calls sent twice at once, with the same key. */
  double mDuplicateShare = 0.0;
  /** Text put into every prompt. */
  std::string mMarker;
  /** True counts the class as short work in the measures. */
  bool mIsShort = false;
  /** How often a caller resends what did not succeed. */
  std::uint32_t mResends = 0;
  Duration mResendPause = std::chrono::milliseconds(500);
  /**
   * True waits as the answer's Retry-After says, if it has one, and gives up
   * where the timeout would be over by then.
   */
  bool mResendsAsTold = false;
};

/** Requests per second of one class. */
struct ClassRate
{
  /** Index into LoadScenario::mClasses. */
  std::size_t mClass = 0;
  double mPerSecond = 0.0;
};

/** A span of steady demand with optional bursts. */
struct LoadPhase
{
  std::string mName;
  Duration mDuration = std::chrono::seconds(10);
  /** Poisson arrivals. */
  std::vector<ClassRate> mRates;
  /** Zero for none. */
  Duration mBurstEvery{ 0 };
  /** Requests of mBurstClass that arrive together. */
  std::uint32_t mBurstSize = 0;
  std::size_t mBurstClass = 0;
  /** False for warm-up: sent, but not in the totals. */
  bool mMeasured = true;
  /** True counts the phase as the crest of a demand swing. */
  bool mIsCrest = false;
};

/** What a fault does to a process that tools/bench started. */
enum class BenchAction : std::uint8_t
{
  Stop,
  Continue,
  Kill,
  Terminate,
};

inline constexpr EnumTable<BenchAction, 4> kBenchActions{ { {
  { BenchAction::Stop, "stop" },
  { BenchAction::Continue, "continue" },
  { BenchAction::Kill, "kill" },
  { BenchAction::Terminate, "terminate" },
} } };

/** A fault, at a time after the load's start. */
struct BenchFault
{
  Duration mAt{ 0 };
  BenchAction mAction = BenchAction::Stop;
  /** "daemon-2" or "standin-0". */
  std::string mProcess;
};

/** What tools/bench starts. */
struct BenchDeployment
{
  std::uint32_t mDaemons = 3;
  std::vector<std::string> mFailureDomains;
  /** Bundle file, relative to the scenario. */
  std::string mBundle;
  /** Arguments of one `carobtide standin` process each. */
  std::vector<std::string> mStandins;
  /** Edges of a deployment with a catalog; 0 starts none. */
  std::uint32_t mEdges = 0;
  /** Slots of its target, and how long a request takes there. */
  std::uint32_t mSlots = 64;
  Duration mWork{ 0 };
  /** Allowances in tokens per second, with a burst of one second. */
  std::vector<std::pair<std::string, double>> mLimits;
  std::vector<BenchFault> mFaults;
};

struct LoadScenario
{
  std::string mName;
  std::uint64_t mSeed = 1;
  std::vector<LoadClass> mClasses;
  std::vector<LoadPhase> mPhases;
  LoadOrganisations mOrganisations;
  BenchDeployment mBench;

  Duration TotalDuration() const;
};

/** Parses and checks a scenario; either a scenario or every fault. */
std::variant<LoadScenario, std::vector<YamlFault>> ParseLoadScenario(
  std::string_view aText);

/** The deployment as JSON, for tools/bench. */
std::string RenderBenchJson(const LoadScenario& aScenario);

} // namespace carobtide
