#include "carobtide/cli/answer.hpp"

#include <algorithm>
#include <charconv>

namespace carobtide {

namespace {

constexpr std::uint32_t kMinDerivedLength = 16;
constexpr std::uint32_t kDerivedLengthSpread = 48;
constexpr std::size_t kBytesPerToken = 4;
constexpr int kLettersPerToken = 5;
constexpr std::uint64_t kLetters = 26;

/** Finalizer of SplitMix64 (Steele, Lea, Flood, 2014). */
std::uint64_t Mix(std::uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15ULL;
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31U);
}

std::uint32_t LengthFromPrompt(std::string_view aPrompt, std::uint64_t aSeed)
{
  const auto at = aPrompt.find(kAnswerLengthMarker);
  if (at != std::string_view::npos) {
    const char* first = aPrompt.data() + at + kAnswerLengthMarker.size();
    std::uint32_t length = 0;
    const auto parsed =
      std::from_chars(first, aPrompt.data() + aPrompt.size(), length);
    if (parsed.ec == std::errc{} && length > 0) {
      return length;
    }
  }
  return kMinDerivedLength +
         static_cast<std::uint32_t>(Mix(aSeed) % kDerivedLengthSpread);
}

} // namespace

Answer::Answer(std::string_view aModel, std::string_view aPrompt,
               std::uint32_t aMaxTokens)
  : mSeed(ComputeChecksum(aPrompt, ComputeChecksum(aModel)))
  , mLength(LengthFromPrompt(aPrompt, mSeed))
{
  if (aMaxTokens > 0) {
    mLength = std::min(mLength, aMaxTokens);
  }
}

void Answer::AppendToken(std::uint32_t aIndex, std::string& aOut) const
{
  std::uint64_t bits = Mix(mSeed ^ (0x100000001ULL * (aIndex + 1)));
  for (int i = 0; i < kLettersPerToken; ++i) {
    aOut.push_back(static_cast<char>('a' + bits % kLetters));
    bits /= kLetters;
  }
  aOut.push_back(' ');
}

std::string Answer::Text(std::uint32_t aFirst, std::uint32_t aLast) const
{
  std::string text;
  for (std::uint32_t i = aFirst; i < aLast; ++i) {
    AppendToken(i, text);
  }
  return text;
}

std::uint32_t CountTokens(std::string_view aText)
{
  return static_cast<std::uint32_t>(aText.size() / kBytesPerToken + 1);
}

} // namespace carobtide
