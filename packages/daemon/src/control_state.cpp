#include "control_state.hpp"

#include "carobtide/base/codec.hpp"

namespace carobtide {

namespace {

/** The parts of a snapshot. */
struct SavedState
{
  std::string mBundles;
  std::string mLedger;
  std::string mPlacement;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBundles, mLedger, mPlacement);
  }
};

} // namespace

ControlState::ControlState(LedgerLimits aLimits)
  : mLedger(aLimits)
{
}

std::optional<AppliedCommand> ControlState::Apply(std::uint64_t aIndex,
                                                  std::string_view aPayload)
{
  auto decoded = Decode<ControlCommand>(aPayload, "log");
  if (!decoded) {
    return std::nullopt;
  }
  AppliedCommand applied;
  applied.mNonce = decoded->mNonce;
  applied.mOutcome = ApplyBody(aIndex, decoded->mBody);
  applied.mBody = std::move(decoded->mBody);
  return applied;
}

ControlOutcome ControlState::ApplyBody(std::uint64_t aIndex,
                                       const ControlBody& aBody)
{
  if (const auto* bundle = std::get_if<BundleCommand>(&aBody)) {
    return mBundles.Apply(aIndex, *bundle);
  }
  if (const auto* ledger = std::get_if<LedgerCommand>(&aBody)) {
    return mLedger.Apply(*ledger);
  }
  const auto& placement = std::get<PlacementCommand>(aBody);
  return PlacementOutcome{ mPlacement.Apply(aIndex, placement) };
}

std::string ControlState::Save() const
{
  SavedState saved;
  saved.mBundles = mBundles.Save();
  saved.mLedger = mLedger.Save();
  saved.mPlacement = mPlacement.Save();
  return Encode(saved);
}

Result<Unit> ControlState::Load(const std::string& aSnapshot)
{
  const auto saved = Decode<SavedState>(aSnapshot, "snapshot");
  if (!saved) {
    return saved.GetError();
  }
  auto loaded = mBundles.Load(saved->mBundles);
  if (loaded) {
    loaded = mLedger.Load(saved->mLedger);
  }
  if (loaded) {
    loaded = mPlacement.Load(saved->mPlacement);
  }
  return loaded;
}

} // namespace carobtide
