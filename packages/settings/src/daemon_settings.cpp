#include "carobtide/settings/daemon_settings.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace carobtide {

namespace {

/** Shortest operator token. */
constexpr std::size_t kMinTokenLength = 16;

constexpr int kMaxThreads = 256;
constexpr std::int64_t kMaxLedgerKeys = 100'000'000;

/** Reads an address that a peer or caller can connect to. */
Endpoint ReadReachable(const YamlNode& aNode)
{
  Endpoint endpoint = aNode.RequiredEndpoint();
  if (!endpoint.mHost.empty() && endpoint.mPort == 0) {
    aNode.AddFault("expected a port from 1 to 65535, found 0");
  }
  return endpoint;
}

/** Records a fault if two listeners share an address. Port 0 never clashes. */
void CheckListenersDistinct(const YamlNode& aListen,
                            const DaemonSettings& aSettings)
{
  const auto clashes = [](const Endpoint& aLeft, const Endpoint& aRight) {
    return aLeft.mPort != 0 && aLeft == aRight;
  };
  if (clashes(aSettings.mCallerAddress, aSettings.mOperatorAddress)) {
    aListen.Child("operators")
      .AddFault("expected an address of its own, found that of callers");
  }
  if (clashes(aSettings.mCallerAddress, aSettings.mPeerAddress) ||
      clashes(aSettings.mOperatorAddress, aSettings.mPeerAddress)) {
    aListen.Child("peers").AddFault(
      "expected an address of its own, found that of another listener");
  }
}

void ReadListen(const YamlNode& aListen, DaemonSettings& aSettings)
{
  aSettings.mCallerAddress = aListen.Child("callers").RequiredEndpoint();
  aSettings.mOperatorAddress = aListen.Child("operators").RequiredEndpoint();
  aSettings.mPeerAddress = aListen.Child("peers").RequiredEndpoint();
  CheckListenersDistinct(aListen, aSettings);
}

PeerSettings ReadPeer(const YamlNode& aNode)
{
  PeerSettings peer;
  peer.mName = DaemonName(aNode.Child("name").RequiredName());
  peer.mFailureDomain =
    FailureDomain(aNode.Child("failure_domain").RequiredName());
  peer.mAddress = ReadReachable(aNode.Child("address"));
  peer.mHasDisk = aNode.Child("disk").BooleanOr(false);
  return peer;
}

void ReadPeers(const YamlNode& aPeers, DaemonSettings& aSettings)
{
  std::set<DaemonName> names{ aSettings.mName };
  std::set<Endpoint> addresses{ aSettings.mPeerAddress };
  for (const YamlNode& node : aPeers.Items()) {
    PeerSettings peer = ReadPeer(node);
    if (!peer.mName.IsEmpty() && !names.insert(peer.mName).second) {
      node.Child("name").AddFault(
        "expected a name that no other daemon has, found '" +
        peer.mName.Text() + "' again");
    }
    if (!peer.mAddress.mHost.empty() &&
        !addresses.insert(peer.mAddress).second) {
      node.Child("address").AddFault(
        "expected an address that no other daemon has, found " +
        peer.mAddress.ToString() + " again");
    }
    aSettings.mPeers.push_back(std::move(peer));
  }
}

void ReadOperators(const YamlNode& aOperators, DaemonSettings& aSettings)
{
  std::set<std::string> names;
  std::set<std::string> tokens;
  for (const YamlNode& node : aOperators.Items()) {
    OperatorSettings entry;
    entry.mName = node.Child("name").RequiredName();
    const YamlNode token = node.Child("token");
    entry.mToken = token.RequiredText();
    if (!entry.mName.empty() && !names.insert(entry.mName).second) {
      node.Child("name").AddFault("expected a name that no other operator "
                                  "has, found '" +
                                  entry.mName + "' again");
    }
    if (entry.mToken.size() < kMinTokenLength) {
      token.AddFault("expected a token of at least " +
                     std::to_string(kMinTokenLength) + " characters, found " +
                     std::to_string(entry.mToken.size()));
    } else if (!tokens.insert(entry.mToken).second) {
      token.AddFault("expected a token that no other operator has");
    }
    aSettings.mOperators.push_back(std::move(entry));
  }
}

void ReadLimits(const YamlNode& aLimits, DaemonSettings& aSettings)
{
  aSettings.mMaxHeaderBytes =
    aLimits.Child("header_size").SizeOr(aSettings.mMaxHeaderBytes, kKiB, kMiB);
  aSettings.mMaxBodyBytes =
    aLimits.Child("body_size")
      .SizeOr(aSettings.mMaxBodyBytes, kKiB, 256 * kMiB);
  aSettings.mReadTimeout =
    aLimits.Child("read_timeout")
      .DurationOr(aSettings.mReadTimeout, 100ms, std::chrono::hours(1));
}

void ReadLedger(const YamlNode& aLedger, DaemonSettings& aSettings)
{
  constexpr auto kMaxRetention = std::chrono::hours(24 * 366);
  aSettings.mLedgerRetention =
    aLedger.Child("retention")
      .DurationOr(aSettings.mLedgerRetention, 1s, kMaxRetention);
  aSettings.mLedgerMaxKeys =
    aLedger.Child("max_keys")
      .IntegerOr(aSettings.mLedgerMaxKeys, 1, kMaxLedgerKeys);
  aSettings.mLedgerMaxAnswerBytes =
    aLedger.Child("max_answer_size")
      .SizeOr(aSettings.mLedgerMaxAnswerBytes, 0, 2 * kMiB);
  aSettings.mLedgerMaxTotalBytes =
    aLedger.Child("max_total_size")
      .SizeOr(aSettings.mLedgerMaxTotalBytes, kMiB);
}

void ReadTuning(const YamlNode& aRoot, DaemonSettings& aSettings)
{
  aSettings.mLogLevel =
    ReadLogLevel(aRoot.Child("log_level"), aSettings.mLogLevel);
  aSettings.mThreads = static_cast<int>(
    aRoot.Child("threads").IntegerOr(aSettings.mThreads, 1, kMaxThreads));
  const YamlNode policy = aRoot.Child("routing_policy");
  if (policy.IsPresent()) {
    aSettings.mRoutingPolicy = policy.RequiredName();
  }
  aSettings.mTargetTimeout =
    aRoot.Child("target_timeout")
      .DurationOr(aSettings.mTargetTimeout, 500ms, std::chrono::minutes(1));
  aSettings.mSeed = static_cast<std::uint64_t>(aRoot.Child("seed").IntegerOr(
    0, 0, std::numeric_limits<std::int64_t>::max()));
}

} // namespace

