#pragma once

/**
 * @file
 * The daemon's settings.
 */

#include "carobtide/base.hpp"
#include "carobtide/settings/yaml_reader.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carobtide {

/** Another daemon as the settings name it. */
struct PeerSettings
{
  DaemonName mName;
  FailureDomain mFailureDomain;
  /** TCP and UDP address of its peer port. */
  Endpoint mAddress;
  /** True if the daemon has a disk, so that its replica may vote. */
  bool mHasDisk = false;
};

/** An operator and its token. */
struct OperatorSettings
{
  std::string mName;
  std::string mToken;
};

/** Log levels, least severe first. */
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

inline constexpr EnumTable<LogLevel, 4> kLogLevels{ { {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} } };

/** Reads a level by its name; another name is a fault of the node. */
LogLevel ReadLogLevel(const YamlNode& aNode, LogLevel aDefault);

/** Everything a daemon reads from its settings file. */
struct DaemonSettings
{
  DaemonName mName;
  FailureDomain mFailureDomain;
  Endpoint mCallerAddress;
  Endpoint mOperatorAddress;
  Endpoint mPeerAddress;
  std::vector<PeerSettings> mPeers;
  /** Folder of the control log; empty on a VM without a disk. */
  std::string mDataDir;
  std::vector<OperatorSettings> mOperators;
  LogLevel mLogLevel = LogLevel::Info;
  /** Threads of the worker pool. */
  int mThreads = 4;
  /** Name of the routing policy. */
  std::string mRoutingPolicy = "two-choices";
  /** Upper bounds on what a connection may send. */
  Bytes mMaxHeaderBytes = 16 * kKiB;
  Bytes mMaxBodyBytes = 8 * kMiB;
  /** A peer that sends a header or body slower than this is cut off. */
  Duration mReadTimeout = std::chrono::seconds(30);
  /** A target silent for this long receives no new work. */
  Duration mTargetTimeout = std::chrono::seconds(3);
  /** Idempotency keys are kept for this long after completion. */
  Duration mLedgerRetention = std::chrono::hours(24);
  /** Most keys that the ledger keeps. */
  std::int64_t mLedgerMaxKeys = 1'000'000;
  /** Largest answer that the ledger stores for replay. */
  Bytes mLedgerMaxAnswerBytes = 256 * kKiB;
  /** Most memory of all keys and stored answers together. */
  Bytes mLedgerMaxTotalBytes = 512 * kMiB;
  /** Seed of this daemon's random choices; 0 takes one from the system. */
  std::uint64_t mSeed = 0;
};

/** Parses and checks a settings text; either settings or every fault. */
std::variant<DaemonSettings, std::vector<YamlFault>> ParseDaemonSettings(
  std::string_view aText);

} // namespace carobtide
