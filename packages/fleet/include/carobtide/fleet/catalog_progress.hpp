#pragma once

/**
 * @file
 * How far a routing daemon's catalog is behind what control daemons hold.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace carobtide {

/** The first control daemon that named a version, and when. */
struct CatalogAnnouncement
{
  std::uint64_t mVersion = 0;
  Endpoint mFrom;
  Instant mAt;
};

/**
 * Follows which catalog versions control daemons name in their answers to
 * watches, and which one is in force here.
 *
 * Answers: a newer version that was announced and has not been taken over; an
 * old catalog that nobody contradicts because few control daemons answer.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CatalogProgress
{
public:
  /**
   * A control daemon answered a watch that was sent at a time, and named the
   * version in force there. True if no daemon named one as high before.
   */
  bool OnAnswer(Instant aNow, Instant aSentAt, const Endpoint& aCore,
                std::uint64_t aVersion);

  /** A version came into force here. */
  void OnInForce(std::uint64_t aVersion);

  /** A control daemon is no longer watched. */
  void Forget(const Endpoint& aCore);

  /** 0 before the first catalog. */
  std::uint64_t InForce() const { return mInForce; }

  /** The highest version that is known of, in force or not. */
  std::uint64_t Known() const;

  /** Who announced a version that is not in force; nothing if nobody did. */
  std::optional<CatalogAnnouncement> AnnouncementOf(
    std::uint64_t aVersion) const;

  /** Who named a higher version than ours last, and which. */
  std::map<Endpoint, std::uint64_t> HoldersOfNewer() const;

  /** For how long a newer version than the one in force is known of. */
  Duration Lag(Instant aNow) const;

  /**
   * The latest time for which this holds: a majority of the members, asked at
   * that time or later, named no version above the one in force. Nothing if
   * there is no such time. A member applies what is acknowledged elsewhere
   * about a heartbeat of the control log later.
   */
  std::optional<Instant> ConfirmedAt(const std::set<Endpoint>& aMembers) const;

private:
  /** What one control daemon said; times are those of its watches. */
  struct Core
  {
    std::uint64_t mVersion = 0;
    Instant mAskedAt;
    /** The last time at which it named no higher version than ours. */
    std::optional<Instant> mConfirmedAt;
  };

  void Confirm(Core& aCore) const;

  std::uint64_t mInForce = 0;
  std::map<Endpoint, Core> mCores;
  /** By version, those above the one in force. */
  std::map<std::uint64_t, CatalogAnnouncement> mAnnounced;
};

} // namespace carobtide
