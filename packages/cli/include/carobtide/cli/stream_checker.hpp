#pragma once

/**
 * @file
 * Checks a stream of server-sent events against the expected answer while it
 * arrives.
 */

#include "carobtide/cli/answer.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

/** What is wrong with a stream so far. */
enum class StreamFault : std::uint8_t
{
  None,
  /** A text other than the expected one, or more of it. */
  WrongText,
  /** An event of another request. */
  WrongId,
  /** Not an event. */
  Garbage,
  /** The stream itself reports an error. */
  Error,
};

inline constexpr EnumTable<StreamFault, 5> kStreamFaults{ { {
  { StreamFault::None, "none" },
  { StreamFault::WrongText, "wrong-text" },
  { StreamFault::WrongId, "wrong-id" },
  { StreamFault::Garbage, "garbage" },
  { StreamFault::Error, "error" },
} } };

/**
 * Takes the bytes of a stream in any chunks.
 *
 * Thread safety: none. The answer must outlive the checker.
 */
class StreamChecker
{
public:
  /** `aId` is the request id that each event must carry; empty skips that. */
  StreamChecker(const Answer& aAnswer, std::string_view aId);

  /** Takes the next bytes. */
  void Feed(std::string_view aBytes);

  /** True once the end marker came after the whole expected answer. */
  bool IsWhole() const;

  StreamFault Fault() const { return mFault; }
  /** Events that carried text. */
  std::uint64_t Events() const { return mEvents; }

private:
  void TakeEvent(std::string_view aEvent);
  void TakeText(std::string_view aText);
  void Fail(StreamFault aFault);

  const Answer* mAnswer;
  std::string mIdField;
  std::string mPartial;
  std::string mExpected;
  std::uint32_t mTokens = 0;
  std::uint64_t mEvents = 0;
  bool mDone = false;
  StreamFault mFault = StreamFault::None;
};

} // namespace carobtide
