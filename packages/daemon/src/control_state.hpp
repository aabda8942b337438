#pragma once

/**
 * @file
 * The replicated state machine of the control log.
 */

#include "control_command.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace carobtide {

/** A command applied, for the call that waits for it. */
struct AppliedCommand
{
  std::uint64_t mNonce = 0;
  ControlBody mBody;
  ControlOutcome mOutcome;
};

/**
 * Bundles, ledger and placement, changed by committed commands only.
 *
 * Thread safety: none; the control plane guards it.
 */
class ControlState
{
public:
  explicit ControlState(LedgerLimits aLimits);

  /**
   * Applies an entry's payload. Nothing if the payload does not decode, which
   * every replica finds alike.
   */
  std::optional<AppliedCommand> Apply(std::uint64_t aIndex,
                                      std::string_view aPayload);

  BundleRegistry& Bundles() { return mBundles; }
  const BundleRegistry& Bundles() const { return mBundles; }
  const Ledger& GetLedger() const { return mLedger; }
  const Placement& GetPlacement() const { return mPlacement; }

  /** Serializes the whole state, and restores it. */
  std::string Save() const;
  Result<Unit> Load(const std::string& aSnapshot);

private:
  ControlOutcome ApplyBody(std::uint64_t aIndex, const ControlBody& aBody);

  BundleRegistry mBundles;
  Ledger mLedger;
  Placement mPlacement;
};

} // namespace carobtide
