#pragma once

/**
 * @file
 * Bounds on the served work and on the loads of any planner, computed with
 * knowledge of the whole trace.
 */

#include "scenario.hpp"

#include <cmath>
#include <limits>
#include <numeric>
#include <set>

namespace carobtide {

/** Demand of all models in one second. */
inline double TotalAt(const DemandTrace& aTrace, std::size_t aSecond)
{
  double total = 0.0;
  for (std::size_t m = 0; m < aTrace.Models(); ++m) {
    total += aTrace.At(m, aSecond);
  }
  return total;
}

/**
 * Upper bound on the work that is served within aMaxWait seconds: every target
 * is assumed to hold every model, so that all accelerators serve one queue,
 * oldest work first. Counts the seconds from aFrom on.
 */
inline double UpperBoundServed(const DemandTrace& aTrace, double aCapacity,
                               std::size_t aFrom, std::size_t aMaxWait)
{
  std::vector<double> queue(aMaxWait, 0.0);
  double served = 0.0;
  for (std::size_t t = 0; t < aTrace.Seconds(); ++t) {
    std::shift_right(queue.begin(), queue.end(), 1);
    queue.front() = TotalAt(aTrace, t);
    double left = aCapacity;
    for (auto it = queue.rbegin(); it != queue.rend(); ++it) {
      const double part = std::min(*it, left);
      *it -= part;
      left -= part;
    }
    served += t >= aFrom ? aCapacity - left : 0.0;
  }
  return served;
}

/**
 * Lower bound on the loads with which each model always has as many replicas as
 * its demand needs. The problem is relaxed: the memory of all targets is one
 * pool, and every replica is as small as the smallest model. It is then optimal
 * to evict the replica that is needed again last (Belady, "A study of
 * replacement algorithms", 1966). Counts the loads from second aFrom on.
 */
inline std::size_t LowerBoundMoves(const DemandTrace& aTrace,
                                   const Bundle& aBundle,
                                   const std::vector<PlannerTarget>& aTargets,
                                   std::size_t aFrom)
{
  constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();
  Bytes smallest = std::numeric_limits<Bytes>::max();
  for (const ModelSpec& model : aBundle.mModels) {
    smallest = std::min(smallest, model.mMemory);
  }
  Bytes memory = 0;
  for (const PlannerTarget& target : aTargets) {
    memory += target.mMemory;
  }
  const auto slots = static_cast<std::size_t>(memory / smallest);
  // In terms of paging, a page is a model and the rank of one of its replicas.
  // It is needed whenever the demand exceeds what the replicas of lower rank
  // serve.
  const auto isNeeded = [&](std::size_t aModel, std::size_t aRank,
                            std::size_t aSecond) {
    return aRank == 0 ||
           aTrace.At(aModel, aSecond) > static_cast<double>(aRank);
  };
  using Page = std::pair<std::size_t, std::size_t>;
  const auto nextUse = [&](const Page& aPage, std::size_t aSecond) {
    for (std::size_t t = aSecond; t < aTrace.Seconds(); ++t) {
      if (isNeeded(aPage.first, aPage.second, t)) {
        return t;
      }
    }
    return kNever;
  };
  std::set<Page> held;
  std::size_t moves = 0;
  for (std::size_t t = 0; t < aTrace.Seconds(); ++t) {
    for (std::size_t m = 0; m < aTrace.Models(); ++m) {
      for (std::size_t rank = 0; isNeeded(m, rank, t); ++rank) {
        if (!held.insert({ m, rank }).second) {
          continue;
        }
        moves += t >= aFrom ? 1 : 0;
        if (held.size() <= slots) {
          continue;
        }
        const auto victim = std::ranges::max_element(
          held, {}, [&](const Page& aPage) { return nextUse(aPage, t); });
        held.erase(victim);
      }
    }
  }
  return moves;
}

} // namespace carobtide
