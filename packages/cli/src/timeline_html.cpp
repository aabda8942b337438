#include "carobtide/cli/timeline.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

constexpr int kTimeColumn = 230;
constexpr int kLaneWidth = 220;
constexpr int kRowHeight = 22;
constexpr int kHeaderHeight = 40;
constexpr int kDotRadius = 5;
constexpr int kMinDetailWidth = 500;
constexpr std::uint64_t kHueSteps = 360;
/** Spreads neighbouring ids over the colour circle. */
constexpr std::uint64_t kHueStride = 137;

std::string Escape(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

std::vector<std::string> LanesOf(const std::vector<Event>& aEvents)
{
  std::vector<std::string> lanes(aEvents.size());
  std::ranges::transform(aEvents, lanes.begin(), &Event::mProcess);
  std::ranges::sort(lanes);
  lanes.erase(std::unique(lanes.begin(), lanes.end()), lanes.end());
  return lanes;
}

/** Position of a lane's centre; -1 if there is no such lane. */
int LaneX(const std::vector<std::string>& aLanes, std::string_view aProcess)
{
  const auto it = std::ranges::find(aLanes, aProcess);
  if (it == aLanes.end()) {
    return -1;
  }
  return kTimeColumn + static_cast<int>(it - aLanes.begin()) * kLaneWidth +
         kLaneWidth / 2;
}

std::string ColourOf(const Event& aEvent)
{
  const std::uint64_t id = aEvent.mRequest.Value() != 0
                             ? aEvent.mRequest.Value()
                             : aEvent.mOrder.Value();
  if (id == 0) {
    return "#666";
  }
  return "hsl(" + std::to_string(id * kHueStride % kHueSteps) + ",70%,40%)";
}

std::string LabelOf(const Event& aEvent)
{
  std::string label(kEventSteps.Name(aEvent.mStep));
  if (aEvent.mRequest.Value() != 0) {
    label += " r" + std::to_string(aEvent.mRequest.Value());
  }
  if (aEvent.mOrder.Value() != 0) {
    label += " o" + std::to_string(aEvent.mOrder.Value());
  }
  return label;
}

std::string Line(int aFromX, int aFromY, int aToX, int aToY,
                 std::string_view aStyle)
{
  return "<line x1=\"" + std::to_string(aFromX) + "\" y1=\"" +
         std::to_string(aFromY) + "\" x2=\"" + std::to_string(aToX) +
         "\" y2=\"" + std::to_string(aToY) + "\" " + std::string(aStyle) + "/>";
}

std::string Text(int aX, int aY, std::string_view aText,
                 std::string_view aStyle = {})
{
  return "<text x=\"" + std::to_string(aX) + "\" y=\"" + std::to_string(aY) +
         "\" " + std::string(aStyle) + ">" + Escape(aText) + "</text>";
}

std::string RenderRow(const Event& aEvent,
                      const std::vector<std::string>& aLanes, int aRow)
{
  constexpr int kTextDrop = 4;
  constexpr int kTextGap = 10;
  const int y = kHeaderHeight + aRow * kRowHeight + kRowHeight / 2;
  const int x = LaneX(aLanes, aEvent.mProcess);
  const int peerX = LaneX(aLanes, aEvent.mPeer);
  const std::string colour = ColourOf(aEvent);
  std::string row = "<g class=\"event\"><title>" +
                    Escape(RenderWallTime(aEvent.mStamp.mWallMicros) + " " +
                           aEvent.mPeer + " " + aEvent.mDetail) +
                    "</title>";
  row += Text(0, y + kTextDrop, RenderWallTime(aEvent.mStamp.mWallMicros),
              "class=\"time\"");
  if (peerX >= 0 && peerX != x) {
    row += Line(x, y, peerX, y,
                "stroke=\"" + colour + "\" marker-end=\"url(#arrow)\"");
  }
  row += "<circle cx=\"" + std::to_string(x) + "\" cy=\"" + std::to_string(y) +
         "\" r=\"" + std::to_string(kDotRadius) + "\" fill=\"" + colour +
         "\"/>";
  row += Text(x + kTextGap, y + kTextDrop, LabelOf(aEvent));
  std::string detail = aEvent.mPeer;
  detail += (detail.empty() || aEvent.mDetail.empty()) ? "" : ": ";
  detail += aEvent.mDetail;
  const int detailX =
    kTimeColumn + static_cast<int>(aLanes.size()) * kLaneWidth + kTextGap;
  row += Text(detailX, y + kTextDrop, detail, "class=\"time\"");
  return row + "</g>\n";
}

constexpr std::string_view kPageHead =
  "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
  "<title>carobtide time line</title><style>"
  "body{font:13px sans-serif;margin:16px}"
  "text{font:12px sans-serif}.time{fill:#777}.lane{font-weight:bold}"
  "</style></head><body><h1>Time line</h1>"
  "<p>Earlier events stand above later ones, in causal order. One lane per "
  "process; a line leads to the peer.</p>"
  "<label>Show only rows with <input id=\"filter\"></label>\n";

constexpr std::string_view kPageTail =
  "<script>document.getElementById('filter').oninput=function(e){"
  "document.querySelectorAll('.event').forEach(function(g){"
  "g.style.display=g.textContent.indexOf(e.target.value)<0?'none':'';});};"
  "</script></body></html>\n";

} // namespace

std::string RenderTimelineHtml(const std::vector<Event>& aEvents)
{
  constexpr int kLaneTitleY = 16;
  const std::vector<std::string> lanes = LanesOf(aEvents);
  const int height =
    kHeaderHeight + static_cast<int>(aEvents.size() + 1) * kRowHeight;
  const int width =
    kTimeColumn + static_cast<int>(lanes.size()) * kLaneWidth + kMinDetailWidth;
  std::string page(kPageHead);
  page += "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
          std::to_string(width) + "\" height=\"" + std::to_string(height) +
          "\"><defs><marker id=\"arrow\" markerWidth=\"8\" markerHeight=\"8\" "
          "refX=\"7\" refY=\"4\" orient=\"auto\"><path d=\"M0,0L8,4L0,8z\" "
          "fill=\"#666\"/></marker></defs>\n";
  for (const std::string& lane : lanes) {
    const int x = LaneX(lanes, lane);
    page += Text(x, kLaneTitleY, lane, "class=\"lane\" text-anchor=\"middle\"");
    page += Line(x, kHeaderHeight / 2, x, height, "stroke=\"#ddd\"") + "\n";
  }
  int row = 0;
  for (const Event& event : aEvents) {
    page += RenderRow(event, lanes, row++);
  }
  return page.append("</svg>\n").append(kPageTail);
}

} // namespace carobtide
