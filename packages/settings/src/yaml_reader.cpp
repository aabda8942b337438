#include "carobtide/settings/yaml_reader.hpp"

#include "units.hpp"
#include "yaml_tree.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>
#include <utility>

namespace carobtide {

/** What a node shares: the tree, its own place in it, and its parent. */
struct YamlNode::State
{
  std::shared_ptr<YamlTree> mTree;
  /** Null if the key is absent. */
  YamlTreeNode* mNode = nullptr;
  std::shared_ptr<State> mParent;
  /** Key below the parent; empty for list elements and the root. */
  std::string mKey;
  std::size_t mIndex = 0;

  std::string Path() const;
  YamlPlace Place() const;
};

std::string YamlNode::State::Path() const
{
  if (!mParent) {
    return "";
  }
  const std::string above = mParent->Path();
  if (mKey.empty()) {
    return above + "[" + std::to_string(mIndex) + "]";
  }
  return above.empty() ? mKey : above + "." + mKey;
}

YamlPlace YamlNode::State::Place() const
{
  if (mNode) {
    return mNode->mPlace;
  }
  return mParent ? mParent->Place() : YamlPlace{};
}

namespace {

constexpr std::size_t kMaxNameLength = 128;

void AddFaultAt(YamlTree& aTree, YamlPlace aPlace, std::string aPath,
                std::string aExpected)
{
  if (!aTree.mBroken && aTree.mFaults.size() < kMaxYamlFaults) {
    aTree.mFaults.push_back(YamlFault{
      aPlace.mLine, aPlace.mColumn, std::move(aPath), std::move(aExpected) });
  }
}

/** Collects the keys of visited maps that nobody asked for. */
void AddUnknownKeys(const YamlTreeNode& aNode, const std::string& aPath,
                    std::vector<YamlFault>& aFaults)
{
  for (std::size_t n = 0; n < aNode.mItems.size(); ++n) {
    AddUnknownKeys(aNode.mItems[n], aPath + "[" + std::to_string(n) + "]",
                   aFaults);
  }
  if (!aNode.mVisited) {
    return;
  }
  for (const auto& member : aNode.mMembers) {
    if (aFaults.size() >= kMaxYamlFaults) {
      return;
    }
    const std::string path =
      aPath.empty() ? member.mKey : aPath + "." + member.mKey;
    if (!member.mAsked) {
      aFaults.push_back(YamlFault{ member.mPlace.mLine, member.mPlace.mColumn,
                                   path,
                                   "expected a known key, found another" });
    } else {
      AddUnknownKeys(member.mValue, path, aFaults);
    }
  }
}

/** Text of a found scalar for a fault, shortened. */
std::string Quote(const YamlTreeNode& aNode)
{
  constexpr std::size_t kMaxShown = 40;
  if (aNode.mKind != YamlKind::Scalar) {
    return std::string(kYamlKinds.Name(aNode.mKind));
  }
  const bool isLong = aNode.mText.size() > kMaxShown;
  return "'" + aNode.mText.substr(0, kMaxShown) + (isLong ? "...'" : "'");
}

template<class T>
std::optional<T> ParseWhole(const YamlTreeNode& aNode)
{
  if (aNode.mKind != YamlKind::Scalar || aNode.mQuoted) {
    return std::nullopt;
  }
  T value{};
  const char* begin = aNode.mText.data();
  const char* end = begin + aNode.mText.size();
  const auto parsed = std::from_chars(begin, end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

/** "" if anything goes, else " from MIN to MAX UNIT" as far as given. */
template<class T>
std::string RangeText(T aMin, T aMax, T aNoMin, T aNoMax, const char* aUnit)
{
  std::string text;
  if (aMin > aNoMin) {
    text += " of at least " + std::to_string(aMin) + aUnit;
  }
  if (aMax < aNoMax) {
    text += (text.empty() ? " of at most " : " and at most ") +
            std::to_string(aMax) + aUnit;
  }
  return text;
}

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
         aCharacter == '-' || aCharacter == '_';
}

/** True if the host is an IPv4 number or an IPv6 number in brackets. */
bool IsIpNumber(const std::string& aHost)
{
  in6_addr address{};
  if (aHost.size() > 2 && aHost.front() == '[' && aHost.back() == ']') {
    const std::string inner = aHost.substr(1, aHost.size() - 2);
    return inet_pton(AF_INET6, inner.c_str(), &address) == 1;
  }
  return inet_pton(AF_INET, aHost.c_str(), &address) == 1;
}

} // namespace

std::string YamlFault::ToString() const
{
  return std::to_string(mLine) + ":" + std::to_string(mColumn) + ": " +
         (mPath.empty() ? "" : mPath + ": ") + mExpected;
}

YamlNode::YamlNode(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

bool YamlNode::IsPresent() const
{
  return mState->mNode != nullptr;
}

YamlNode YamlNode::Child(std::string_view aKey) const
{
  auto child = std::make_shared<State>();
  child->mTree = mState->mTree;
  child->mParent = mState;
  child->mKey = aKey;
  YamlTreeNode* node = mState->mNode;
  if (!node) {
    return YamlNode(std::move(child));
  }
  if (node->mKind != YamlKind::Map) {
    if (!node->mVisited) {
      AddFault("expected a map, found " + Quote(*node));
    }
    node->mVisited = true;
    return YamlNode(std::move(child));
  }
  node->mVisited = true;
  const auto it =
    std::ranges::find(node->mMembers, aKey, &YamlTreeNode::Member::mKey);
  if (it != node->mMembers.end()) {
    // A duplicate is reported as such, not as an unknown key.
    for (auto& member : node->mMembers) {
      member.mAsked = member.mAsked || member.mKey == aKey;
    }
    child->mNode = &it->mValue;
  }
  return YamlNode(std::move(child));
}

std::vector<YamlNode> YamlNode::Items() const
{
  std::vector<YamlNode> items;
  YamlTreeNode* node = mState->mNode;
  if (!node) {
    return items;
  }
  if (node->mKind != YamlKind::List) {
    AddFault("expected a list, found " + Quote(*node));
    return items;
  }
  items.reserve(node->mItems.size());
  for (std::size_t n = 0; n < node->mItems.size(); ++n) {
    auto item = std::make_shared<State>();
    item->mTree = mState->mTree;
    item->mParent = mState;
    item->mIndex = n;
    item->mNode = &node->mItems[n];
    items.emplace_back(std::move(item));
  }
  return items;
}

std::vector<std::string> YamlNode::Keys() const
{
  std::vector<std::string> keys;
  YamlTreeNode* node = mState->mNode;
  if (!node) {
    return keys;
  }
  if (node->mKind != YamlKind::Map) {
    AddFault("expected a map, found " + Quote(*node));
    return keys;
  }
  node->mVisited = true;
  for (const auto& member : node->mMembers) {
    keys.push_back(member.mKey);
  }
  return keys;
}

std::string YamlNode::RequiredText() const
{
  if (!IsPresent()) {
    AddFault("expected a text, found nothing");
    return "";
  }
  return TextOr("");
}

std::string YamlNode::TextOr(std::string aDefault) const
{
  const YamlTreeNode* node = mState->mNode;
  if (!node) {
    return aDefault;
  }
  if (node->mKind != YamlKind::Scalar) {
    AddFault("expected a text, found " + Quote(*node));
    return aDefault;
  }
  return node->mText;
}

std::int64_t YamlNode::RequiredInteger(std::int64_t aMin,
                                       std::int64_t aMax) const
{
  if (!IsPresent()) {
    AddFault("expected an integer from " + std::to_string(aMin) + " to " +
             std::to_string(aMax) + ", found nothing");
    return aMin;
  }
  return IntegerOr(aMin, aMin, aMax);
}

std::int64_t YamlNode::IntegerOr(std::int64_t aDefault, std::int64_t aMin,
                                 std::int64_t aMax) const
{
  const YamlTreeNode* node = mState->mNode;
  if (!node) {
    return aDefault;
  }
  const auto value = ParseWhole<std::int64_t>(*node);
  if (!value || *value < aMin || *value > aMax) {
    AddFault("expected an integer from " + std::to_string(aMin) + " to " +
             std::to_string(aMax) + ", found " + Quote(*node));
    return aDefault;
  }
  return *value;
}

double YamlNode::NumberOr(double aDefault, double aMin, double aMax) const
{
  const YamlTreeNode* node = mState->mNode;
  if (!node) {
    return aDefault;
  }
  const auto value = ParseWhole<double>(*node);
  if (!value || !std::isfinite(*value) || *value < aMin || *value > aMax) {
    AddFault("expected a number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax) + ", found " + Quote(*node));
    return aDefault;
  }
  return *value;
}

bool YamlNode::BooleanOr(bool aDefault) const
{
  const YamlTreeNode* node = mState->mNode;
  if (!node) {
    return aDefault;
  }
  const bool isPlain = node->mKind == YamlKind::Scalar && !node->mQuoted;
  if (isPlain && (node->mText == "true" || node->mText == "false")) {
    return node->mText == "true";
  }
  AddFault("expected true or false, found " + Quote(*node));
  return aDefault;
}

Duration YamlNode::DurationOr(Duration aDefault, Duration aMin,
                              Duration aMax) const
{
  const YamlTreeNode* node = mState->mNode;
  if (!node) {
    return aDefault;
  }
  const auto value =
    node->mKind == YamlKind::Scalar ? ParseDuration(node->mText) : std::nullopt;
  if (!value || *value < aMin || *value > aMax) {
    AddFault("expected a duration like 20ms or 3s" +
             RangeText(aMin.count(), aMax.count(), Duration::rep{ 0 },
                       Duration::max().count(), "us") +
             ", found " + Quote(*node));
    return aDefault;
  }
  return *value;
}

Bytes YamlNode::RequiredSize(Bytes aMin, Bytes aMax) const
{
  if (!IsPresent()) {
    AddFault("expected a size like 64KiB or 24GiB, found nothing");
    return aMin;
  }
  return SizeOr(aMin, aMin, aMax);
}

Bytes YamlNode::SizeOr(Bytes aDefault, Bytes aMin, Bytes aMax) const
{
  const YamlTreeNode* node = mState->mNode;
  if (!node) {
    return aDefault;
  }
  const auto value =
    node->mKind == YamlKind::Scalar ? ParseSize(node->mText) : std::nullopt;
  if (!value || *value < aMin || *value > aMax) {
    AddFault("expected a size like 64KiB or 24GiB" +
             RangeText(aMin, aMax, Bytes{ 0 },
                       std::numeric_limits<Bytes>::max(), "B") +
             ", found " + Quote(*node));
    return aDefault;
  }
  return *value;
}

std::string YamlNode::RequiredName() const
{
  const YamlTreeNode* node = mState->mNode;
  const bool isName = node && node->mKind == YamlKind::Scalar &&
                      !node->mText.empty() &&
                      node->mText.size() <= kMaxNameLength &&
                      std::ranges::all_of(node->mText, IsNameCharacter);
  if (!isName) {
    AddFault("expected a name of 1 to 128 letters, digits, '.', '-' and '_', "
             "found " +
             (node ? Quote(*node) : "nothing"));
    return "";
  }
  return node->mText;
}

Endpoint YamlNode::RequiredEndpoint() const
{
  const YamlTreeNode* node = mState->mNode;
  const auto endpoint = node && node->mKind == YamlKind::Scalar
                          ? ParseEndpoint(node->mText)
                          : std::nullopt;
  if (!endpoint || !IsIpNumber(endpoint->mHost)) {
    AddFault("expected an address like 10.0.0.1:7000, found " +
             (node ? Quote(*node) : "nothing"));
    return {};
  }
  return *endpoint;
}

std::vector<std::string> YamlNode::TextItems() const
{
  std::vector<std::string> texts;
  for (const YamlNode& item : Items()) {
    texts.push_back(item.RequiredText());
  }
  return texts;
}

void YamlNode::AddFault(std::string aExpected) const
{
  AddFaultAt(*mState->mTree, mState->Place(), mState->Path(),
             std::move(aExpected));
}

YamlDocument::YamlDocument(std::string_view aText)
  : mRoot(std::make_shared<YamlNode::State>())
{
  mRoot->mTree = std::make_shared<YamlTree>(ParseYamlTree(aText));
  if (mRoot->mTree->mHasRoot) {
    mRoot->mNode = &mRoot->mTree->mRoot;
  }
}

YamlDocument::~YamlDocument() = default;

YamlNode YamlDocument::Root() const
{
  return YamlNode(mRoot);
}

std::vector<YamlFault> YamlDocument::Faults() const
{
  std::vector<YamlFault> faults = mRoot->mTree->mFaults;
  if (!mRoot->mTree->mBroken) {
    AddUnknownKeys(mRoot->mTree->mRoot, "", faults);
  }
  std::ranges::stable_sort(faults, [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.mLine, aLeft.mColumn) <
           std::pair(aRight.mLine, aRight.mColumn);
  });
  if (faults.size() > kMaxYamlFaults) {
    faults.resize(kMaxYamlFaults);
  }
  return faults;
}

} // namespace carobtide
