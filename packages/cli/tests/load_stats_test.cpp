#include "carobtide/cli/load_stats.hpp"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

using namespace carobtide;

namespace {

LoadScenario Scenario()
{
  LoadScenario scenario;
  scenario.mName = "trial";
  LoadClass loadClass;
  loadClass.mName = "short";
  loadClass.mFirstByteTarget = std::chrono::milliseconds(100);
  loadClass.mWholeTarget = std::chrono::seconds(1);
  scenario.mClasses.push_back(loadClass);
  LoadPhase warmUp;
  warmUp.mName = "warm-up";
  warmUp.mMeasured = false;
  scenario.mPhases = { warmUp, LoadPhase{ "steady" } };
  return scenario;
}

LoadRecord Record(std::size_t aPhase, LoadOutcome aOutcome,
                  std::int64_t aFirstByteMillis)
{
  LoadRecord record;
  record.mPhase = aPhase;
  record.mOutcome = aOutcome;
  record.mFirstByte = std::chrono::milliseconds(aFirstByteMillis);
  record.mTotal = record.mFirstByte + std::chrono::milliseconds(10);
  return record;
}

} // namespace

TEST_CASE("quantiles are within two in a hundred", "[stats]")
{
  LatencyHistogram histogram;
  for (int i = 1; i <= 10'000; ++i) {
    histogram.Add(std::chrono::microseconds(i * 10));
  }
  const auto p50 = static_cast<double>(histogram.Quantile(0.5).count());
  const auto p99 = static_cast<double>(histogram.Quantile(0.99).count());
  CHECK(p50 == Approx(50'000).epsilon(0.02));
  CHECK(p99 == Approx(99'000).epsilon(0.02));
  CHECK(histogram.Quantile(1.0) <= histogram.Max());
  LatencyHistogram other;
  other.Add(std::chrono::seconds(2));
  other.Merge(histogram);
  CHECK(other.Count() == 10'001);
  CHECK(other.Max() == std::chrono::seconds(2));
}

TEST_CASE("only whole answers in time attain, warm-up is left out", "[stats]")
{
  const LoadScenario scenario = Scenario();
  LoadStats stats(scenario);
  stats.Add(Record(0, LoadOutcome::Whole, 10));
  stats.Add(Record(1, LoadOutcome::Whole, 10));
  stats.Add(Record(1, LoadOutcome::Whole, 300));
  stats.Add(Record(1, LoadOutcome::Cut, 10));
  LoadStats more(scenario);
  more.Add(Record(1, LoadOutcome::NotRun, 0));
  stats.Merge(more);
  const LoadCell total = stats.Total();
  CHECK(total.Offered() == 4);
  CHECK(total.mAttained == 1);
  CHECK(total.Count(LoadOutcome::Cut) == 1);
  CHECK(total.mFirstByte.Count() == 2);
  const auto json = boost::json::parse(stats.RenderJson());
  CHECK(json.at("total").at("not_run").to_number<int>() == 1);
  CHECK(json.at("cells").as_array().size() == 2);
  CHECK(stats.RenderText().find("warm-up") != std::string::npos);
  CHECK(stats.RenderSvg().find("</svg>") != std::string::npos);
}
