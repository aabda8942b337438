#pragma once

/**
 * @file
 * The seeded sequence of requests of a scenario, without I/O.
 */

#include "carobtide/cli/load_scenario.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace carobtide {

/** One request to send. */
struct Arrival
{
  /** Intended start, after the start of the run. */
  Duration mAt{ 0 };
  /** Unique within the run, from zero. */
  std::uint64_t mNumber = 0;
  std::size_t mPhase = 0;
  std::size_t mClass = 0;
  std::size_t mModel = 0;
  std::size_t mToken = 0;
  /** Index into LoadOrganisations::mMembers; 0 if there are none. */
  std::size_t mOrganisation = 0;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mAnswerTokens = 0;
  /** True if the caller sends it twice. */
  bool mDuplicate = false;
};

/**
 * Generates the arrivals of a scenario in order of time. Equal scenarios and
 * seeds give equal sequences.
 *
 * Thread safety: none.
 */
class ArrivalGenerator
{
public:
  /** The scenario must outlive the generator. */
  ArrivalGenerator(const LoadScenario& aScenario, std::uint64_t aSeed);

  /** The next request; nothing at the end of the last phase. */
  std::optional<Arrival> Next();

private:
  void EnterPhase(std::size_t aPhase);
  Duration DrawGap();
  /** True for requests that the organisations do not send at that time. */
  bool IsThinnedOut(Duration aAt);
  std::size_t DrawClass();
  std::uint32_t DrawLength(const LengthSpec& aSpec);
  Arrival Make(Duration aAt, std::size_t aClass);

  const LoadScenario& mScenario;
  RandomEngine mRandom;
  /** Of its own: scenarios without organisations keep their sequences. */
  RandomEngine mOrganisationRandom;
  std::uint64_t mNumber = 0;
  std::size_t mPhase = 0;
  Duration mPhaseEnd{ 0 };
  double mTotalRate = 0.0;
  Duration mNextPoisson{ 0 };
  Duration mNextBurst{ 0 };
  std::uint32_t mBurstLeft = 0;
  /** Cumulative weights of the models, by class. */
  std::vector<std::vector<double>> mModelWeights;
};

} // namespace carobtide
