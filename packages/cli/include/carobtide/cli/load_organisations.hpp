#pragma once

/**
 * @file
 * Organisations of a load scenario: their parts of the requests over time, and
 * their API keys.
 */

#include "carobtide/base.hpp"
#include "carobtide/settings.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** A span in which an organisation sends a multiple of its usual rate. */
struct LoadPeak
{
  /** After the start of the run. */
  Duration mAt{ 0 };
  Duration mDuration = std::chrono::seconds(1);
  double mFactor = 1.0;
};

/** An organisation that sends a part of the requests. */
struct LoadOrganisation
{
  std::string mName;
  /** Weight of its requests; the scenario's rates are for the sum of shares. */
  double mShare = 1.0;
  std::vector<LoadPeak> mPeaks;

  /** Weight at a time after the start of the run. */
  double WeightAt(Duration aAt) const;
  /** Upper bound of WeightAt over the run. */
  double HighestWeight() const;
};

/** All organisations of a scenario; none sends requests without keys. */
struct LoadOrganisations
{
  /** Header that carries the key, and nothing else. */
  std::string mKeyHeader;
  /** Header for prompt tokens and most answer tokens; empty sends none. */
  std::string mTokenCountsHeader;
  std::vector<LoadOrganisation> mMembers;

  /**
   * Rate of all organisations at a time, as a multiple of the scenario's;
   * 1 without organisations.
   */
  double FactorAt(Duration aAt) const;
  /** Upper bound of FactorAt over the run. */
  double HighestFactor() const;
  /** Organisation of a request that arrives at a time; aPoint is in [0, 1). */
  std::size_t Draw(Duration aAt, double aPoint) const;
};

/** Reads and checks the entry of a scenario. */
LoadOrganisations ReadLoadOrganisations(const YamlNode& aNode);

/**
 * Reads the key of each organisation from a text with one "NAME KEY" per line;
 * empty lines and lines that start with '#' are skipped. The result has the
 * order of the organisations. Errors name the file and the line and never a
 * key: a line of another form, a name that is repeated or not in the scenario,
 * the same key twice, an organisation without a key.
 */
Result<std::vector<std::string>> ParseLoadKeys(
  const LoadOrganisations& aOrganisations, const std::string& aFile,
  std::string_view aText);

} // namespace carobtide
