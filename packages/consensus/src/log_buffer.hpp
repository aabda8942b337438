#pragma once

/**
 * @file
 * The part of the log that a replica holds in memory.
 */

#include "carobtide/consensus/types.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace carobtide {

/**
 * Consecutive entries after a base position that is known to be committed.
 *
 * Thread safety: none; the owner guards it.
 */
class LogBuffer
{
public:
  /** Starts after a position. Precondition: `aEntries` follow it, no gaps. */
  LogBuffer(std::uint64_t aBaseIndex, std::uint64_t aBaseTerm,
            std::vector<LogEntry> aEntries);

  std::uint64_t BaseIndex() const { return mBaseIndex; }
  std::uint64_t LastIndex() const { return mBaseIndex + mEntries.size(); }
  std::uint64_t LastTerm() const;

  /** The term at an index; nothing outside [BaseIndex(), LastIndex()]. */
  std::optional<std::uint64_t> TermAt(std::uint64_t aIndex) const;

  /** Precondition: BaseIndex() < aIndex <= LastIndex(). */
  const LogEntry& At(std::uint64_t aIndex) const;

  /** Precondition: the entry's index is LastIndex() + 1. */
  void Append(LogEntry aEntry);

  /** Drops the entries from an index on. */
  void TruncateFrom(std::uint64_t aIndex);

  /**
   * The least index from BaseIndex() on after which the payloads up to aIndex
   * take no more than aMaxBytes. Precondition: BaseIndex() <= aIndex <=
   * LastIndex().
   */
  std::uint64_t IndexBefore(std::uint64_t aIndex, Bytes aMaxBytes) const;

  /** Drops the entries up to an index, which becomes the base. */
  void CompactTo(std::uint64_t aIndex);

  /** Drops everything and starts after a position. */
  void Reset(std::uint64_t aBaseIndex, std::uint64_t aBaseTerm);

  /** The first index held that has the term of `aIndex`. */
  std::uint64_t FirstIndexOfTermAt(std::uint64_t aIndex) const;

  /**
   * Copies entries from an index on: at least one if there is one, then up to
   * the limits.
   */
  std::vector<LogEntry> Slice(std::uint64_t aFrom, std::size_t aMaxEntries,
                              Bytes aMaxBytes) const;

private:
  std::uint64_t mBaseIndex;
  std::uint64_t mBaseTerm;
  std::deque<LogEntry> mEntries;
};

} // namespace carobtide
