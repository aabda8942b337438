#include "carobtide/cli/log_story.hpp"

#include "carobtide/cli/text_table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace carobtide {

namespace json = boost::json;

namespace {

/** What was believed of a target this long before still explains a choice. */
constexpr std::int64_t kBeforeMicros = 5'000'000;
/** A crash is noticed by others this much after it broke a request. */
constexpr std::int64_t kAfterMicros = 3'000'000;
constexpr double kMicrosPerMilli = 1000.0;

/** Steps of a daemon itself that bear on every request that it has open. */
constexpr std::array<std::string_view, 9> kDaemonSteps{
  "edge.start",  "edge.stop",     "edge.stopped",
  "edge.reload", "core.regained", "catalog.in-force",
  "log.dropped", "edge.watch",    "replica.change"
};

/** Fields that every line may have; all others are inputs. */
constexpr std::array<std::string_view, 9> kCommonFields{
  "time_us", "level", "process", "step",   "peer",
  "call",    "order", "request", "message"
};

std::string TextOf(const json::object& aLine, std::string_view aKey)
{
  const json::value* value = aLine.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

template<class Number>
Number NumberOf(const json::object& aLine, std::string_view aKey)
{
  const json::value* value = aLine.if_contains(aKey);
  if (value == nullptr) {
    return 0;
  }
  json::error_code ec;
  const auto number = value->to_number<Number>(ec);
  return ec ? Number{ 0 } : number;
}

std::string InputText(const json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.get_string());
  }
  if (aValue.is_double()) {
    std::array<char, 32> buf{};
    const int n =
      std::snprintf(buf.data(), buf.size(), "%.3g", aValue.get_double());
    return { buf.data(), static_cast<std::size_t>(std::max(n, 0)) };
  }
  return json::serialize(aValue);
}

bool IsAbout(const LogLine& aLine, std::string_view aRequest)
{
  return aLine.mCall == aRequest ||
         (aLine.mRequest != 0 && std::to_string(aLine.mRequest) == aRequest);
}

/** True for what tells of a target: it left, fell silent, got an order. */
bool IsAboutTarget(const LogLine& aLine)
{
  return aLine.mStep.starts_with("target.") ||
         aLine.mStep.starts_with("order.");
}

/** Another request that broke at a target says as much as its own. */
bool IsBrokenSend(const LogLine& aLine)
{
  const std::string_view end = aLine.Input("end");
  return aLine.mStep == "request.send-ended" &&
         (end == "broken" || end == "connect-failed" || end == "timed-out");
}

/** What became of the target that a request's last send went to. */
std::string TellTarget(const std::vector<LogLine>& aLines,
                       std::string_view aTarget, std::string_view aRequest)
{
  const auto others = std::ranges::count_if(aLines, [&](const LogLine& aIt) {
    return aIt.mPeer == aTarget && IsBrokenSend(aIt) && !IsAbout(aIt, aRequest);
  });
  std::string told;
  if (others > 0) {
    told += "; " + std::to_string(others) + " other sends broke there as well";
  }
  // The latest news of it: what came before its end is history.
  const auto last =
    std::find_if(aLines.rbegin(), aLines.rend(), [&](const LogLine& aIt) {
      return aIt.mPeer == aTarget && aIt.mStep.starts_with("target.");
    });
  if (last != aLines.rend()) {
    told += "; " + last->mStep + " by " + last->mProcess;
  }
  return told;
}

/** Why the request was refused: its key, the allowance or no capacity. */
std::string TellRefusal(const LogLine& aEnd, const LogLine* aOverAllowance)
{
  const std::string reason(aEnd.Input("refused"));
  std::string told;
  if (aOverAllowance != nullptr) {
    told = "; refused: allowance of ";
    told += aOverAllowance->Input("organisation");
    told += " (cost ";
    told += aOverAllowance->Input("cost");
    told += ", balance ";
    told += aOverAllowance->Input("balance");
    told += ", retry after ";
    told += aOverAllowance->Input("retry_after_ms");
    told += " ms)";
  } else if (reason == "key") {
    const std::string key(aEnd.Input("key"));
    told = "; refused: key (" + (key.empty() ? "withdrawn" : key) + ")";
  } else if (reason == "no-capacity") {
    told = "; refused: no capacity";
  }
  return told;
}

std::string FindCause(const std::vector<LogLine>& aLines,
                      std::string_view aRequest)
{
  const LogLine* end = nullptr;
  const LogLine* refused = nullptr;
  const LogLine* sendEnded = nullptr;
  const LogLine* overAllowance = nullptr;
  for (const LogLine& line : aLines) {
    if (!IsAbout(line, aRequest)) {
      continue;
    }
    end = line.mStep == "request.end" ? &line : end;
    refused = line.mStep == "request.refused" ? &line : refused;
    overAllowance =
      line.mStep == "request.over-allowance" ? &line : overAllowance;
    sendEnded = line.mStep == "request.send-ended" ? &line : sendEnded;
  }
  if (end == nullptr) {
    return "still open, or its daemon ended before it was written";
  }
  const std::string outcome(end->Input("outcome"));
  std::string cause = outcome;
  if (refused != nullptr && outcome != "whole") {
    cause += ": ";
    cause += refused->Input("reason");
    cause += " (holders ";
    cause += refused->Input("holders");
    cause += ", least load ";
    cause += refused->Input("least_load");
    cause += ", limit ";
    cause += refused->Input("load_limit");
    cause += ")";
  }
  if (sendEnded != nullptr && sendEnded->Input("end") != "whole") {
    cause += "; the last send to " + sendEnded->mPeer + " ended ";
    cause += sendEnded->Input("end");
    cause += sendEnded->Input("then") == "final" ? " and was not repeated" : "";
    cause += TellTarget(aLines, sendEnded->mPeer, aRequest);
  }
  cause += TellRefusal(*end, overAllowance);
  if (!end->mMessage.empty() && outcome != "whole") {
    cause += "; answered: " + end->mMessage;
  }
  return cause;
}

