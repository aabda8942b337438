// Measures the time, allocations and memory of target selection, request
// routing and router ticks for tables of several sizes.
#include "carobtide/routing.hpp"
#include "carobtide/routing/target_selector.hpp"

#include <malloc.h>

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>

using namespace carobtide;

namespace {

std::size_t gAllocations = 0;
std::size_t gLiveBytes = 0;

constexpr std::uint32_t kModelsPerTarget = 4;
constexpr int kChoices = 400'000;
constexpr int kRequests = 100'000;

/** Size of the tables. */
struct Size
{
  std::uint32_t mTargets;
  std::uint32_t mModels;
};

constexpr std::array<Size, 4> kSizes{
  { { 9, 17 }, { 70, 87 }, { 700, 870 }, { 7000, 870 } }
};

ModelName NameOf(std::uint64_t aModel)
{
  return ModelName("model-" + std::to_string(aModel));
}

Announcement MakeTarget(std::uint32_t aIndex, const Size& aSize,
                        RandomEngine& aRandom)
{
  Announcement target;
  target.mTarget = TargetName("target-" + std::to_string(aIndex));
  target.mIncarnation = Incarnation(1);
  target.mFailureDomain =
    FailureDomain("domain-" + std::to_string(aIndex % 22));
  target.mLoad.mSlots = 32;
  for (std::uint32_t it = 0; it < kModelsPerTarget; ++it) {
    // The first model of each target cycles through all models; the others are
    // skewed to the popular ones.
    const double unit = static_cast<double>(aRandom() % 1'000'000) / 1e6;
    const auto skewed = static_cast<std::uint64_t>(unit * unit * aSize.mModels);
    const std::uint64_t model = it == 0 ? aIndex % aSize.mModels : skewed;
    target.mResident.push_back({ NameOf(model), AdapterName(), 1, 0, {} });
  }
  return target;
}

/** Mean time of one of aCount operations, in nanoseconds. */
double Nanoseconds(std::chrono::steady_clock::time_point aSince, int aCount)
{
  const auto elapsed = std::chrono::steady_clock::now() - aSince;
  return std::chrono::duration<double, std::nano>(elapsed).count() / aCount;
}

/** Measures TargetSelector::Choose. */
void MeasureChoice(const Size& aSize)
{
  RandomEngine random(7);
  const std::size_t before = gLiveBytes;
  TargetTable table(FailureDomain("domain-0"));
  for (std::uint32_t it = 0; it < aSize.mTargets; ++it) {
    table.Apply(Instant(), MakeTarget(it, aSize, random));
  }
  std::vector<RouteIndex> routes;
  for (std::uint32_t it = 0; it < aSize.mModels; ++it) {
    const RouteIndex route = table.FindModelRoute(NameOf(it), AdapterName());
    if (route != kNoRoute) {
      table.Targets(route);
      routes.push_back(route);
    }
  }
  const std::size_t tableBytes = gLiveBytes - before;
  for (std::uint32_t it = 0; it < aSize.mTargets; ++it) {
    table.At(it).mOwnInFlight = random() % 40;
    table.At(it).mLatency.Observe(Instant(), 1.2);
  }
  PrefixCacheIndex prefixes;
  std::vector<std::uint64_t> prompt(8);
  for (auto& hash : prompt) {
    hash = random();
    prefixes.Insert(Instant(), random() % aSize.mTargets, hash);
  }
  TargetSelector selector("two-choices", SlotRules{}, 7);
  SelectionRequest request;
  request.mPrefixHashes = prompt;
  const std::size_t allocations = gAllocations;
  std::size_t found = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int it = 0; it < kChoices; ++it) {
    request.mRoute = routes[static_cast<std::size_t>(it) % routes.size()];
    request.mClass = static_cast<WorkClass>(it % 5);
    const TargetIndex target =
      selector.Choose(Instant(1s), request, table, prefixes);
    found += target == kNoTarget ? 0 : 1;
  }
  const double nanoseconds = Nanoseconds(start, kChoices);
  std::printf("choice  %5u targets %4u models: %7.0f ns, %zu allocations, "
              "%.2f found, tables %.2f MB, prefix index %.2f MB\n",
              aSize.mTargets, aSize.mModels, nanoseconds,
              gAllocations - allocations, static_cast<double>(found) / kChoices,
              static_cast<double>(tableBytes) / 1e6,
              static_cast<double>(prefixes.MemoryBytes()) / 1e6);
}

