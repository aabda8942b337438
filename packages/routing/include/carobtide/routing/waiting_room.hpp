#pragma once

/**
 * @file
 * The requests that wait at one daemon for capacity, in the order in which they
 * are offered it.
 */

#include "carobtide/catalog.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carobtide {

/** Identifies a waiting request; 0 is none. */
using WaiterId = std::uint64_t;

/** The properties of a waiting request that its rank depends on. */
struct WaitingRequest
{
  ServiceName mService;
  /** Empty if the service is not a model engine. */
  ModelName mModel;
  OrganisationName mOrganisation;
  /** 0 is the most urgent. */
  std::uint32_t mPriority = 0;
  bool mIsTolerant = false;
  Duration mObjective{ 0 };
  /** Last time at which it can be sent and meet its objective. */
  Instant mInTimeUntil;
  /** Last time at which it can be sent and meet its deadline. */
  Instant mServableUntil = Instant::max();
  /** Expected work, to prefer short requests. */
  std::uint32_t mTokens = 0;
};

/** Requests of a class rank before all requests of the next. */
enum class WaitingClass : std::uint8_t
{
  InTime,
  /** Latency-tolerant, with time left. */
  Tolerant,
  /** The objective cannot be met any more. */
  Late,
};

inline constexpr std::size_t kWaitingClasses = 3;

inline constexpr EnumTable<WaitingClass, kWaitingClasses> kWaitingClassNames{
  { { { WaitingClass::InTime, "in-time" },
      { WaitingClass::Tolerant, "tolerant" },
      { WaitingClass::Late, "late" } } }
};

/**
 * Orders waiting requests. Before others ranks a request of a better class (see
 * WaitingClass; a latency-tolerant one counts as InTime once its slack is less
 * than a fifth of its objective), then of a more urgent priority, then of the
 * organisation that used least lately, then with less slack, then the smaller
 * one. Slack is the time until the objective, for late requests until the
 * deadline.
 *
 * A request that was offered capacity leaves the order until it is resolved:
 * removed when it was sent, returned when it found none. A returned request is
 * not offered capacity again before the next round, so that one that cannot use
 * the free targets does not block those behind it.
 *
 * Load: more work than capacity, with up to 10,000 requests waiting. Every call
 * but BeginRound takes logarithmic time in their number.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class WaitingRoom
{
public:
  /** Adds a request. */
  WaiterId Add(Instant aNow, WaitingRequest aRequest);

  /** Removes a request; an unknown id is ignored. */
  void Remove(WaiterId aId);

  /** True if the request is waiting, offered capacity or not. */
  bool Contains(WaiterId aId) const { return mEntries.contains(aId); }

  /** The best ranked request for one of the models, if any is not offered. */
  std::optional<WaiterId> Best(Instant aNow, const ServiceName& aService,
                               const std::vector<ModelName>& aModels);

  /** Precondition: Contains. */
  const WaitingRequest& Get(WaiterId aId) const;

  /** Marks the request as offered capacity. Precondition: Best returned it. */
  void Offer(WaiterId aId);

  /** An offered request found no capacity; others are ignored. */
  void Return(WaiterId aId);

  /** Returned requests take part in the order again. */
  void BeginRound(Instant aNow);

  /**
   * True if a request for the same model ranks before aRequest; aSelf is its
   * id if it waits already, else 0.
   */
  bool HasBetter(Instant aNow, const WaitingRequest& aRequest, WaiterId aSelf);

  /**
   * Waiting requests of the service, or of the model if it is given, whose
   * class and priority are not worse than those of aRequest.
   */
  std::size_t CountAhead(Instant aNow, const WaitingRequest& aRequest,
                         bool aOfModel);

  /** Records work for an organisation, in any unit that is always the same. */
  void OnUsed(Instant aNow, const OrganisationName& aOrganisation,
              double aWork);

  std::size_t Size() const { return mEntries.size(); }
  bool IsEmpty() const { return mEntries.empty(); }

  /** Waiting requests of a class. */
  std::size_t Count(WaitingClass aClass) const
  {
    return mCounts[static_cast<std::size_t>(aClass)];
  }

  /** The class of a request at a time. */
  static WaitingClass ClassOf(Instant aNow, const WaitingRequest& aRequest);

private:
  enum class Place : std::uint8_t
  {
    Ordered,
    Offered,
    Returned,
  };

  struct Entry
  {
    WaitingRequest mRequest;
    WaitingClass mClass = WaitingClass::InTime;
    Place mPlace = Place::Ordered;
    /** When the class changes. */
    Instant mChangesAt;
  };

  using LineKey = std::pair<WaitingClass, std::uint32_t>;
  /** Slack as an instant, size, id. */
  using Position = std::tuple<Instant, std::uint32_t, WaiterId>;
  using Line = std::map<OrganisationName, std::set<Position>>;
  using Counts = std::map<LineKey, std::size_t>;

  /** Requests for one model. */
  struct Group
  {
    std::map<LineKey, Line> mLines;
    /** Includes requests that are not in the order now. */
    Counts mCounts;
  };

  struct Pool
  {
    std::unordered_map<ModelName, Group> mGroups;
    Counts mCounts;
  };

  struct Use
  {
    double mWork = 0;
    Instant mAt;
  };

  struct Rank
  {
    LineKey mKey;
    double mUse = 0;
    Position mPosition;
    auto operator<=>(const Rank&) const = default;
  };

  static Instant ChangeAfter(Instant aNow, const WaitingRequest& aRequest);
  static Position PositionOf(WaiterId aId, const WaitingRequest& aRequest,
                             WaitingClass aClass);
  double UseOf(Instant aNow, const OrganisationName& aOrganisation) const;
  std::optional<Rank> BestOf(Instant aNow, const Group& aGroup) const;
  Group* FindGroup(const ServiceName& aService, const ModelName& aModel);
  void Insert(WaiterId aId, const Entry& aEntry);
  void Erase(WaiterId aId, const Entry& aEntry);
  void Count(const Entry& aEntry, bool aIsAdded);
  /** Moves requests whose class has changed. */
  void Advance(Instant aNow);

  std::unordered_map<ServiceName, Pool> mPools;
  std::unordered_map<WaiterId, Entry> mEntries;
  std::set<std::pair<Instant, WaiterId>> mChanges;
  std::vector<WaiterId> mReturned;
  std::unordered_map<OrganisationName, Use> mUses;
  std::array<std::size_t, kWaitingClasses> mCounts{};
  WaiterId mNext = 1;
};

} // namespace carobtide
