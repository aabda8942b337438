#include "carobtide/cli/load_scenario.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <numeric>

namespace carobtide {

namespace json = boost::json;

namespace {

constexpr double kMaxRate = 1e6;
constexpr double kMaxLength = 1e6;
constexpr std::int64_t kMaxCount = 1'000'000;

std::vector<std::string> ReadTexts(const YamlNode& aNode)
{
  std::vector<std::string> texts;
  for (const YamlNode& item : aNode.Items()) {
    texts.push_back(item.RequiredText());
  }
  return texts;
}

LengthSpec ReadLength(const YamlNode& aNode, LengthSpec aDefault)
{
  LengthSpec length = aDefault;
  length.mMedian =
    aNode.Child("median").NumberOr(length.mMedian, 1, kMaxLength);
  length.mSigma = aNode.Child("sigma").NumberOr(length.mSigma, 0, 10);
  length.mTailShare =
    aNode.Child("tail_share").NumberOr(length.mTailShare, 0, 1);
  length.mTailFrom =
    aNode.Child("tail_from").NumberOr(length.mTailFrom, 1, kMaxLength);
  length.mTailAlpha =
    aNode.Child("tail_alpha").NumberOr(length.mTailAlpha, 0.1, 100);
  length.mMax = static_cast<std::uint32_t>(
    aNode.Child("max").IntegerOr(length.mMax, 1, kMaxCount));
  return length;
}

void ReadTargets(const YamlNode& aNode, LoadClass& aOut)
{
  aOut.mFirstByteTarget =
    aNode.Child("first_byte_target").DurationOr(aOut.mFirstByteTarget);
  aOut.mWholeTarget = aNode.Child("whole_target").DurationOr(aOut.mWholeTarget);
  aOut.mTimeout = aNode.Child("timeout").DurationOr(aOut.mTimeout);
  aOut.mResends =
    static_cast<std::uint32_t>(aNode.Child("resends").IntegerOr(0, 0, 100));
  aOut.mResendsAsTold = aNode.Child("resends_as_told").BooleanOr(false);
  aOut.mResendPause = aNode.Child("resend_pause").DurationOr(aOut.mResendPause);
}

/** Records what a class of its kind lacks. */
void CheckClass(const YamlNode& aNode, const LoadClass& aClass)
{
  const bool isCall = aClass.mKind == LoadKind::Call;
  const bool hasPath = isCall || aClass.mKind == LoadKind::Service;
  if (hasPath && aClass.mPath.empty()) {
    aNode.AddFault("expected path for a service or call class");
  }
  if (!hasPath && aClass.mModels.empty()) {
    aNode.AddFault("expected at least one entry under models");
  }
  if (!isCall && aClass.mTokens.empty()) {
    aNode.AddFault("expected at least one entry under tokens");
  }
  if (isCall && aClass.mStreaming) {
    aNode.AddFault("expected no stream for a call class");
  }
}

LoadClass ReadClass(const YamlNode& aNode)
{
  LoadClass loadClass;
  loadClass.mName = aNode.Child("name").RequiredText();
  const YamlNode kind = aNode.Child("kind");
  const auto found = kLoadKinds.Find(kind.TextOr("chat"));
  if (!found) {
    kind.AddFault("expected call, chat, completion or service");
  }
  loadClass.mKind = found.value_or(LoadKind::Chat);
  loadClass.mTokens = ReadTexts(aNode.Child("tokens"));
  loadClass.mModels = ReadTexts(aNode.Child("models"));
  loadClass.mModelSkew = aNode.Child("model_skew").NumberOr(0, 0, 10);
  loadClass.mStreaming = aNode.Child("stream").BooleanOr(false);
  loadClass.mPrompt = ReadLength(aNode.Child("prompt_tokens"), {});
  loadClass.mAnswer = ReadLength(aNode.Child("answer_tokens"), {});
  loadClass.mMaxTokensSlack =
    aNode.Child("max_tokens_slack").NumberOr(1.0, 0, 1000);
  loadClass.mSharedPrefixTokens = static_cast<std::uint32_t>(
    aNode.Child("shared_prefix_tokens").IntegerOr(0, 0, kMaxCount));
  loadClass.mPath = aNode.Child("path").TextOr("");
  loadClass.mKeyed = aNode.Child("keyed").BooleanOr(false);
  loadClass.mDuplicateShare =
    aNode.Child("duplicate_share").NumberOr(0.0, 0, 1);
  loadClass.mMarker = aNode.Child("marker").TextOr("");
  loadClass.mIsShort = aNode.Child("short").BooleanOr(false);
  const YamlNode headers = aNode.Child("headers");
  for (const std::string& name : headers.Keys()) {
    loadClass.mHeaders.emplace_back(name, headers.Child(name).RequiredText());
  }
  ReadTargets(aNode, loadClass);
  CheckClass(aNode, loadClass);
  return loadClass;
}
/** Index of a class by name; records a fault if there is none. */
std::size_t ClassIndex(const LoadScenario& aScenario, const std::string& aName,
                       const YamlNode& aNode)
{
  const auto it =
    std::ranges::find(aScenario.mClasses, aName, &LoadClass::mName);
  if (it == aScenario.mClasses.end()) {
    aNode.AddFault("expected the name of a class, found \"" + aName + "\"");
    return 0;
  }
  return static_cast<std::size_t>(it - aScenario.mClasses.begin());
}

LoadPhase ReadPhase(const LoadScenario& aScenario, const YamlNode& aNode)
{
  LoadPhase phase;
  phase.mName = aNode.Child("name").RequiredText();
  phase.mDuration = aNode.Child("duration").DurationOr(phase.mDuration);
  phase.mMeasured = aNode.Child("measured").BooleanOr(true);
  phase.mIsCrest = aNode.Child("crest").BooleanOr(false);
  const YamlNode rates = aNode.Child("rates");
  for (const std::string& name : rates.Keys()) {
    const YamlNode rate = rates.Child(name);
    phase.mRates.push_back(
      { ClassIndex(aScenario, name, rate), rate.NumberOr(0, 0, kMaxRate) });
  }
  const YamlNode burst = aNode.Child("burst");
  if (burst.IsPresent()) {
    phase.mBurstEvery =
      burst.Child("every").DurationOr(std::chrono::seconds(1));
    phase.mBurstSize = static_cast<std::uint32_t>(
      burst.Child("size").RequiredInteger(1, kMaxCount));
    const YamlNode name = burst.Child("class");
    phase.mBurstClass = ClassIndex(aScenario, name.RequiredText(), name);
    if (phase.mBurstEvery <= Duration::zero()) {
      burst.AddFault("expected every to be above zero");
    }
  }
  return phase;
}

BenchFault ReadFault(const YamlNode& aNode)
{
  BenchFault fault;
  fault.mAt = aNode.Child("at").DurationOr(fault.mAt);
  const YamlNode action = aNode.Child("action");
  const auto found = kBenchActions.Find(action.RequiredText());
  if (!found) {
    action.AddFault("expected stop, continue, kill or terminate");
  }
  fault.mAction = found.value_or(BenchAction::Stop);
  fault.mProcess = aNode.Child("process").RequiredText();
  return fault;
}

BenchDeployment ReadBench(const YamlNode& aNode)
{
  BenchDeployment bench;
  bench.mDaemons =
    static_cast<std::uint32_t>(aNode.Child("daemons").IntegerOr(3, 1, 64));
  bench.mFailureDomains = ReadTexts(aNode.Child("failure_domains"));
  if (bench.mFailureDomains.empty()) {
    bench.mFailureDomains = { "a" };
  }
  bench.mBundle = aNode.Child("bundle").TextOr("");
  bench.mStandins = ReadTexts(aNode.Child("standins"));
  bench.mEdges =
    static_cast<std::uint32_t>(aNode.Child("edges").IntegerOr(0, 0, 64));
  bench.mSlots =
    static_cast<std::uint32_t>(aNode.Child("slots").IntegerOr(64, 1, 4096));
  bench.mWork = aNode.Child("work").DurationOr(bench.mWork);
  const YamlNode limits = aNode.Child("limits");
  for (const std::string& name : limits.Keys()) {
    bench.mLimits.emplace_back(
      name,
      limits.Child(name).NumberOr(0, 0, std::numeric_limits<float>::max()));
  }
  for (const YamlNode& fault : aNode.Child("faults").Items()) {
    bench.mFaults.push_back(ReadFault(fault));
  }
  return bench;
}

json::array RenderTexts(const std::vector<std::string>& aTexts)
{
  return json::array(aTexts.begin(), aTexts.end());
}

} // namespace

Duration LoadScenario::TotalDuration() const
{
  return std::accumulate(mPhases.begin(), mPhases.end(), Duration{ 0 },
                         [](Duration aSum, const LoadPhase& aPhase) {
                           return aSum + aPhase.mDuration;
                         });
}

std::variant<LoadScenario, std::vector<YamlFault>> ParseLoadScenario(
  std::string_view aText)
{
  const YamlDocument document(aText);
  const YamlNode root = document.Root();
  LoadScenario scenario;
  scenario.mName = root.Child("name").RequiredText();
  scenario.mSeed = static_cast<std::uint64_t>(root.Child("seed").IntegerOr(
    1, 0, std::numeric_limits<std::int64_t>::max()));
  for (const YamlNode& node : root.Child("classes").Items()) {
    scenario.mClasses.push_back(ReadClass(node));
  }
  if (scenario.mClasses.empty()) {
    root.AddFault("expected at least one entry under classes");
  }
  for (const YamlNode& node : root.Child("phases").Items()) {
    scenario.mPhases.push_back(ReadPhase(scenario, node));
  }
  if (scenario.mPhases.empty()) {
    root.AddFault("expected at least one entry under phases");
  }
  scenario.mOrganisations = ReadLoadOrganisations(root.Child("organisations"));
  scenario.mBench = ReadBench(root.Child("bench"));
  auto faults = document.Faults();
  if (!faults.empty()) {
    return faults;
  }
  return scenario;
}

std::string RenderBenchJson(const LoadScenario& aScenario)
{
  const BenchDeployment& bench = aScenario.mBench;
  json::array faults;
  for (const BenchFault& fault : bench.mFaults) {
    faults.push_back({ { "at_us", fault.mAt.count() },
                       { "action", kBenchActions.Name(fault.mAction) },
                       { "process", fault.mProcess } });
  }
  json::array organisations;
  for (const LoadOrganisation& it : aScenario.mOrganisations.mMembers) {
    organisations.emplace_back(it.mName);
  }
  json::object limits;
  for (const auto& [name, rate] : bench.mLimits) {
    limits[name] = rate;
  }
  return json::serialize(
    json::object{ { "name", aScenario.mName },
                  { "seed", aScenario.mSeed },
                  { "duration_us", aScenario.TotalDuration().count() },
                  { "daemons", bench.mDaemons },
                  { "failure_domains", RenderTexts(bench.mFailureDomains) },
                  { "bundle", bench.mBundle },
                  { "standins", RenderTexts(bench.mStandins) },
                  { "edges", bench.mEdges },
                  { "slots", bench.mSlots },
                  { "work_us", bench.mWork.count() },
                  { "organisations", std::move(organisations) },
                  { "limits", std::move(limits) },
                  { "faults", std::move(faults) } });
}

} // namespace carobtide
