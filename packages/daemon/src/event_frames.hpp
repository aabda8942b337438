#pragma once

/**
 * @file
 * Cuts a stream of server-sent events into whole events.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace carobtide {

/**
 * Takes bytes as they come and gives out whole events only, so that what was
 * passed on always ends between two events.
 *
 * Thread safety: none.
 */
class EventFrames
{
public:
  /** Whole events among what came so far; empty if there is none. */
  std::string Take(std::string_view aBytes);

  /** Bytes of an event that is not whole. */
  bool HasRest() const
  {
    return mRest.find_first_not_of("\r\n") != std::string::npos;
  }

  /** True if the part of an event is longer than any event may be. */
  bool IsTooLong() const
  {
    return static_cast<Bytes>(mRest.size()) > kMaxEventBytes;
  }

  /** Forgets a part of an event: the stream goes on with a whole one. */
  void DropRest() { mRest = std::string(); }

  /** The stream goes on behind this event, which the caller has. */
  void StartAfter(std::string aId) { mLastId = std::move(aId); }

  /** The id of the last whole event given out; empty if none had one. */
  const std::string& LastId() const { return mLastId; }

  std::size_t RestBytes() const { return mRest.size(); }

  static constexpr Bytes kMaxEventBytes = 256 * kKiB;

private:
  void NoteIds(std::string_view aEvents);

  std::string mRest;
  std::string mLastId;
};

} // namespace carobtide
