/**
 * @file
 * In-memory log of a replica.
 */

#include "log_buffer.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace carobtide {

LogBuffer::LogBuffer(std::uint64_t aBaseIndex, std::uint64_t aBaseTerm,
                     std::vector<LogEntry> aEntries)
  : mBaseIndex(aBaseIndex)
  , mBaseTerm(aBaseTerm)
  , mEntries(std::make_move_iterator(aEntries.begin()),
             std::make_move_iterator(aEntries.end()))
{
  assert(mEntries.empty() || mEntries.front().mIndex == mBaseIndex + 1);
}

std::uint64_t LogBuffer::LastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().mTerm;
}

std::optional<std::uint64_t> LogBuffer::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == mBaseIndex) {
    return mBaseTerm;
  }
  if (aIndex < mBaseIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).mTerm;
}

const LogEntry& LogBuffer::At(std::uint64_t aIndex) const
{
  assert(aIndex > mBaseIndex && aIndex <= LastIndex());
  return mEntries[aIndex - mBaseIndex - 1];
}

void LogBuffer::Append(LogEntry aEntry)
{
  assert(aEntry.mIndex == LastIndex() + 1);
  mEntries.push_back(std::move(aEntry));
}

void LogBuffer::TruncateFrom(std::uint64_t aIndex)
{
  assert(aIndex > mBaseIndex);
  if (aIndex <= LastIndex()) {
    mEntries.resize(aIndex - mBaseIndex - 1);
  }
}

std::uint64_t LogBuffer::IndexBefore(std::uint64_t aIndex,
                                     Bytes aMaxBytes) const
{
  Bytes bytes = 0;
  for (auto n = aIndex; n > mBaseIndex; --n) {
    bytes += static_cast<Bytes>(At(n).mPayload.size());
    if (bytes > aMaxBytes) {
      return n;
    }
  }
  return mBaseIndex;
}

void LogBuffer::CompactTo(std::uint64_t aIndex)
{
  if (aIndex <= mBaseIndex) {
    return;
  }
  assert(aIndex <= LastIndex());
  mBaseTerm = At(aIndex).mTerm;
  const auto count = static_cast<std::ptrdiff_t>(aIndex - mBaseIndex);
  mEntries.erase(mEntries.begin(), mEntries.begin() + count);
  mBaseIndex = aIndex;
}

void LogBuffer::Reset(std::uint64_t aBaseIndex, std::uint64_t aBaseTerm)
{
  mEntries.clear();
  mBaseIndex = aBaseIndex;
  mBaseTerm = aBaseTerm;
}

std::uint64_t LogBuffer::FirstIndexOfTermAt(std::uint64_t aIndex) const
{
  const auto held =
    mEntries.begin() + static_cast<std::ptrdiff_t>(aIndex - mBaseIndex);
  const auto it = std::ranges::lower_bound(
    mEntries.begin(), held, At(aIndex).mTerm, {}, &LogEntry::mTerm);
  return it->mIndex;
}

std::vector<LogEntry> LogBuffer::Slice(std::uint64_t aFrom,
                                       std::size_t aMaxEntries,
                                       Bytes aMaxBytes) const
{
  std::vector<LogEntry> entries;
  Bytes bytes = 0;
  for (auto n = aFrom; n <= LastIndex() && entries.size() < aMaxEntries; ++n) {
    const LogEntry& entry = At(n);
    bytes += static_cast<Bytes>(entry.mPayload.size());
    if (bytes > aMaxBytes && !entries.empty()) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

} // namespace carobtide
