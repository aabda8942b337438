#pragma once

/**
 * @file
 * What a target says about itself, about once a second.
 */

#include "carobtide/base.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace carobtide {

/** What a target is. */
enum class TargetKind : std::uint8_t
{
  Engine,
  Service,
};

inline constexpr EnumTable<TargetKind, 2> kTargetKinds{ { {
  { TargetKind::Engine, "engine" },
  { TargetKind::Service, "service" },
} } };

/** Which phases of a request an engine accepts. */
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

/** A model, or an adapter of one, in accelerator memory. */
struct ResidentModel
{
  ModelName mModel;
  /** Empty for the model's own weights. */
  AdapterName mAdapter;
  std::uint32_t mVersion = 0;
  Bytes mMemory = 0;
  /** The order that loaded it; zero if it was there before. */
  OrderId mOrder;

  bool operator==(const ResidentModel&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mModel, mAdapter, mVersion, mMemory, mOrder);
  }
};

/** Load as a target reports it; late by an unknown time. */
struct LoadReport
{
  /** Age of the figures when the announcement was sent. */
  Duration mAge{ 0 };
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /** Share of the KV cache in use, 0 to 1. */
  double mKvUsed = 0.0;
  /** Requests that it runs at once at full speed. */
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

/** One announcement of a target. */
struct Announcement
{
  TargetName mTarget;
  /** Changes at each start of the target process. */
  Incarnation mIncarnation;
  /** Grows with each announcement of one incarnation. */
  std::uint64_t mSequence = 0;
  FailureDomain mFailureDomain;
  Endpoint mAddress;
  TargetKind mKind = TargetKind::Engine;
  EngineRole mRole = EngineRole::Mixed;
  /** Pool (replica set) that it belongs to, e.g. "atelier-lm". */
  std::string mPool;
  /** Accelerator memory for weights, without the engine's own KV cache. */
  Bytes mMemory = 0;
  std::uint32_t mAccelerators = 1;
  std::vector<ResidentModel> mResident;
  /** Orders refused or failed since the start, most recent last. */
  std::vector<OrderId> mRefusedOrders;
  bool mChecksFencing = false;
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
