#pragma once

/**
 * @file
 * Joins the effects of consecutive events.
 */

#include "carobtide/consensus/replicated_log.hpp"

namespace carobtide {

/**
 * Appends the effects of a later event to those of an earlier one of the same
 * replica. Precondition: at most one of the two carries a batch to persist.
 */
void MergeEffects(LogEffects& aInto, LogEffects&& aLater);

} // namespace carobtide
