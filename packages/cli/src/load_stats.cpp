#include "carobtide/cli/load_stats.hpp"

#include "carobtide/cli/text_table.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdio>
#include <numeric>

namespace carobtide {

namespace json = boost::json;

namespace {

double Millis(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::string Fixed(double aNumber)
{
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.1f", aNumber);
  return std::string(buf.data(), static_cast<std::size_t>(n));
}

json::object RenderLatency(const LatencyHistogram& aHistogram)
{
  return { { "count", aHistogram.Count() },
           { "p50", Millis(aHistogram.Quantile(0.5)) },
           { "p90", Millis(aHistogram.Quantile(0.9)) },
           { "p95", Millis(aHistogram.Quantile(0.95)) },
           { "p99", Millis(aHistogram.Quantile(0.99)) },
           { "max", Millis(aHistogram.Max()) } };
}

json::object RenderCell(const LoadCell& aCell)
{
  json::object fields;
  fields["offered"] = aCell.Offered();
  for (const auto& [outcome, name] : kLoadOutcomes.mRows) {
    fields[name] = aCell.Count(outcome);
  }
  fields["attained"] = aCell.mAttained;
  fields["events"] = aCell.mEvents;
  fields["resends"] = aCell.mResends;
  json::object statuses;
  for (const auto& [status, count] : aCell.mStatuses) {
    statuses[std::to_string(status)] = count;
  }
  fields["statuses"] = std::move(statuses);
  fields["first_byte_ms"] = RenderLatency(aCell.mFirstByte);
  fields["total_ms"] = RenderLatency(aCell.mTotal);
  return fields;
}

} // namespace

std::uint64_t LoadCell::Offered() const
{
  return std::accumulate(mOutcomes.begin(), mOutcomes.end(),
                         std::uint64_t{ 0 });
}

std::uint64_t LoadCell::Count(LoadOutcome aOutcome) const
{
  return mOutcomes[static_cast<std::size_t>(aOutcome)];
}

void LoadCell::Add(const LoadRecord& aRecord, const LoadClass& aClass)
{
  ++mOutcomes[static_cast<std::size_t>(aRecord.mOutcome)];
  ++mStatuses[aRecord.mStatus];
  mEvents += aRecord.mEvents;
  mResends += aRecord.mResends;
  if (aRecord.mOutcome != LoadOutcome::Whole) {
    return;
  }
  mFirstByte.Add(aRecord.mFirstByte);
  mTotal.Add(aRecord.mTotal);
  if (aRecord.mFirstByte <= aClass.mFirstByteTarget &&
      aRecord.mTotal <= aClass.mWholeTarget) {
    ++mAttained;
  }
}

void LoadCell::Merge(const LoadCell& aOther)
{
  for (std::size_t i = 0; i < kLoadOutcomeCount; ++i) {
    mOutcomes[i] += aOther.mOutcomes[i];
  }
  for (const auto& [status, count] : aOther.mStatuses) {
    mStatuses[status] += count;
  }
  mAttained += aOther.mAttained;
  mEvents += aOther.mEvents;
  mResends += aOther.mResends;
  mFirstByte.Merge(aOther.mFirstByte);
  mTotal.Merge(aOther.mTotal);
}

LoadStats::LoadStats(const LoadScenario& aScenario)
  : mScenario(&aScenario)
{
}

void LoadStats::Add(const LoadRecord& aRecord)
{
  const LoadClass& loadClass = mScenario->mClasses[aRecord.mClass];
  mCells[{ aRecord.mPhase, aRecord.mClass }].Add(aRecord, loadClass);
  const auto second =
    std::chrono::duration_cast<std::chrono::seconds>(aRecord.mAt).count();
  mSeconds[{ second, aRecord.mClass }].Add(aRecord, loadClass);
}

void LoadStats::Merge(const LoadStats& aOther)
{
  for (const auto& [key, cell] : aOther.mCells) {
    mCells[key].Merge(cell);
  }
  for (const auto& [key, cell] : aOther.mSeconds) {
    mSeconds[key].Merge(cell);
  }
}

LoadCell LoadStats::Total(Part aPart) const
{
  LoadCell total;
  for (const auto& [key, cell] : mCells) {
    const LoadPhase& phase = mScenario->mPhases[key.first];
    const bool isShort = mScenario->mClasses[key.second].mIsShort;
    const bool isWanted =
      aPart == Part::All || (aPart == Part::ShortWork && isShort) ||
      (aPart == Part::ShortAtCrest && isShort && phase.mIsCrest) ||
      (aPart == Part::LongWork && !isShort);
    if (phase.mMeasured && isWanted) {
      total.Merge(cell);
    }
  }
  return total;
}

Duration LoadStats::MeasuredTime() const
{
  const auto& phases = mScenario->mPhases;
  return std::accumulate(phases.begin(), phases.end(), Duration{ 0 },
                         [](Duration aSum, const LoadPhase& aPhase) {
                           return aPhase.mMeasured ? aSum + aPhase.mDuration
                                                   : aSum;
                         });
}

std::string LoadStats::RenderJson() const
{
  json::array cells;
  for (const auto& [key, cell] : mCells) {
    const LoadPhase& phase = mScenario->mPhases[key.first];
    json::object row{ { "phase", phase.mName },
                      { "class", mScenario->mClasses[key.second].mName },
                      { "measured", phase.mMeasured },
                      { "seconds", Millis(phase.mDuration) / 1000 } };
    for (auto& [name, value] : RenderCell(cell)) {
      row[name] = value;
    }
    cells.push_back(std::move(row));
  }
  return json::serialize(
    json::object{ { "scenario", mScenario->mName },
                  { "seed", mScenario->mSeed },
                  { "seconds", Millis(MeasuredTime()) / 1000 },
                  { "total", RenderCell(Total()) },
                  { "short", RenderCell(Total(Part::ShortWork)) },
                  { "short_at_crest", RenderCell(Total(Part::ShortAtCrest)) },
                  { "long", RenderCell(Total(Part::LongWork)) },
                  { "cells", std::move(cells) } });
}

std::string LoadStats::RenderText() const
{
  TextTable table({ "phase", "class", "offered", "whole", "attained", "cut",
                    "wrong", "not_run", "unknown", "failed", "unreach.",
                    "timeout", "ttfb_p50_ms", "ttfb_p99_ms", "p50_ms",
                    "p99_ms" });
  for (const auto& [key, cell] : mCells) {
    std::vector<std::string> row{
      mScenario->mPhases[key.first].mName,
      mScenario->mClasses[key.second].mName, std::to_string(cell.Offered()),
      std::to_string(cell.Count(LoadOutcome::Whole)),
      std::to_string(cell.mAttained)
    };
    for (const auto outcome :
         { LoadOutcome::Cut, LoadOutcome::Wrong, LoadOutcome::NotRun,
           LoadOutcome::Unknown, LoadOutcome::Failed, LoadOutcome::Unreachable,
           LoadOutcome::TimedOut }) {
      row.push_back(std::to_string(cell.Count(outcome)));
    }
    for (const LatencyHistogram* histogram :
         { &cell.mFirstByte, &cell.mTotal }) {
      row.push_back(Fixed(Millis(histogram->Quantile(0.5))));
      row.push_back(Fixed(Millis(histogram->Quantile(0.99))));
    }
    table.AddRow(std::move(row));
  }
  return table.Render();
}

} // namespace carobtide
