#include "carobtide/ledger/ledger.hpp"

#include "ledger_store.hpp"

#include <cstring>
#include <utility>

namespace carobtide {

namespace {

/** Takes length-prefixed blocks off a snapshot in one piece. */
class BlockSplitter
{
public:
  explicit BlockSplitter(std::string_view aSnapshot)
    : mRest(aSnapshot)
  {
  }

  std::optional<std::string_view> Next()
  {
    std::uint64_t size = 0;
    if (mRest.size() < sizeof size) {
      return std::nullopt;
    }
    std::memcpy(&size, mRest.data(), sizeof size);
    if (size > mRest.size() - sizeof size) {
      return std::nullopt;
    }
    const auto block = mRest.substr(sizeof size, size);
    mRest.remove_prefix(sizeof size + size);
    return block;
  }

  bool IsAtEnd() const { return mRest.empty(); }

private:
  std::string_view mRest;
};

} // namespace

Ledger::Ledger(LedgerLimits aLimits)
  : mStore(std::make_unique<Store>(aLimits))
{
}

Ledger::~Ledger() = default;
Ledger::Ledger(Ledger&&) noexcept = default;
Ledger& Ledger::operator=(Ledger&&) noexcept = default;

LedgerOutcome Ledger::Apply(const LedgerCommand& aCommand)
{
  return std::visit(
    [&](const auto& aAlternative) { return mStore->Decide(aAlternative); },
    aCommand);
}

std::size_t Ledger::Size() const
{
  return mStore->Size();
}

std::size_t Ledger::OpenClaims() const
{
  return mStore->OpenClaims();
}

std::vector<ClaimantId> Ledger::OpenClaimants() const
{
  return mStore->OpenClaimants();
}

Bytes Ledger::TotalBytes() const
{
  return mStore->TotalBytes();
}

const LedgerLimits& Ledger::Limits() const
{
  return mStore->Limits();
}

std::string Ledger::Save() const
{
  std::string snapshot;
  SaveBlocks([&](std::string_view aBlock) {
    const std::uint64_t size = aBlock.size();
    snapshot.append(reinterpret_cast<const char*>(&size), sizeof size);
    snapshot.append(aBlock);
  });
  return snapshot;
}

Result<Unit> Ledger::Load(const std::string& aSnapshot)
{
  BlockSplitter splitter(aSnapshot);
  auto store = std::make_unique<Store>(LedgerLimits{});
  if (auto loaded = store->Load([&] { return splitter.Next(); }); !loaded) {
    return loaded;
  }
  if (!splitter.IsAtEnd()) {
    return Error{ ErrorCode::Corrupt, "ledger.load-snapshot", "",
                  "surplus bytes" };
  }
  mStore = std::move(store);
  return Success();
}

void Ledger::SaveBlocks(const BlockSink& aSink) const
{
  mStore->Save(aSink);
}

Result<Unit> Ledger::LoadBlocks(const BlockSource& aSource)
{
  auto store = std::make_unique<Store>(LedgerLimits{});
  if (auto loaded = store->Load(aSource); !loaded) {
    return loaded;
  }
  mStore = std::move(store);
  return Success();
}

} // namespace carobtide
