#include "carobtide/settings/node_settings.hpp"

#include <utility>

namespace carobtide {

namespace {

constexpr int kMostLosses = 8;
constexpr double kMostRetrySlack = 1e6;
constexpr double kMaxAllowanceSlack = 1e9;

NodeRole ReadRole(const YamlNode& aNode)
{
  const std::string name = aNode.RequiredText();
  const auto role = kNodeRoles.Find(name);
  if (!role) {
    aNode.AddFault("expected edge or control, found '" + name + "'");
  }
  return role.value_or(NodeRole::Edge);
}

WaitingOrder ReadWaitingOrder(const YamlNode& aNode)
{
  const std::string name =
    aNode.TextOr(std::string(kWaitingOrders.Name(WaitingOrder::Automatic)));
  const auto order = kWaitingOrders.Find(name);
  if (!order) {
    aNode.AddFault("expected slack, arrival or automatic, found '" + name +
                   "'");
  }
  return order.value_or(WaitingOrder::Automatic);
}

FunctionUse ReadUse(const YamlNode& aNode,
                    FunctionUse aDefault = FunctionUse::Automatic)
{
  const std::string name =
    aNode.TextOr(std::string(kFunctionUses.Name(aDefault)));
  const auto use = kFunctionUses.Find(name);
  if (!use) {
    aNode.AddFault("expected automatic or off, found '" + name + "'");
  }
  return use.value_or(FunctionUse::Automatic);
}

void ReadListen(const YamlNode& aListen, NodeSettings& aSettings)
{
  if (aSettings.mRole == NodeRole::Edge) {
    aSettings.mCallerAddress = aListen.Child("callers").RequiredEndpoint();
    aSettings.mReadinessAddress = aListen.Child("readiness").RequiredEndpoint();
    if (const YamlNode relay = aListen.Child("relay"); relay.IsPresent()) {
      aSettings.mRelayAddress = relay.RequiredEndpoint();
    }
  } else {
    aSettings.mControlAddress = aListen.Child("control").RequiredEndpoint();
  }
  aSettings.mPeerAddress = aListen.Child("peers").RequiredEndpoint();
  const YamlNode metrics = aListen.Child("metrics");
  if (metrics.IsPresent()) {
    aSettings.mMetricsAddress = metrics.RequiredEndpoint();
  }
}

void ReadSeeds(const YamlNode& aSeeds, NodeSettings& aSettings)
{
  for (const YamlNode& node : aSeeds.Items()) {
    aSettings.mSeeds.push_back(node.RequiredEndpoint());
  }
  if (aSettings.mSeeds.empty()) {
    aSeeds.AddFault("expected at least one address of a control daemon");
  }
}

void ReadTimes(const YamlNode& aRoot, NodeSettings& aSettings)
{
  constexpr auto kMost = std::chrono::minutes(10);
  const auto read = [&](const char* aKey, Duration& aOut) {
    aOut = aRoot.Child(aKey).DurationOr(aOut, 10ms, kMost);
  };
  read("heartbeat_interval", aSettings.mHeartbeatInterval);
  read("grace_period", aSettings.mGracePeriod);
  read("lease_period", aSettings.mLeasePeriod);
}

void ReadRetries(const YamlNode& aRetries, NodeSettings& aSettings)
{
  aSettings.mRetryShare =
    aRetries.Child("share").NumberOr(aSettings.mRetryShare, 0, 1);
  aSettings.mRetrySlack =
    aRetries.Child("slack").NumberOr(aSettings.mRetrySlack, 0, kMostRetrySlack);
  aSettings.mRetryWindow = aRetries.Child("window").DurationOr(
    aSettings.mRetryWindow, 100ms, std::chrono::minutes(10));
}

} // namespace

std::variant<NodeSettings, std::vector<YamlFault>> ParseNodeSettings(
  std::string_view aText)
{
  const YamlDocument document(aText);
  const YamlNode root = document.Root();
  NodeSettings settings;
  settings.mName = DaemonName(root.Child("name").RequiredName());
  settings.mRole = ReadRole(root.Child("role"));
  settings.mFailureDomain =
    FailureDomain(root.Child("failure_domain").RequiredName());
  settings.mDialect = root.Child("dialect").RequiredName();
  ReadListen(root.Child("listen"), settings);
  ReadSeeds(root.Child("seeds"), settings);
  settings.mFirstStart = root.Child("first_start").BooleanOr(false);
  const YamlNode dataDir = root.Child("data_dir");
  settings.mDataDir = dataDir.TextOr("");
  if (settings.mRole == NodeRole::Control && settings.mDataDir.empty()) {
    dataDir.AddFault("expected the folder of the control log");
  }
  settings.mLogLevel = ReadLogLevel(root.Child("log_level"), LogLevel::Info);
  settings.mToleratedLosses = static_cast<int>(
    root.Child("tolerated_losses").IntegerOr(1, 0, kMostLosses));
  ReadTimes(root, settings);
  ReadRetries(root.Child("retries"), settings);
  settings.mAllowanceSlack =
    root.Child("allowance")
      .Child("slack")
      .NumberOr(settings.mAllowanceSlack, 0, kMaxAllowanceSlack);
  settings.mWaitingOrder = ReadWaitingOrder(root.Child("waiting_order"));
  settings.mUnevenTargets = ReadUse(root.Child("uneven_targets"));
  settings.mSharedFailures = ReadUse(root.Child("shared_failures"));
  settings.mConnectionSubset = ReadUse(root.Child("connection_subset"));
  settings.mPlacementBySpeed =
    ReadUse(root.Child("placement_by_speed"), FunctionUse::Off);
  if (std::vector<YamlFault> faults = document.Faults(); !faults.empty()) {
    return faults;
  }
  return settings;
}

} // namespace carobtide
