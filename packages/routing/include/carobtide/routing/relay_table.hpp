#pragma once

/**
 * @file
 * Routing daemons that can send requests to targets that this one does not
 * reach.
 */

#include "carobtide/fleet/relay_board.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace carobtide {

/** How a request that was handed to another daemon ended. */
enum class RelayEnd : std::uint8_t
{
  /** A target's answer, or a part of it, went to the caller. */
  Answered,
  /** The other daemon had no target with room; not run. */
  Refused,
  /** The other daemon reaches no target that could take it; not run. */
  Unreachable,
  /** The other daemon could not be connected to; no byte was sent. */
  ConnectFailed,
  /** It may have run, and the other daemon gives it up. */
  Failed,
  /** The other daemon, or the way to it, was lost; it may have run. */
  Lost,
  /** No answer within the time limit. */
  TimedOut,
  CallerGone,
};

inline constexpr EnumTable<RelayEnd, 8> kRelayEnds{ { {
  { RelayEnd::Answered, "answered" },
  { RelayEnd::Refused, "refused" },
  { RelayEnd::Unreachable, "unreachable" },
  { RelayEnd::ConnectFailed, "connect-failed" },
  { RelayEnd::Failed, "failed" },
  { RelayEnd::Lost, "lost" },
  { RelayEnd::TimedOut, "timed-out" },
  { RelayEnd::CallerGone, "caller-gone" },
} } };

/**
 * A handful of other routing daemons, and how they did lately.
 *
 * Answers: daemons of a whole failure domain that lose their links to all
 * targets at once, and then all need the others.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class RelayTable
{
public:
  explicit RelayTable(FailureDomain aFailureDomain)
    : mFailureDomain(std::move(aFailureDomain))
  {
  }

  /** Replaces the daemons; what is known of those that stay is kept. */
  void SetPeers(const std::vector<RelayPeer>& aPeers);

  /**
   * The daemon with the least requests of this one, the own failure domain
   * first, among those that were not tried and that aIsUseful accepts.
   */
  std::optional<Endpoint> Choose(
    Instant aNow, const std::vector<Endpoint>& aTried,
    const std::function<bool(const Endpoint&)>& aIsUseful,
    RandomEngine& aRandom) const;

  void OnSent(const Endpoint& aRelay);
  void OnEnd(Instant aNow, const Endpoint& aRelay, RelayEnd aEnd);

  std::size_t Size() const { return mRelays.size(); }

private:
  struct Relay
  {
    bool mIsNear = false;
    std::uint32_t mInFlight = 0;
    Instant mExcludedUntil;
  };

  FailureDomain mFailureDomain;
  std::map<Endpoint, Relay> mRelays;
};

} // namespace carobtide
