#pragma once

/**
 * @file
 * What operators are shown, as JSON objects and gauges.
 */

#include "carobtide/daemon/json_fields.hpp"
#include "context.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace carobtide {

/** Each is safe from any thread and takes the mutexes it needs. */
boost::json::object RenderStatus(const DaemonContext& aContext);
boost::json::object RenderTargets(const DaemonContext& aContext);
boost::json::object RenderPlacement(const DaemonContext& aContext);
boost::json::object RenderMembers(const DaemonContext& aContext);
boost::json::object RenderBundles(const DaemonContext& aContext);
boost::json::object RenderInForce(const DaemonContext& aContext);
boost::json::object RenderTimeline(const DaemonContext& aContext,
                                   std::int64_t aSinceMicros);

/** Values read at the time of rendering the metrics. */
std::vector<Gauge> CollectGauges(const DaemonContext& aContext);

/** What a stored version lacks in room; empty if it fits or is unknown. */
std::string CheckStoredFit(const DaemonContext& aContext,
                           const std::string& aName, std::uint64_t aVersion);

/** Applies {"action": "add"|"promote"|"remove", ...} to the members. */
Result<Unit> ApplyMemberChange(DaemonContext& aContext,
                               const JsonFields& aFields);

} // namespace carobtide