LogLevel ReadLogLevel(const YamlNode& aNode, LogLevel aDefault)
{
  const std::string name = aNode.TextOr(std::string(kLogLevels.Name(aDefault)));
  const auto level = kLogLevels.Find(name);
  if (!level) {
    aNode.AddFault("expected debug, info, warning or error, found '" + name +
                   "'");
  }
  return level.value_or(aDefault);
}

std::variant<DaemonSettings, std::vector<YamlFault>> ParseDaemonSettings(
  std::string_view aText)
{
  const YamlDocument document(aText);
  const YamlNode root = document.Root();
  DaemonSettings settings;
  settings.mName = DaemonName(root.Child("name").RequiredName());
  settings.mFailureDomain =
    FailureDomain(root.Child("failure_domain").RequiredName());
  ReadListen(root.Child("listen"), settings);
  ReadPeers(root.Child("peers"), settings);
  const YamlNode dataDir = root.Child("data_dir");
  settings.mDataDir = dataDir.TextOr("");
  if (dataDir.IsPresent() && settings.mDataDir.empty()) {
    dataDir.AddFault("expected a folder, found nothing");
  }
  ReadOperators(root.Child("operators"), settings);
  ReadTuning(root, settings);
  ReadLimits(root.Child("limits"), settings);
  ReadLedger(root.Child("ledger"), settings);
  if (std::vector<YamlFault> faults = document.Faults(); !faults.empty()) {
    return faults;
  }
  return settings;
}

} // namespace carobtide
