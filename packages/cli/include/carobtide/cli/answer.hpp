#pragma once

/**
 * @file
 * The deterministic answers of the stand-in engine. The load tool computes
 * the same ones, so that it can check each answer word by word.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

/** A prompt that holds this text crashes the stand-in target that runs it. */
inline constexpr std::string_view kCrashMarker = "crash-the-target";

/** A prompt may fix its answer's length: "answer-tokens=120". */
inline constexpr std::string_view kAnswerLengthMarker = "answer-tokens=";

/**
 * One answer: a fixed sequence of tokens for a model and a prompt.
 *
 * Thread safety: immutable.
 */
class Answer
{
public:
  /**
   * `aMaxTokens` bounds the length; 0 leaves it to the prompt's marker, or to
   * a length derived from the prompt.
   */
  Answer(std::string_view aModel, std::string_view aPrompt,
         std::uint32_t aMaxTokens);

  /** Number of tokens of the whole answer. */
  std::uint32_t Length() const { return mLength; }

  /** Appends token `aIndex`, lower-case letters and one space. */
  void AppendToken(std::uint32_t aIndex, std::string& aOut) const;

  /** The tokens from `aFirst` up to, not including, `aLast`. */
  std::string Text(std::uint32_t aFirst, std::uint32_t aLast) const;

private:
  std::uint64_t mSeed;
  std::uint32_t mLength;
};

/** Number of tokens that a stand-in engine counts in a text. */
std::uint32_t CountTokens(std::string_view aText);

} // namespace carobtide
