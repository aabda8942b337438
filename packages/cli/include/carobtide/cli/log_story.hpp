#pragma once

/**
 * @file
 * Finds a request's way through the daemons in their logs.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobtide {

/** One line of a daemon's log. */
struct LogLine
{
  std::int64_t mTimeMicros = 0;
  std::string mProcess;
  std::string mStep;
  std::string mPeer;
  /** The id that the caller gave its request; empty if it is about none. */
  std::string mCall;
  /** The id that the daemon gave a request. */
  std::uint64_t mRequest = 0;
  std::string mMessage;
  /** What the decision was made from, by name. */
  std::vector<std::pair<std::string, std::string>> mInputs;

  /** The value of an input; empty if there is none. */
  std::string_view Input(std::string_view aName) const;
};

/**
 * Reads the lines of a log. What stands before the first brace of a line is
 * skipped; lines that are no log lines are counted and left out.
 */
std::vector<LogLine> ParseLog(std::string_view aText, std::size_t& aSkipped);

/** What the logs tell of one request. */
struct RequestStory
{
  /** Lines about it and about what it relied on, in causal order. */
  std::vector<LogLine> mLines;
  /** What it came to and why, in one sentence. */
  std::string mCause;
};

/**
 * The story of a request: its own lines, and what was logged shortly before
 * and meanwhile about the targets that it was sent to and about the daemon
 * that took it. A line of one process comes after the lines that it wrote
 * before; over processes, the time of day decides.
 */
RequestStory TellStory(std::vector<LogLine> aLines, std::string_view aRequest);

/** The story as a table, times relative to the request's first line. */
std::string RenderStory(const RequestStory& aStory, std::string_view aRequest);

} // namespace carobtide
