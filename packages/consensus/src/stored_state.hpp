#pragma once

/**
 * @file
 * What a batch does to the state on a disk.
 */

#include "carobtide/consensus/storage.hpp"

namespace carobtide {

/** True if a batch leaves no gap between stored entries and its own. */
bool FitsOnto(const RecoveredState& aState, const PersistBatch& aBatch);

/**
 * Applies a batch as every LogStorage must: the snapshot first, which keeps
 * the entries after it only if the log holds its index in its term; then the
 * entries, which replace those from their first index on. Entries that the
 * snapshot covers are skipped. Precondition: FitsOnto.
 */
void ApplyBatch(RecoveredState& aState, const PersistBatch& aBatch);

} // namespace carobtide
