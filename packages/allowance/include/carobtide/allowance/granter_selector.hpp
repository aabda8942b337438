#pragma once

/**
 * @file
 * Which home grants credit to an edge while homes fall silent.
 */

#include "carobtide/base.hpp"

#include <optional>

namespace carobtide {

/**
 * Selects the granter of an edge: its home, or a standby home as soon as
 * reports of requests that lack credit stay unanswered. Sans-I/O.
 *
 * Load: a home that freezes or is cut off. An edge notices that after 0.8 s
 * only, which is right for loads, but meanwhile all requests of limited
 * organisations would be refused there. Homes grant from shares of their own,
 * so that a change of the granter cannot exceed an allowance; credit of the
 * former granter is void.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class GranterSelector
{
public:
  /**
   * A reply to a report takes a round trip of a few milliseconds, and reports
   * are repeated every 5 ms while requests lack credit.
   */
  static constexpr Duration kSilence = std::chrono::milliseconds(40);
  /**
   * Least time at one granter: the lease of credit. Each change leaves credit
   * unused for so long.
   */
  static constexpr Duration kMinStay = std::chrono::milliseconds(600);

  /**
   * Sets the home and the one that would follow it. Another home is selected
   * at once, unless it is the granter already.
   */
  void SetHomes(Instant aNow, const std::optional<Endpoint>& aHome,
                const std::optional<Endpoint>& aStandby);

  /** A report was sent to the granter; aLacksCredit: requests wait for it. */
  void OnReport(Instant aNow, bool aLacksCredit);

  /** The granter answered. */
  void OnReply();

  /** Changes the granter if it is silent. True if it is another one now. */
  bool Update(Instant aNow);

  /** Nothing while no home is known. */
  const std::optional<Endpoint>& Granter() const { return mGranter; }

  /** True if requests lack credit and the granter has not answered since. */
  bool IsSilent(Instant aNow) const;

private:
  void Use(Instant aNow, const std::optional<Endpoint>& aGranter);

  std::optional<Endpoint> mHome;
  std::optional<Endpoint> mStandby;
  std::optional<Endpoint> mGranter;
  /** Time of the first report without an answer for which requests wait. */
  std::optional<Instant> mUnansweredSince;
  Instant mUsedSince;
};

} // namespace carobtide