/** Measures ticks while every target and the queue are full. */
void MeasureBacklog(const Size& aSize, Router& aRouter, Instant aNow,
                    RequestFacts aFacts)
{
  constexpr std::uint32_t kFullLoad = 64;
  std::vector<InFlightHint> hints;
  for (std::uint32_t it = 0; it < aSize.mTargets; ++it) {
    hints.push_back(
      { TargetName("target-" + std::to_string(it)), kFullLoad, 0 });
  }
  aRouter.OnPeerHints(aNow, DaemonName("peer"), hints);
  const std::uint64_t count = aSize.mTargets + 4096ULL;
  aFacts.mPriority = PriorityClass::Standard;
  for (std::uint64_t it = 0; it < count; ++it) {
    aFacts.mId = RequestId(kRequests + it);
    aFacts.mCaller = CallerName("caller-" + std::to_string(it % 4));
    aFacts.mModel = NameOf(it % aSize.mModels);
    aRouter.Admit(aNow, aFacts);
  }
  constexpr int kTicks = 200;
  const auto tickStart = std::chrono::steady_clock::now();
  for (int it = 0; it < kTicks; ++it) {
    aNow += 5ms;
    aRouter.Tick(aNow);
  }
  const RouterStats stats = aRouter.Stats();
  std::printf("tick    %5u targets %4u models: %7.0f ns with %zu queued, %zu "
              "in flight\n",
              aSize.mTargets, aSize.mModels, Nanoseconds(tickStart, kTicks),
              stats.mQueued, stats.mInFlight);
}

/** Measures requests from admission to end, and ticks of an idle router. */
void MeasureRequests(const Size& aSize)
{
  RandomEngine random(7);
  const std::size_t before = gLiveBytes;
  RouterOptions options;
  options.mFailureDomain = FailureDomain("domain-0");
  options.mDaemons = 2100;
  Router router(options);
  for (std::uint32_t it = 0; it < aSize.mTargets; ++it) {
    router.OnAnnouncement(Instant(), MakeTarget(it, aSize, random));
  }
  RequestFacts facts;
  facts.mCaller = CallerName("fitter");
  facts.mPriority = PriorityClass::Interactive;
  Instant now(1s);
  std::size_t dispatched = 0;
  const std::size_t allocations = gAllocations;
  const auto start = std::chrono::steady_clock::now();
  for (int it = 0; it < kRequests; ++it) {
    now += 100us;
    facts.mId = RequestId(static_cast<std::uint64_t>(it));
    facts.mModel = NameOf(static_cast<std::uint64_t>(it) % aSize.mModels);
    for (const RouterEffect& effect : router.Admit(now, facts)) {
      if (const auto* dispatch = std::get_if<DispatchAttempt>(&effect)) {
        ++dispatched;
        router.OnFirstByte(now + 50us, dispatch->mAttempt);
        router.OnFinished(now + 90us, dispatch->mAttempt, AttemptEnd::Whole,
                          true);
      }
    }
  }
  const double nanoseconds = Nanoseconds(start, kRequests);
  std::printf("request %5u targets %4u models: %7.0f ns from admission to "
              "end, %.1f allocations, %.2f dispatched, router %.2f MB\n",
              aSize.mTargets, aSize.mModels, nanoseconds,
              static_cast<double>(gAllocations - allocations) / kRequests,
              static_cast<double>(dispatched) / kRequests,
              static_cast<double>(gLiveBytes - before) / 1e6);
  const auto tickStart = std::chrono::steady_clock::now();
  constexpr int kTicks = 2000;
  for (int it = 0; it < kTicks; ++it) {
    now += 5ms;
    router.Tick(now);
  }
  std::printf("tick    %5u targets %4u models: %7.0f ns when idle\n",
              aSize.mTargets, aSize.mModels, Nanoseconds(tickStart, kTicks));
  MeasureBacklog(aSize, router, now, facts);
}

} // namespace

[[gnu::noinline]] void* operator new(std::size_t aSize)
{
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  ++gAllocations;
  gLiveBytes += malloc_usable_size(memory);
  return memory;
}

[[gnu::noinline]] void operator delete(void* aMemory) noexcept
{
  gLiveBytes -= malloc_usable_size(aMemory);
  std::free(aMemory);
}

[[gnu::noinline]] void operator delete(void* aMemory,
                                       std::size_t /*aSize*/) noexcept
{
  gLiveBytes -= malloc_usable_size(aMemory);
  std::free(aMemory);
}

int main()
{
  for (const Size& size : kSizes) {
    MeasureChoice(size);
  }
  for (const Size& size : kSizes) {
    MeasureRequests(size);
  }
  return 0;
}
