#pragma once

/**
 * @file
 * The targets of a service that an edge prefers, so that connections are used
 * again before the target closes them.
 */

#include "carobtide/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carobtide {

/** A target that can take a request. */
struct SubsetCandidate
{
  /** Hash of its name: the same after a restart. */
  std::uint64_t mId = 0;
  /** It is in the failure domain of the edge. */
  bool mIsLocal = false;
};

/**
 * Chooses the targets that an edge prefers by rendezvous hashing: a pair of
 * edge and target ranks by the hash of both. Sans-I/O and without state.
 *
 * Load that it addresses: 58 edges in front of 95 targets. An edge sends to a
 * given target every 7 s, idle connections are closed after 4 s, and nearly
 * every request opens a connection.
 *
 * Thread safety: any thread.
 */
class TargetSubset
{
public:
  /** Services with fewer targets have no subsets, and a subset is as large. */
  static constexpr std::size_t kMinTargets = 8;

  /** aSelf: hash of the edge's address. */
  explicit TargetSubset(std::uint64_t aSelf)
    : mSelf(aSelf)
  {
  }

  /**
   * The largest subset in which a pair's requests are on average at most half
   * of aIdleTime apart, at least kMinTargets; 0 if all targets are to be used
   * alike because there are few, or because the pairs' requests are no further
   * apart than aIdleTime. aSendRate: requests a second to all targets.
   */
  static std::size_t SizeOf(double aSendRate, Duration aIdleTime,
                            std::size_t aTargets);

  /**
   * The size among the holders of a model: the same share of them, at least
   * one. aTargets: targets of the service, not 0.
   */
  static std::size_t SizeAmong(std::size_t aSize, std::size_t aHolders,
                               std::size_t aTargets);

  /**
   * Indexes of the preferred candidates, where the other edges are not known:
   * the aSize that rank first, local ones alone if there are as many. Targets
   * are preferred by equally many edges on average only.
   */
  std::vector<std::size_t> Choose(
    const std::vector<SubsetCandidate>& aCandidates, std::size_t aSize) const;

  /**
   * The same where all edges that share the targets are known, this one
   * included. The number of edges that prefer a target is within 10 in 100 of
   * even, rounded to whole edges; an edge has aSize targets on average only.
   */
  std::vector<std::size_t> ChooseBalanced(
    const std::vector<SubsetCandidate>& aCandidates,
    const std::vector<std::uint64_t>& aEdges, std::size_t aSize) const;

  /** The edges that prefer a target if all are known, see ChooseBalanced. */
  static std::vector<std::uint64_t> EdgesOf(
    std::uint64_t aTarget, const std::vector<std::uint64_t>& aEdges,
    std::size_t aTargets, std::size_t aSize);

private:
  std::uint64_t mSelf;
};

} // namespace carobtide
