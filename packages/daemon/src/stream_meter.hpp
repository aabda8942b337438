#pragma once

/**
 * @file
 * Counts the events of a stream that passes by and notices its end mark.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

/**
 * Scans server-sent events in parts of any length.
 *
 * Thread safety: none.
 */
class StreamMeter
{
public:
  /** Takes the next part of the stream. */
  void Take(std::string_view aPart);

  /** Events seen since the last call. */
  std::uint32_t TakeTokens();

  /** True once the stream's last event was "data: [DONE]". */
  bool HasEnded() const;

private:
  void TakeLine();

  std::string mLine;
  std::uint32_t mTokens = 0;
  bool mEnded = false;
};

} // namespace carobtide
