#pragma once

/**
 * @file
 * Binary encoding of messages and snapshots: cereal archives over a string,
 * little-endian, with every length checked against the bytes that are left
 * before anything is allocated. Include it only where messages are encoded.
 */

#include "carobtide/base/result.hpp"

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace carobtide {

static_assert(std::endian::native == std::endian::little,
              "the wire format is little-endian and copied as it stands");

/** Output archive that appends to a string. Thread safety: none. */
class BinaryWriter
  : public cereal::OutputArchive<BinaryWriter, cereal::AllowEmptyClassElision>
{
public:
  BinaryWriter()
    : cereal::OutputArchive<BinaryWriter, cereal::AllowEmptyClassElision>(this)
  {
  }

  void Append(const void* aData, std::size_t aSize)
  {
    mBytes.append(static_cast<const char*>(aData), aSize);
  }

  std::string Take() { return std::move(mBytes); }

private:
  std::string mBytes;
};

/** Input archive over bytes it does not own. Thread safety: none. */
class BinaryReader
  : public cereal::InputArchive<BinaryReader, cereal::AllowEmptyClassElision>
{
public:
  explicit BinaryReader(std::string_view aBytes)
    : cereal::InputArchive<BinaryReader, cereal::AllowEmptyClassElision>(this)
    , mRest(aBytes)
  {
  }

  /** Copies bytes out; throws cereal::Exception if too few are left. */
  void Copy(void* aData, std::size_t aSize)
  {
    CheckLeft(aSize);
    // An empty vector has no address, which memcpy must not be given.
    std::copy_n(mRest.begin(), aSize, static_cast<char*>(aData));
    mRest.remove_prefix(aSize);
  }

  /** Throws cereal::Exception unless that many bytes are left. */
  void CheckLeft(std::uint64_t aSize) const
  {
    if (aSize > mRest.size()) {
      throw cereal::Exception("length beyond the end of the message");
    }
  }

  std::size_t Left() const { return mRest.size(); }

private:
  std::string_view mRest;
};

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& aWriter, const T& aValue)
{
  aWriter.Append(std::addressof(aValue), sizeof aValue);
}

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BinaryReader& aReader, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    aReader.Copy(&byte, sizeof byte);
    aValue = byte != 0;
  } else {
    aReader.Copy(std::addressof(aValue), sizeof aValue);
  }
}

template<class Archive, class T>
requires std::is_same_v<Archive, BinaryWriter> ||
  std::is_same_v<Archive, BinaryReader>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& aArchive,
                                    cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& aWriter,
                               const cereal::SizeTag<T>& aTag)
{
  const std::uint64_t size = aTag.size;
  aWriter.Append(&size, sizeof size);
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BinaryReader& aReader, cereal::SizeTag<T>& aTag)
{
  std::uint64_t size = 0;
  aReader.Copy(&size, sizeof size);
  aReader.CheckLeft(size);
  aTag.size = static_cast<std::decay_t<T>>(size);
}

/**
 * Loads a vector element by element: memory is taken as the bytes for it are
 * found, not as the length claims.
 */
template<class T, class Allocator>
requires(!std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(
  BinaryReader& aReader, std::vector<T, Allocator>& aVector)
{
  constexpr std::size_t kMaxReserved = 1024;
  cereal::size_type size = 0;
  aReader(cereal::make_size_tag(size));
  aVector.clear();
  aVector.reserve(std::min(static_cast<std::size_t>(size), kMaxReserved));
  for (cereal::size_type i = 0; i < size; ++i) {
    aReader(aVector.emplace_back());
  }
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& aWriter,
                               const cereal::BinaryData<T>& aData)
{
  aWriter.Append(aData.data, static_cast<std::size_t>(aData.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BinaryReader& aReader,
                               cereal::BinaryData<T>& aData)
{
  aReader.Copy(aData.data, static_cast<std::size_t>(aData.size));
}

/** Encodes a message. Thread safety: any thread. */
template<class T>
std::string Encode(const T& aMessage)
{
  BinaryWriter writer;
  writer(aMessage);
  return writer.Take();
}

/**
 * Decodes a message; Malformed on truncated, wrong or surplus bytes. `aPeer`
 * names where the bytes came from. Thread safety: any thread.
 */
template<class T>
Result<T> Decode(std::string_view aBytes, std::string_view aPeer = {})
{
  const auto fail = [&](const char* aWhy) {
    return Error{ ErrorCode::Malformed, "codec.decode", std::string(aPeer),
                  aWhy };
  };
  try {
    BinaryReader reader(aBytes);
    T message{};
    reader(message);
    if (reader.Left() != 0) {
      return fail("surplus bytes");
    }
    return message;
  } catch (const std::exception& error) {
    return fail(error.what());
  }
}

} // namespace carobtide

CEREAL_REGISTER_ARCHIVE(carobtide::BinaryWriter)
CEREAL_REGISTER_ARCHIVE(carobtide::BinaryReader)
CEREAL_SETUP_ARCHIVE_TRAITS(carobtide::BinaryReader, carobtide::BinaryWriter)
