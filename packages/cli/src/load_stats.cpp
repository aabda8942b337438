#include "carobtide/cli/load_stats.hpp"

#include "carobtide/cli/text_table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
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

using OrganisationFields = std::vector<std::pair<std::string, std::uint64_t>>;

/** Columns of an organisation; all but the last add up to the first. */
OrganisationFields RenderOrganisation(const LoadCell& aCell)
{
  const std::uint64_t whole = aCell.Count(LoadOutcome::Whole);
  OrganisationFields fields{ { "asked", aCell.Offered() },
                             { "in_time", aCell.mAttained },
                             { "late", whole - aCell.mAttained } };
  std::uint64_t failed = aCell.Offered() - whole;
  for (const std::uint16_t status : kRefusalStatuses) {
    const auto it = aCell.mStatuses.find(status);
    const std::uint64_t refused = it == aCell.mStatuses.end() ? 0 : it->second;
    fields.emplace_back(std::to_string(status), refused);
    failed -= refused;
  }
  fields.emplace_back("failed", failed);
  fields.emplace_back("refused_twice", aCell.mRefusedTwice);
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
  mRefusedTwice += aRecord.mRefusals > 1 ? 1 : 0;
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
  mRefusedTwice += aOther.mRefusedTwice;
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
  if (!mScenario->mOrganisations.mMembers.empty() &&
      mScenario->mPhases[aRecord.mPhase].mMeasured) {
    mOrganisations[aRecord.mOrganisation].Add(aRecord, loadClass);
  }
}

void LoadStats::Merge(const LoadStats& aOther)
{
  for (const auto& [key, cell] : aOther.mCells) {
    mCells[key].Merge(cell);
  }
  for (const auto& [key, cell] : aOther.mSeconds) {
    mSeconds[key].Merge(cell);
  }
  for (const auto& [organisation, cell] : aOther.mOrganisations) {
    mOrganisations[organisation].Merge(cell);
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
  json::array organisations;
  for (const auto& [organisation, cell] : mOrganisations) {
    json::object row{
      { "organisation", mScenario->mOrganisations.mMembers[organisation].mName }
    };
    for (const auto& [name, value] : RenderOrganisation(cell)) {
      row[name] = value;
    }
    organisations.push_back(std::move(row));
  }
  return json::serialize(
    json::object{ { "scenario", mScenario->mName },
                  { "seed", mScenario->mSeed },
                  { "seconds", Millis(MeasuredTime()) / 1000 },
                  { "total", RenderCell(Total()) },
                  { "short", RenderCell(Total(Part::ShortWork)) },
                  { "short_at_crest", RenderCell(Total(Part::ShortAtCrest)) },
                  { "long", RenderCell(Total(Part::LongWork)) },
                  { "organisations", std::move(organisations) },
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
  if (mOrganisations.empty()) {
    return table.Render();
  }
  std::vector<std::string> header{ "organisation" };
  std::ranges::transform(
    RenderOrganisation({}), std::back_inserter(header),
    [](const auto& aField) { return std::string(aField.first); });
  TextTable organisations(std::move(header));
  for (const auto& [organisation, cell] : mOrganisations) {
    std::vector<std::string> row{
      mScenario->mOrganisations.mMembers[organisation].mName
    };
    std::ranges::transform(
      RenderOrganisation(cell), std::back_inserter(row),
      [](const auto& aField) { return std::to_string(aField.second); });
    organisations.AddRow(std::move(row));
  }
  return table.Render() + "\n" + organisations.Render();
}

} // namespace carobtide
