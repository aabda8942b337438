#pragma once

/**
 * @file
 * A histogram of durations, rendered as Prometheus text.
 */

#include "carobtide/base.hpp"

#include <iosfwd>
#include <memory>
#include <string_view>

namespace carobtide {

/**
 * Sixty-four buckets from 10 us to 1000 s, evenly spread over the logarithm.
 *
 * Thread safety: all methods from any thread; Record takes no lock.
 */
class TimingHistogram
{
public:
  TimingHistogram();
  ~TimingHistogram();
  TimingHistogram(TimingHistogram&&) noexcept;
  TimingHistogram& operator=(TimingHistogram&&) noexcept;

  void Record(Duration aDuration);

  /**
   * Writes buckets, sum and count of the series `carobtide_NAME`. The labels
   * are empty or of the form `kind="stream"`.
   */
  void Render(std::ostream& aOut, std::string_view aName,
              std::string_view aLabels) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
