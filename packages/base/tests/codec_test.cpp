#include "carobtide/base.hpp"
#include "carobtide/base/codec.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <variant>
#include <vector>

using namespace carobtide;

namespace {

struct Small
{
  std::uint32_t mNumber = 0;
  bool mFlag = false;

  bool operator==(const Small&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mNumber, mFlag);
  }
};

struct Large
{
  ModelName mName;
  Digest mDigest;
  std::vector<Small> mItems;
  std::vector<std::uint64_t> mNumbers;
  std::map<std::string, Small> mTable;
  std::variant<Small, std::string> mChoice;
  std::optional<std::string> mMaybe;

  bool operator==(const Large&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mDigest, mItems, mNumbers, mTable, mChoice, mMaybe);
  }
};

struct Wide
{
  std::string mText;
  std::array<std::uint64_t, 64> mPadding{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mText);
  }
};

Large MakeLarge()
{
  Large large;
  large.mName = ModelName("lug-advice");
  large.mDigest = ComputeDigest("lug-advice");
  large.mItems = { { 1, true }, { 2, false } };
  large.mNumbers = { 1, 2, 3 };
  large.mTable = { { "a", { 7, true } } };
  large.mChoice = std::string("text");
  large.mMaybe = "maybe";
  return large;
}

} // namespace

TEST_CASE("a message survives encoding and decoding")
{
  const Large large = MakeLarge();
  const auto decoded = Decode<Large>(Encode(large));
  REQUIRE(decoded);
  CHECK(*decoded == large);
}

TEST_CASE("every truncation of a message is refused")
{
  const std::string bytes = Encode(MakeLarge());
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    const auto decoded = Decode<Large>(bytes.substr(0, n), "entry-2");
    REQUIRE(decoded.Code() == ErrorCode::Malformed);
    REQUIRE(decoded.GetError().mPeer == "entry-2");
  }
}

TEST_CASE("surplus bytes are refused")
{
  CHECK(Decode<Small>(Encode(Small{}) + "x").Code() == ErrorCode::Malformed);
}

TEST_CASE("a length beyond the message allocates nothing")
{
  const std::uint64_t huge = std::uint64_t{ 1 } << 40;
  const std::string bytes = Encode(huge) + "abc";
  CHECK(Decode<std::string>(bytes).Code() == ErrorCode::Malformed);
  CHECK(Decode<std::vector<Small>>(bytes).Code() == ErrorCode::Malformed);
}

TEST_CASE("memory is taken as elements are found, not as a length claims")
{
  // Claims as many elements as there are bytes; half of them are there.
  constexpr std::uint64_t kBytes = 64'000;
  const std::string bytes = Encode(kBytes) + std::string(kBytes, '\0');
  std::vector<Wide> wide;
  BinaryReader whole(bytes);
  CHECK_THROWS(whole(wide));
  CHECK(wide.size() <= kBytes / sizeof(std::uint64_t) + 1);
}
