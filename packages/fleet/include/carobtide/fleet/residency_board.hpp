#pragma once

/**
 * @file
 * The residency of all engines with the version of each change.
 */

#include "carobtide/fleet/messages.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobtide {

/**
 * Holds the leader's residency map, at the leader and at the daemons that relay
 * it, and gives the changes after any earlier version.
 *
 * Answers: hundreds of engines whose models change several times a second, and
 * watchers on narrow links that must not receive the whole map each time.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ResidencyBoard
{
public:
  /**
   * Takes the leader's own map; returns the changes since the call before, or
   * nothing if there are none. A new term starts with a complete map.
   */
  std::optional<ResidencyMap> Publish(Instant aNow, std::uint64_t aTerm,
                                      std::vector<Residency> aEngines);

  /**
   * Takes a map or an update from the leader. False if an update does not
   * continue what is held: the changes since then must be requested.
   */
  bool OnMap(Instant aNow, const ResidencyMap& aMap);

  /** True if a watcher at this version lacks something. */
  bool IsNewerThan(std::uint64_t aTerm, std::uint64_t aVersion) const;

  /** The changes after a version; complete if it is of another term. */
  ResidencyMap Since(Instant aNow, std::uint64_t aTerm,
                     std::uint64_t aVersion) const;

  std::uint64_t Term() const { return mTerm; }
  std::uint64_t Version() const { return mVersion; }

private:
  struct Entry
  {
    Residency mResidency;
    /** Version at which it changed last. */
    std::uint64_t mVersion = 0;
  };

  void Reset(std::uint64_t aTerm);

  std::uint64_t mTerm = 0;
  std::uint64_t mVersion = 0;
  /** The leader's steady clock less this daemon's, in microseconds. */
  std::int64_t mClockOffset = 0;
  std::unordered_map<TargetName, Entry> mEngines;
};

} // namespace carobtide
