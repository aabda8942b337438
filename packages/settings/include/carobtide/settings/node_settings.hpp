#pragma once

/**
 * @file
 * Settings of a daemon on a deployment where nobody keeps lists: daemons find
 * each other from seeds, targets make themselves known.
 */

#include "carobtide/base.hpp"
#include "carobtide/base/waiting_order.hpp"
#include "carobtide/settings/daemon_settings.hpp"
#include "carobtide/settings/yaml_reader.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carobtide {

/** What a daemon does. */
enum class NodeRole
{
  /** Takes callers' requests. */
  Edge,
  /** Takes heartbeats and catalogs, keeps the control log. */
  Control,
};

inline constexpr EnumTable<NodeRole, 2> kNodeRoles{ { {
  { NodeRole::Edge, "edge" },
  { NodeRole::Control, "control" },
} } };

/** Whether a function is used where it helps, or not at all. */
enum class FunctionUse
{
  Automatic,
  Off,
};

inline constexpr EnumTable<FunctionUse, 2> kFunctionUses{ { {
  { FunctionUse::Automatic, "automatic" },
  { FunctionUse::Off, "off" },
} } };

/** Everything such a daemon reads from its settings file. */
struct NodeSettings
{
  DaemonName mName;
  NodeRole mRole = NodeRole::Edge;
  FailureDomain mFailureDomain;
  /** Name of what callers, targets and operators speak. */
  std::string mDialect;
  /** Of an edge. */
  Endpoint mCallerAddress;
  Endpoint mReadinessAddress;
  /** Of a control daemon. */
  Endpoint mControlAddress;
  /** TCP and UDP address towards other daemons. */
  Endpoint mPeerAddress;
  /**
   * Where an edge takes requests of callers that other edges cannot send to a
   * target themselves; it helps nobody if unset.
   */
  std::optional<Endpoint> mRelayAddress;
  /** Where metrics are served; nowhere if unset. */
  std::optional<Endpoint> mMetricsAddress;
  /**
   * Control daemons by any of their addresses: the host counts, the peer port
   * is the same on all VMs of a deployment.
   */
  std::vector<Endpoint> mSeeds;
  /** True only when the whole deployment starts with empty disks. */
  bool mFirstStart = false;
  /** Folder of the control log. */
  std::string mDataDir;
  LogLevel mLogLevel = LogLevel::Info;
  /** Control daemons that may be lost at the same time. */
  int mToleratedLosses = 1;
  /** Between two heartbeats of a target. */
  Duration mHeartbeatInterval = std::chrono::milliseconds(1200);
  /** From the request to stop until the process is killed. */
  Duration mGracePeriod = std::chrono::seconds(8);
  /** Orders of two leaders are at least this far apart. */
  Duration mLeasePeriod = std::chrono::milliseconds(3000);
  /** Retries over all daemons: a share of the requests, and a slack. */
  double mRetryShare = 0.2;
  double mRetrySlack = 50;
  Duration mRetryWindow = std::chrono::seconds(10);
  /**
   * Least capacity of an organisation's allowance, in its unit: what the
   * deployment tolerates beyond rate and burst.
   */
  double mAllowanceSlack = 0;
  /** In which order waiting requests get capacity. */
  WaitingOrder mWaitingOrder = WaitingOrder::Automatic;
  /** Targets are selected by measured speed while their speeds spread. */
  FunctionUse mUnevenTargets = FunctionUse::Automatic;
  /** Targets whose failures stand out over all daemons are avoided. */
  FunctionUse mSharedFailures = FunctionUse::Automatic;
  /** An edge prefers targets that it has connections to. */
  FunctionUse mConnectionSubset = FunctionUse::Automatic;
  /**
   * The leader plans residency in slots times measured speed while speeds
   * spread.
   */
  FunctionUse mPlacementBySpeed = FunctionUse::Off;

  bool operator==(const NodeSettings&) const = default;
};

/** Parses and checks a settings text; either settings or every fault. */
std::variant<NodeSettings, std::vector<YamlFault>> ParseNodeSettings(
  std::string_view aText);

} // namespace carobtide
