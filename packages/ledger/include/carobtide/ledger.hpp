#pragma once

/**
 * @file
 * Umbrella header of package ledger: the replicated record of non-idempotent
 * requests, which keeps each from running more than once.
 */

#include "carobtide/ledger/claim_flow.hpp"
#include "carobtide/ledger/ledger.hpp"
