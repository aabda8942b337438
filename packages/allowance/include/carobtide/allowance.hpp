#pragma once

/**
 * @file
 * Umbrella header of package allowance: what organisations may use over all
 * daemons together, handed out as credit.
 */

#include "carobtide/allowance/allowance_buckets.hpp"
#include "carobtide/allowance/control_allowance.hpp"
#include "carobtide/allowance/credit_account.hpp"
#include "carobtide/allowance/credit_bank.hpp"
#include "carobtide/allowance/credit_messages.hpp"
#include "carobtide/allowance/credit_queue.hpp"
#include "carobtide/allowance/granter_selector.hpp"
