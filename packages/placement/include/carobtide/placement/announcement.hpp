#pragma once

/**
 * @file
 * The status announcement that each target sends about once a second.
 */

#include "carobtide/base.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace carobtide {

/** Kind of a target: a model engine or a plain service. */
enum class TargetKind : std::uint8_t
{
  Engine,
  Service,
};

inline constexpr EnumTable<TargetKind, 2> kTargetKinds{ { {
  { TargetKind::Engine, "engine" },
  { TargetKind::Service, "service" },
} } };

/** Phases of a request that an engine accepts. */
enum class EngineRole : std::uint8_t
{
  Mixed,
  Prefill,
  Decode,
};

inline constexpr EnumTable<EngineRole, 3> kEngineRoles{ { {
  { EngineRole::Mixed, "mixed" },
  { EngineRole::Prefill, "prefill" },
  { EngineRole::Decode, "decode" },
} } };

/** A model or one of its adapters, resident in accelerator memory. */
struct ResidentModel
{
  ModelName mModel;
  /** Empty for the model's own weights. */
  AdapterName mAdapter;
  std::uint32_t mVersion = 0;
  Bytes mMemory = 0;
  /** Order that loaded it; zero if it was not loaded by an order. */
  OrderId mOrder;

  bool operator==(const ResidentModel&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mModel, mAdapter, mVersion, mMemory, mOrder);
  }
};

/** Load reported by a target. Its transport delay is unknown. */
struct LoadReport
{
  /** Age of the values when the announcement was sent. */
  Duration mAge{ 0 };
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /** Fraction of the KV cache in use, 0 to 1. */
  double mKvUsed = 0.0;
  /** Requests that it can run concurrently at full speed. */
  std::uint32_t mSlots = 0;

  bool operator==(const LoadReport&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    std::int64_t age = mAge.count();
    aArchive(age, mRunning, mWaiting, mKvUsed, mSlots);
    mAge = Duration(age);
  }
};

/** Status of a target at one moment. */
struct Announcement
{
  TargetName mTarget;
  /** Changes at each start of the target process. */
  Incarnation mIncarnation;
  /** Increases with each announcement of an incarnation. */
  std::uint64_t mSequence = 0;
  FailureDomain mFailureDomain;
  Endpoint mAddress;
  TargetKind mKind = TargetKind::Engine;
  EngineRole mRole = EngineRole::Mixed;
  /** Pool (replica set) of the target, e.g. "atelier-lm". */
  std::string mPool;
  /** Accelerator memory for weights, excluding the KV cache. */
  Bytes mMemory = 0;
  std::uint32_t mAccelerators = 1;
  std::vector<ResidentModel> mResident;
  /** Orders refused or failed since process start, most recent last. */
  std::vector<OrderId> mRefusedOrders;
  /** True if it refuses orders with an older fencing token. */
  bool mChecksFencing = false;
  /** True while it drains before it stops. */
  bool mLeaving = false;
  LoadReport mLoad;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation, mSequence, mFailureDomain, mAddress, mKind,
             mRole, mPool, mMemory, mAccelerators, mResident, mRefusedOrders,
             mChecksFencing, mLeaving, mLoad);
  }
};

} // namespace carobtide
