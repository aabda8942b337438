/**
 * @file
 * Cost of the ledger: commands a second, memory per key, snapshots.
 */

#include "carobtide/ledger.hpp"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

using namespace carobtide;

namespace {

constexpr std::size_t kAnswerBytes = 120;

/** Processor time, so that a busy machine does not change the figures. */
double SecondsSince(std::clock_t aStart)
{
  return static_cast<double>(std::clock() - aStart) / CLOCKS_PER_SEC;
}

std::size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

LedgerKey KeyOf(std::size_t aNumber)
{
  char buf[64];
  std::snprintf(buf, sizeof buf, "%08zx-0000-4000-8000-%012zx", aNumber,
                aNumber);
  return LedgerKey{ CallerName("fitters-desk"), IdempotencyKey(buf) };
}

std::vector<LedgerCommand> MakeClaims(std::size_t aCount)
{
  const ClaimantId claimant{ DaemonName("entry-1"), 1 };
  std::vector<LedgerCommand> commands;
  commands.reserve(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    commands.emplace_back(ClaimKey{ KeyOf(n), Digest{ n, n }, claimant, n, 0 });
  }
  return commands;
}

std::vector<LedgerCommand> MakeCompletions(std::size_t aCount)
{
  const ClaimantId claimant{ DaemonName("entry-1"), 1 };
  const StoredAnswer answer{ 201, "application/json",
                             std::string(kAnswerBytes, 'x'), false };
  std::vector<LedgerCommand> commands;
  commands.reserve(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    commands.emplace_back(CompleteKey{ KeyOf(n), claimant, n, answer });
  }
  return commands;
}

void ApplyAll(Ledger& aLedger, const std::vector<LedgerCommand>& aCommands,
              const char* aName)
{
  const auto start = std::clock();
  for (const LedgerCommand& command : aCommands) {
    aLedger.Apply(command);
  }
  const double seconds = SecondsSince(start);
  const auto count = static_cast<double>(aCommands.size());
  std::printf("  %-22s %10.0f /s\n", aName, count / seconds);
}

void MeasureSnapshot(const Ledger& aLedger)
{
  const auto saving = std::clock();
  const std::string snapshot = aLedger.Save();
  const double saved = SecondsSince(saving);
  Ledger restored;
  const auto loading = std::clock();
  if (!restored.Load(snapshot)) {
    std::abort();
  }
  const double loaded = SecondsSince(loading);
  const double per100k = 100'000.0 / static_cast<double>(aLedger.Size());
  std::printf("  save, load             %10.1f, %.1f ms per 100k keys; "
              "%zu B a key\n",
              1e3 * saved * per100k, 1e3 * loaded * per100k,
              snapshot.size() / aLedger.Size());
}

void Measure(std::size_t aCount)
{
  std::printf("%zu keys, answers of %zu B\n", aCount, kAnswerBytes);
  const auto claims = MakeClaims(aCount);
  const auto completions = MakeCompletions(aCount);
  LedgerLimits limits;
  limits.mMaxTotalBytes = 4 * kGiB;
  limits.mMaxKeys = aCount;
  Ledger ledger(limits);
  const std::size_t before = HeapBytes();
  ApplyAll(ledger, claims, "claims");
  const std::size_t open = HeapBytes();
  const Bytes openCounted = ledger.TotalBytes();
  ApplyAll(ledger, completions, "completions");
  const std::size_t settled = HeapBytes();
  ApplyAll(ledger, claims, "resends (replay)");
  const auto perKey = [&](std::size_t aBytes) { return aBytes / aCount; };
  std::printf("  heap per key           %10zu B open, %zu B completed\n",
              perKey(open - before), perKey(settled - before));
  std::printf("  counted per key        %10zu B open, %zu B completed\n",
              perKey(static_cast<std::size_t>(openCounted)),
              perKey(static_cast<std::size_t>(ledger.TotalBytes())));
  MeasureSnapshot(ledger);
  ledger.Apply(ExpireKeys{ 0 });
  limits.mRetention = Duration(1);
  ledger.Apply(SetLedgerLimits{ limits });
  const auto expiring = std::clock();
  ledger.Apply(ExpireKeys{ 1'000'000 });
  std::printf("  expiry of one command  %10.1f ms, %zu keys\n",
              1e3 * SecondsSince(expiring), aCount - ledger.Size());
}

} // namespace

int main()
{
  Measure(100'000);
  Measure(1'000'000);
  return 0;
}
