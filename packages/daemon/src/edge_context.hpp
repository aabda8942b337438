#pragma once

/**
 * @file
 * What the requests of an edge share.
 */

#include "allowance_gate.hpp"
#include "carobtide/catalog.hpp"
#include "carobtide/daemon/dialect.hpp"
#include "carobtide/routing/content_guard.hpp"
#include "carobtide/routing/dispatcher.hpp"
#include "carobtide/transport.hpp"
#include "request_metrics.hpp"
#include "stop_schedule.hpp"
#include "watch_board.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carobtide {

/**
 * References to the parts of one edge; they outlive every request.
 *
 * Thread safety: everything on the edge's one thread.
 */
struct EdgeContext
{
  const Dialect& mDialect;
  Dispatcher& mDispatcher;
  ContentGuard& mGuard;
  HttpPool& mPool;
  /** Requests that wait; see NotifyCapacity. */
  WatchBoard& mRoom;
  /** Has the leader load an adapter, and takes note of where it is. */
  std::function<boost::asio::awaitable<void>(EnsureAdapter)> mEnsureAdapter;
  /** Finds out whether a target that lost a connection still listens. */
  std::function<boost::asio::awaitable<void>(TargetProcess, Endpoint)> mProbe;
  /** Sends and logs what the guard found. */
  std::function<void()> mReportCrashes;
  /** Tells others that a target leaves. */
  std::function<void(const TargetProcess&)> mTargetLeaves;
  /** Tells others what limit a target states to the request of this id. */
  std::function<void(const TargetProcess&, const RateLimit&, std::string_view)>
    mTargetLimited;
  /** Finds what began a stream that a caller takes up. */
  std::function<boost::asio::awaitable<std::optional<StreamOrigin>>(
    StreamQuery)>
    mFindOrigin;
  /** Takes note of what began a stream. */
  std::function<void(StreamKey, const StreamOrigin&)> mStreamBegun;
  RequestMetrics& mMetrics;
  /** Account of what requests and answers hold; null: nothing is counted. */
  std::shared_ptr<MemoryRoom> mMemory;
  /** Version of the catalog in force here. */
  std::uint64_t mCatalogVersion = 0;
  /** Requests left out of the log since the last one that was written. */
  std::uint64_t mLeftOut = 0;
  /** Bounds waiting during a planned stop; null if there is none. */
  const StopSchedule* mStop = nullptr;
  /** Organisations of the catalog in force; null before the first one. */
  std::shared_ptr<const OrganisationDirectory> mOrganisations;
  /** Admission by allowances; null: every request is admitted. */
  AllowanceGate* mAllowance = nullptr;

  /**
   * Wakes the requests that are offered capacity after an event; all if they
   * wait without an order.
   */
  void NotifyCapacity();
  /** The same without requests that wait without a rank. */
  void NotifyOffers();
};

} // namespace carobtide
