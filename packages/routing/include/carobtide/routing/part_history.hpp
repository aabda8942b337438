#pragma once

/**
 * @file
 * How requests with a shared part fared at this daemon lately.
 */

#include "carobtide/base.hpp"

#include <map>

namespace carobtide {

/**
 * Answers in full and crashes of the parts of requests, both decaying with a
 * half-life of kHalfLife. A part that crashes every target that answers it has
 * no answers; one that is merely frequent has far more answers than crashes.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class PartHistory
{
public:
  static constexpr Duration kHalfLife = 2s;
  /** Maximum number of parts; more are not recorded. */
  static constexpr std::size_t kCapacity = 8192;

  /** A request with the part was answered in full. */
  void OnAnswer(Instant aNow, const Digest& aPart);

  /** A target crashed with a request with the part in flight. */
  void OnCrash(Instant aNow, const Digest& aPart);

  /** True if answers lately outweigh crashes. */
  bool IsSound(Instant aNow, const Digest& aPart) const;

  /** When the last crash became known; the epoch if there was none. */
  Instant LastCrash(const Digest& aPart) const;

  /** Drops parts that nothing was heard of for several half-lives. */
  void Expire(Instant aNow);

private:
  struct Entry
  {
    double mAnswers = 0;
    double mCrashes = 0;
    /** When both were last decayed. */
    Instant mAt;
    Instant mCrashedAt;
  };

  Entry* Touch(Instant aNow, const Digest& aPart);
  static double DecayOf(Instant aNow, const Entry& aEntry);

  std::map<Digest, Entry> mEntries;
};

} // namespace carobtide
