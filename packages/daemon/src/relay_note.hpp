#pragma once

/**
 * @file
 * What two routing daemons tell each other about a request that one hands to
 * the other: one header, beside the caller's own request and the target's own
 * answer.
 */

#include "carobtide/fleet.hpp"
#include "carobtide/routing/relay_table.hpp"
#include "carobtide/transport/http_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** Between daemons only: EndToEndHeaders drops it. */
inline constexpr std::string_view kRelayHeader = "Carobtide-Relay";

/**
 * Name of the caller's organisation, beside the header above; it is absent if
 * the sender's catalog has no organisations.
 */
inline constexpr std::string_view kOrganisationHeader =
  "Carobtide-Organisation";

/** Sent with a request. */
struct RelayCall
{
  /** The catalog that the route was found in. */
  std::uint64_t mCatalogVersion = 0;
  ServiceName mService;
  /** Since the caller's request arrived, and until its answer is of no use. */
  std::int64_t mAgeMicros = 0;
  std::int64_t mLeftMicros = 0;
  /** As in DispatchState. */
  std::uint32_t mRuns = 0;
  std::uint32_t mDelivered = 0;
  std::vector<TargetName> mTried;
  std::optional<SoftwareVersion> mSoftware;
  /** The last event that the caller was sent; empty if none. */
  std::string mAfterEvent;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCatalogVersion, mService, mAgeMicros, mLeftMicros, mRuns,
             mDelivered, mTried, mSoftware, mAfterEvent);
  }
};

/** Sent with an answer. */
struct RelayAnswer
{
  RelayEnd mEnd = RelayEnd::Answered;
  /** Attempts that targets may have run, beside the one that answers. */
  std::uint32_t mRuns = 0;
  /** The target that answers. */
  TargetName mTarget;
  Incarnation mIncarnation;
  SoftwareVersion mSoftware;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEnd, mRuns, mTarget, mIncarnation, mSoftware);
  }
};

/** Adds the header. */
void WriteRelayCall(const RelayCall& aCall, HttpHeaders& aHeaders);
void WriteRelayAnswer(const RelayAnswer& aAnswer, HttpHeaders& aHeaders);

/** Malformed if the header is absent or cannot be read. */
Result<RelayCall> ReadRelayCall(const HttpHeaders& aHeaders,
                                std::string_view aPeer);
Result<RelayAnswer> ReadRelayAnswer(const HttpHeaders& aHeaders,
                                    std::string_view aPeer);

} // namespace carobtide
