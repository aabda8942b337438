#pragma once

/**
 * @file
 * Strongly typed identifiers. Two identifiers of different kinds do not
 * compare, convert or mix.
 */

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace carobtide {

/** An identifier made of text. `Tag` only distinguishes the kinds. */
template<class Tag>
class TextId
{
public:
  TextId() = default;
  explicit TextId(std::string aText)
    : mText(std::move(aText))
  {
  }
  explicit TextId(std::string_view aText)
    : mText(aText)
  {
  }
  explicit TextId(const char* aText)
    : mText(aText)
  {
  }

  const std::string& Text() const { return mText; }
  bool IsEmpty() const { return mText.empty(); }

  auto operator<=>(const TextId&) const = default;
  bool operator==(const TextId&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mText);
  }

  friend std::ostream& operator<<(std::ostream& aOut, const TextId& aId)
  {
    return aOut << aId.mText;
  }

private:
  std::string mText;
};

/** An identifier made of a 64-bit number. */
template<class Tag>
class NumericId
{
public:
  constexpr NumericId() = default;
  constexpr explicit NumericId(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return mValue; }
  constexpr auto operator<=>(const NumericId&) const = default;
  constexpr bool operator==(const NumericId&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }

  friend std::ostream& operator<<(std::ostream& aOut, NumericId aId)
  {
    return aOut << aId.mValue;
  }

private:
  std::uint64_t mValue = 0;
};

/** A daemon's name from its settings. */
using DaemonName = TextId<struct DaemonNameTag>;
/** The name under which a target announces itself. */
using TargetName = TextId<struct TargetNameTag>;
/** The name of a failure domain, e.g. "be-central-a". */
using FailureDomain = TextId<struct FailureDomainTag>;
/** A caller named in the bundle. */
using CallerName = TextId<struct CallerNameTag>;
/** An organisation named in a catalog; its callers share keys and limits. */
using OrganisationName = TextId<struct OrganisationNameTag>;
/** A model named in the bundle. */
using ModelName = TextId<struct ModelNameTag>;
/** An adapter of a model. */
using AdapterName = TextId<struct AdapterNameTag>;
/** A plain service named in the bundle. */
using ServiceName = TextId<struct ServiceNameTag>;
/** The version of a target's software, as the target states it. */
using SoftwareVersion = TextId<struct SoftwareVersionTag>;
/** A caller's key for a non-idempotent request. */
using IdempotencyKey = TextId<struct IdempotencyKeyTag>;

/** Identifies one request through the whole system. */
using RequestId = NumericId<struct RequestIdTag>;
/** Identifies one order to a target; resends keep it. */
using OrderId = NumericId<struct OrderIdTag>;
/** Changes whenever a target process restarts. Chosen by the target. */
using Incarnation = NumericId<struct IncarnationTag>;
/** Grows with every leader term; targets that check refuse lower ones. */
using FencingToken = NumericId<struct FencingTokenTag>;
/** The log index at which the bundle in force was rolled. */
using Epoch = NumericId<struct EpochTag>;
/** A replica of a control log. A lost disk comes back under a new one. */
using ReplicaId = NumericId<struct ReplicaIdTag>;
/** One of the replicated logs that a process may host. */
using GroupId = NumericId<struct GroupIdTag>;

} // namespace carobtide

template<class Tag>
struct std::hash<carobtide::TextId<Tag>>
{
  std::size_t operator()(const carobtide::TextId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Text());
  }
};

template<class Tag>
struct std::hash<carobtide::NumericId<Tag>>
{
  std::size_t operator()(carobtide::NumericId<Tag> aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.Value());
  }
};
