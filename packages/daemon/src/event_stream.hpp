#pragma once

/**
 * @file
 * Splits a stream of server-sent events into whole events, so that a caller
 * is never sent half of one and the stream can be resumed after any of them.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

/**
 * The number of generated tokens that a whole answer states in its usage; 0 if
 * it states none. Thread safety: any thread.
 */
std::uint32_t CountGeneratedTokens(std::string_view aBody);

/**
 * The events of one answer, over all the attempts that deliver it.
 *
 * Thread safety: none.
 */
class EventStream
{
public:
  /**
   * Takes the next part of an attempt's stream and returns the events that
   * are whole now. The view is valid until the next call.
   */
  std::string_view Take(std::string_view aPart);

  /** Drops an unfinished event: the attempt that sent it has broken off. */
  void DropPartial();

  /** An event that is not whole yet. */
  std::string_view Partial() const { return mPartial; }

  /** True if bytes of an event that is not whole were taken. */
  bool HasPartial() const
  {
    return mPartial.find_first_not_of("\r\n") != std::string::npos;
  }

  /** Token events since the last call. */
  std::uint32_t TakeTokens();

  /** Token events in all: the offset at which a resumed stream goes on. */
  std::uint64_t TokenCount() const { return mTokenCount; }

  /** True once an event told why generation stopped. */
  bool HasFinished() const { return mFinished; }

  /** True once the end mark "data: [DONE]" was seen. */
  bool HasEnded() const { return mEnded; }

private:
  void CountEvent(std::string_view aEvent);

  std::string mPartial;
  std::string mWhole;
  std::uint64_t mTokenCount = 0;
  std::uint32_t mNewTokens = 0;
  bool mFinished = false;
  bool mEnded = false;
};

} // namespace carobtide
