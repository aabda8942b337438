#include "carobtide/cli/load_stats.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

constexpr double kWidth = 960;
constexpr double kPanelHeight = 220;
constexpr double kMarginLeft = 70;
constexpr double kMarginTop = 40;
constexpr double kPanelGap = 50;
constexpr double kLegendWidth = 170;
constexpr double kMinMillis = 1;
constexpr double kMaxMillis = 100'000;
constexpr int kDecades = 5;

constexpr std::array<std::string_view, 6> kColours{ "#0b6fa4", "#c2410c",
                                                    "#15803d", "#7e22ce",
                                                    "#a16207", "#be123c" };

std::string Number(double aValue)
{
  return std::to_string(std::llround(aValue));
}

std::string Text(double aX, double aY, std::string_view aText,
                 std::string_view aStyle = {})
{
  return "<text x=\"" + Number(aX) + "\" y=\"" + Number(aY) + "\" " +
         std::string(aStyle) + ">" + std::string(aText) + "</text>\n";
}

std::string Polyline(const std::string& aPoints, std::string_view aColour,
                     std::string_view aDash)
{
  return "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
         std::string(aColour) + "\" stroke-dasharray=\"" + std::string(aDash) +
         "\" points=\"" + aPoints + "\"/>\n";
}

/** Maps seconds and values to a panel's coordinates. */
struct Panel
{
  double mTop = 0;
  double mSeconds = 1;
  double mHighest = 1;

  double X(double aSecond) const
  {
    const double span = kWidth - kMarginLeft - kLegendWidth;
    return kMarginLeft + span * aSecond / mSeconds;
  }
  double LogY(double aMillis) const
  {
    const double clamped = std::clamp(aMillis, kMinMillis, kMaxMillis);
    return mTop + kPanelHeight * (1 - std::log10(clamped) / kDecades);
  }
  double LinearY(double aValue) const
  {
    return mTop + kPanelHeight * (1 - aValue / mHighest);
  }
  std::string Frame(std::string_view aTitle) const
  {
    return Text(kMarginLeft, mTop - 8, aTitle, "font-weight=\"bold\"") +
           "<rect fill=\"none\" stroke=\"#999\" x=\"" + Number(kMarginLeft) +
           "\" y=\"" + Number(mTop) + "\" width=\"" +
           Number(X(mSeconds) - kMarginLeft) + "\" height=\"" +
           Number(kPanelHeight) + "\"/>\n";
  }
};

/** One class's points of a figure over time. */
template<class Value>
std::string Points(const LoadStats& aStats, std::size_t aClass,
                   const Panel& aPanel, Value aValue)
{
  std::string points;
  for (const auto& [key, cell] : aStats.Seconds()) {
    if (key.second == aClass) {
      points += Number(aPanel.X(static_cast<double>(key.first))) + "," +
                Number(aValue(cell)) + " ";
    }
  }
  return points;
}

double Millis(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

std::string LoadStats::RenderSvg() const
{
  Panel latency;
  latency.mTop = kMarginTop;
  latency.mSeconds = std::max(
    1.0, std::chrono::duration<double>(mScenario->TotalDuration()).count());
  Panel rate = latency;
  rate.mTop = kMarginTop + kPanelHeight + kPanelGap;
  for (const auto& [key, cell] : mSeconds) {
    rate.mHighest =
      std::max(rate.mHighest, static_cast<double>(cell.Offered()));
  }
  const double height = rate.mTop + kPanelHeight + kMarginTop;
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    Number(kWidth) + "\" height=\"" + Number(height) +
                    "\" font-family=\"sans-serif\" font-size=\"12\">\n";
  svg += latency.Frame("First byte in ms: p50 dashed, p99 solid");
  for (int decade = 0; decade <= kDecades; ++decade) {
    const double millis = std::pow(10, decade);
    svg += Text(8, latency.LogY(millis) + 4, Number(millis));
  }
  svg += rate.Frame("Requests per second: offered dashed, in time solid");
  svg += Text(8, rate.mTop + 4, Number(rate.mHighest));
  svg += Text(8, rate.mTop + kPanelHeight, "0");
  svg += Text(kMarginLeft, height - 10,
              mScenario->mName + ", " + Number(rate.mSeconds) + " s");
  for (std::size_t i = 0; i < mScenario->mClasses.size(); ++i) {
    const std::string_view colour = kColours[i % kColours.size()];
    const auto quantile = [&](double aShare) {
      return Points(*this, i, latency, [&](const LoadCell& aCell) {
        return latency.LogY(Millis(aCell.mFirstByte.Quantile(aShare)));
      });
    };
    svg += Polyline(quantile(0.5), colour, "4 3");
    svg += Polyline(quantile(0.99), colour, "none");
    svg += Polyline(Points(*this, i, rate,
                           [&](const LoadCell& aCell) {
                             return rate.LinearY(
                               static_cast<double>(aCell.Offered()));
                           }),
                    colour, "4 3");
    svg += Polyline(Points(*this, i, rate,
                           [&](const LoadCell& aCell) {
                             return rate.LinearY(
                               static_cast<double>(aCell.mAttained));
                           }),
                    colour, "none");
    svg += Text(
      kWidth - kLegendWidth + 12, kMarginTop + 16 * static_cast<double>(i + 1),
      mScenario->mClasses[i].mName, "fill=\"" + std::string(colour) + "\"");
  }
  return svg + "</svg>\n";
}

} // namespace carobtide
