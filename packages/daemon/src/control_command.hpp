#pragma once

/**
 * @file
 * The commands of the control log and what they come to.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"
#include "carobtide/ledger.hpp"
#include "carobtide/placement.hpp"

#include <cereal/types/variant.hpp>

#include <cstdint>
#include <variant>

namespace carobtide {

using ControlBody =
  std::variant<BundleCommand, LedgerCommand, PlacementCommand>;

/** One command of the log. */
struct ControlCommand
{
  /** Chosen at random by the proposer, to find its waiting call again. */
  std::uint64_t mNonce = 0;
  ControlBody mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNonce, mBody);
  }
};

template<class Archive>
void serialize(Archive& aArchive, BundleOutcome& aOutcome)
{
  aArchive(aOutcome.mCode, aOutcome.mState, aOutcome.mDigest, aOutcome.mDetail);
}

/** What a placement command came to. */
struct PlacementOutcome
{
  bool mAccepted = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccepted);
  }
};

using ControlOutcome =
  std::variant<BundleOutcome, LedgerOutcome, PlacementOutcome>;

/** The answer to a command that was forwarded to the leader. */
struct ControlReply
{
  /** Ok, NotLeader (not proposed) or OutcomeUnknown. */
  ErrorCode mCode = ErrorCode::Ok;
  /** The leader as far as the answering daemon knows; may be empty. */
  DaemonName mLeader;
  ControlOutcome mOutcome;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCode, mLeader, mOutcome);
  }
};

} // namespace carobtide