/** Inputs and message; whose request it was if it was another's. */
std::string RenderDetail(const LogLine& aLine, std::string_view aRequest)
{
  std::string detail;
  const auto separate = [&] { detail += detail.empty() ? "" : " "; };
  for (const auto& [name, value] : aLine.mInputs) {
    separate();
    detail += name;
    detail += '=';
    detail += value;
  }
  if (!aLine.mMessage.empty()) {
    separate();
    detail += aLine.mMessage;
  }
  if (!IsAbout(aLine, aRequest) && !aLine.mCall.empty()) {
    separate();
    detail += "(request ";
    detail += aLine.mCall;
    detail += ')';
  }
  return detail;
}

} // namespace

std::string_view LogLine::Input(std::string_view aName) const
{
  const auto it = std::ranges::find(mInputs, aName, [](const auto& aIt) {
    return std::string_view(aIt.first);
  });
  return it == mInputs.end() ? std::string_view() : it->second;
}

std::vector<LogLine> ParseLog(std::string_view aText, std::size_t& aSkipped)
{
  std::vector<LogLine> lines;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const std::string_view text = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (text.empty()) {
      continue;
    }
    const std::size_t brace = std::min(text.find('{'), text.size());
    json::error_code ec;
    const std::string_view body = text.substr(brace);
    const json::value value =
      json::parse(json::string_view(body.data(), body.size()), ec);
    if (ec || !value.is_object() || !value.get_object().contains("step")) {
      ++aSkipped;
      continue;
    }
    const json::object& fields = value.get_object();
    LogLine line;
    line.mTimeMicros = NumberOf<std::int64_t>(fields, "time_us");
    line.mProcess = TextOf(fields, "process");
    line.mStep = TextOf(fields, "step");
    line.mPeer = TextOf(fields, "peer");
    line.mCall = TextOf(fields, "call");
    line.mRequest = NumberOf<std::uint64_t>(fields, "request");
    line.mMessage = TextOf(fields, "message");
    for (const auto& [name, input] : fields) {
      const std::string_view key(name.data(), name.size());
      if (std::ranges::find(kCommonFields, key) == kCommonFields.end()) {
        line.mInputs.emplace_back(key, InputText(input));
      }
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

RequestStory TellStory(std::vector<LogLine> aLines, std::string_view aRequest)
{
  std::ranges::stable_sort(aLines, {}, &LogLine::mTimeMicros);
  std::set<std::string> peers;
  std::set<std::string> processes;
  std::int64_t first = 0;
  std::int64_t last = 0;
  for (const LogLine& line : aLines) {
    if (IsAbout(line, aRequest)) {
      first = processes.empty() ? line.mTimeMicros : first;
      last = line.mTimeMicros;
      processes.insert(line.mProcess);
      if (!line.mPeer.empty()) {
        peers.insert(line.mPeer);
      }
    }
  }
  RequestStory story;
  if (processes.empty()) {
    story.mCause = "not in these logs: it went well and was left out, or a "
                   "daemon whose log is missing took it";
    return story;
  }
  const auto bears = [&](const LogLine& aIt) {
    if (IsAbout(aIt, aRequest)) {
      return true;
    }
    if (aIt.mTimeMicros < first - kBeforeMicros ||
        aIt.mTimeMicros > last + kAfterMicros) {
      return false;
    }
    const bool isPeer = peers.contains(aIt.mPeer);
    const bool isOwnDaemon =
      processes.contains(aIt.mProcess) &&
      std::ranges::find(kDaemonSteps, aIt.mStep) != kDaemonSteps.end();
    return isOwnDaemon || (isPeer && (IsAboutTarget(aIt) || IsBrokenSend(aIt)));
  };
  std::ranges::copy_if(aLines, std::back_inserter(story.mLines), bears);
  story.mCause = FindCause(story.mLines, aRequest);
  return story;
}

std::string RenderStory(const RequestStory& aStory, std::string_view aRequest)
{
  const auto own = std::ranges::find_if(
    aStory.mLines, [&](const LogLine& aIt) { return IsAbout(aIt, aRequest); });
  std::string text;
  if (own != aStory.mLines.end()) {
    TextTable table({ "ms", "process", "step", "peer", "detail" });
    for (const LogLine& line : aStory.mLines) {
      std::array<char, 32> buf{};
      const int n =
        std::snprintf(buf.data(), buf.size(), "%+.1f",
                      static_cast<double>(line.mTimeMicros - own->mTimeMicros) /
                        kMicrosPerMilli);
      table.AddRow({ std::string(buf.data(), static_cast<std::size_t>(n)),
                     line.mProcess, line.mStep,
                     line.mPeer.empty() ? "-" : line.mPeer,
                     RenderDetail(line, aRequest) });
    }
    text = table.Render() + '\n';
  }
  return text + std::string(aRequest) + ": " + aStory.mCause + '\n';
}

} // namespace carobtide
