// Measures the decisions of a waiting room with 10,000 waiting requests.
#include "carobtide/routing/waiting_room.hpp"

#include <chrono>
#include <cstdio>
#include <random>
#include <string>

using namespace carobtide;

namespace {

constexpr std::size_t kWaiting = 10'000;
constexpr int kDecisions = 100'000;
constexpr std::uint32_t kModels = 20;
constexpr std::uint32_t kOrganisations = 16;

WaitingRequest MakeRequest(Instant aNow, RandomEngine& aRandom)
{
  WaitingRequest request;
  request.mService = ServiceName("lm");
  request.mModel = ModelName("m" + std::to_string(aRandom() % kModels));
  request.mOrganisation =
    OrganisationName("o" + std::to_string(aRandom() % kOrganisations));
  request.mPriority = static_cast<std::uint32_t>(aRandom() % 3);
  request.mIsTolerant = aRandom() % 2 == 0;
  request.mObjective = request.mIsTolerant ? Duration(12s) : Duration(400ms);
  request.mInTimeUntil =
    aNow +
    Duration(static_cast<Duration::rep>(
      aRandom() % static_cast<std::uint64_t>(request.mObjective.count())));
  request.mServableUntil = request.mInTimeUntil + 4s;
  return request;
}

} // namespace

int main()
{
  RandomEngine random(1);
  Instant now{ 1000s };
  WaitingRoom room;
  while (room.Size() < kWaiting) {
    room.Add(now, MakeRequest(now, random));
  }
  const ServiceName service("lm");
  std::size_t found = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < kDecisions; ++n) {
    now += 100us;
    // One arrival, one offer, one send.
    const WaitingRequest request = MakeRequest(now, random);
    found += room.HasBetter(now, request, 0) ? 1 : 0;
    found += room.CountAhead(now, request, false);
    room.Add(now, request);
    // A target holds the model and three others.
    std::vector<ModelName> models{ request.mModel };
    while (models.size() < 4) {
      models.emplace_back("m" + std::to_string(random() % kModels));
    }
    if (const auto best = room.Best(now, service, models)) {
      room.Offer(*best);
      room.OnUsed(now, request.mOrganisation, 1);
      room.Remove(*best);
    }
  }
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - start;
  std::printf("waiting room: %zu waiting, %.2f us a decision (%zu)\n",
              room.Size(), took.count() / kDecisions, found);
  return 0;
}
