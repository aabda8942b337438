#pragma once

/**
 * @file
 * What daemons tell each other of open streams while targets of several
 * software versions serve.
 */

#include "carobtide/base.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carobtide {

/** Identifies a stream: a hash of the request that brought its first event. */
using StreamKey = std::uint64_t;

/** Thread safety: any thread. */
StreamKey MakeStreamKey(std::string_view aRequestId);

/** What began a stream; nothing else may go on with it. */
struct StreamOrigin
{
  ServiceName mService;
  SoftwareVersion mSoftware;

  auto operator<=>(const StreamOrigin&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mSoftware);
  }
};

/** Streams of one origin. */
struct StreamGroup
{
  StreamOrigin mOrigin;
  std::vector<StreamKey> mStreams;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrigin, mStreams);
  }
};

/** From routing daemons to control daemons: streams that have begun. */
struct StreamNotice
{
  std::vector<StreamGroup> mGroups;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mGroups);
  }
};

/** Asks a control daemon what began a stream. */
struct StreamQuery
{
  StreamKey mStream = 0;
  ServiceName mService;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStream, mService);
  }
};

/** The software versions of one service that a daemon has seen serve lately. */
struct SoftwareSeen
{
  std::vector<SoftwareVersion> mVersions;
  /** The daemon has watched for as long as any stream lasts. */
  bool mIsComplete = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersions, mIsComplete);
  }
};

/** The software versions of one service that have served lately. */
struct ServiceSoftware
{
  ServiceName mService;
  std::vector<SoftwareVersion> mVersions;

  bool operator==(const ServiceSoftware&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mVersions);
  }
};

/** What a control daemon keeps on disk of the versions that have served. */
struct SoftwareRecord
{
  static constexpr std::uint32_t kFormat = 1;

  std::uint32_t mFormat = kFormat;
  /** It held all versions of a whole window when it was written. */
  bool mIsComplete = false;
  std::vector<ServiceSoftware> mServices;

  bool operator==(const SoftwareRecord&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFormat, mIsComplete, mServices);
  }
};

struct StreamReply
{
  /** Nothing if the daemon was not told of the stream. */
  std::optional<StreamOrigin> mOrigin;
  SoftwareSeen mSeen;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrigin, mSeen);
  }
};

} // namespace carobtide
