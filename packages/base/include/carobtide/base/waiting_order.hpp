#pragma once

/**
 * @file
 * The order in which waiting requests get capacity, as settings state it.
 */

#include "carobtide/base/enum_table.hpp"

#include <cstdint>

namespace carobtide {

/** Setting `waiting_order`. */
enum class WaitingOrder : std::uint8_t
{
  /** By rank, see WaitingRoom. */
  Slack,
  /** All waiting requests are woken when there may be capacity. */
  Arrival,
  /** Slack while targets are uneven. */
  Automatic,
};

inline constexpr EnumTable<WaitingOrder, 3> kWaitingOrders{ { {
  { WaitingOrder::Slack, "slack" },
  { WaitingOrder::Arrival, "arrival" },
  { WaitingOrder::Automatic, "automatic" },
} } };

} // namespace carobtide
