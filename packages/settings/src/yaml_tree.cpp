#include "yaml_tree.hpp"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <istream>
#include <optional>
#include <streambuf>
#include <utility>

namespace carobtide {

namespace {

YamlPlace PlaceOf(const YAML::Mark& aMark)
{
  if (aMark.is_null()) {
    return {};
  }
  return { aMark.line + 1, aMark.column + 1 };
}

/** Thrown by the builder to stop the parser. */
struct StopParsing
{
  YamlFault mFault;
};

/** Lets the parser read a text without copying it. */
class ViewBuffer : public std::streambuf
{
public:
  explicit ViewBuffer(std::string_view aText)
  {
    // The get area is never written to.
    auto* begin = const_cast<char*>(aText.data());
    setg(begin, begin, begin + aText.size());
  }
};

/** Builds the tree and enforces the bounds while the parser runs. */
class TreeBuilder : public YAML::EventHandler
{
public:
  explicit TreeBuilder(YamlTree& aTree)
    : mTree(aTree)
  {
  }

  void OnDocumentStart(const YAML::Mark& aMark) override
  {
    if (mTree.mHasRoot) {
      Stop(PlaceOf(aMark), "expected a single document, found another");
    }
  }

  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& aMark, YAML::anchor_t aAnchor) override
  {
    CheckNode(aMark, "?", aAnchor);
    Add(YamlTreeNode{ YamlKind::Null, PlaceOf(aMark), {}, false, {}, {} });
  }

  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    Stop(PlaceOf(aMark), kNoAliases);
  }

  void OnScalar(const YAML::Mark& aMark, const std::string& aTag,
                YAML::anchor_t aAnchor, const std::string& aValue) override
  {
    CheckNode(aMark, aTag, aAnchor);
    YamlTreeNode node{
      YamlKind::Scalar, PlaceOf(aMark), aValue, false, {}, {}
    };
    node.mQuoted = aTag == "!";
    Add(std::move(node));
  }

  void OnSequenceStart(const YAML::Mark& aMark, const std::string& aTag,
                       YAML::anchor_t aAnchor,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    CheckNode(aMark, aTag, aAnchor);
    Open(YamlKind::List, PlaceOf(aMark));
  }

  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& aMark, const std::string& aTag,
                  YAML::anchor_t aAnchor,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    CheckNode(aMark, aTag, aAnchor);
    Open(YamlKind::Map, PlaceOf(aMark));
  }

  void OnMapEnd() override
  {
    CheckDuplicateKeys(mOpen.back().mNode);
    Close();
  }

  /** Path of the node that is being read. */
  std::string Path() const
  {
    std::string path;
    for (const Level& level : mOpen) {
      if (level.mNode.mKind == YamlKind::List) {
        path += "[" + std::to_string(level.mNode.mItems.size()) + "]";
      } else if (level.mKey) {
        path += (path.empty() ? "" : ".") + level.mKey->mKey;
      }
    }
    return path;
  }

private:
  /** A list or map whose end was not read yet. */
  struct Level
  {
    YamlTreeNode mNode;
    /** Key whose value comes next, if any. */
    std::optional<YamlTreeNode::Member> mKey;
  };

  static constexpr const char* kNoAliases =
    "expected no anchors and aliases, found one";

  [[noreturn]] void Stop(YamlPlace aPlace, std::string aExpected) const
  {
    throw StopParsing{ YamlFault{ aPlace.mLine, aPlace.mColumn, Path(),
                                  std::move(aExpected) } };
  }

  void CheckNode(const YAML::Mark& aMark, const std::string& aTag,
                 YAML::anchor_t aAnchor)
  {
    if (aAnchor != YAML::NullAnchor) {
      Stop(PlaceOf(aMark), kNoAliases);
    }
    if (!aTag.empty() && aTag != "?" && aTag != "!") {
      Stop(PlaceOf(aMark), "expected no tags, found one");
    }
    if (++mNodes > kMaxYamlNodes) {
      Stop(PlaceOf(aMark),
           "expected at most " + std::to_string(kMaxYamlNodes) + " nodes");
    }
  }

  bool ExpectsKey() const
  {
    return !mOpen.empty() && mOpen.back().mNode.mKind == YamlKind::Map &&
           !mOpen.back().mKey;
  }

  void Open(YamlKind aKind, YamlPlace aPlace)
  {
    if (ExpectsKey()) {
      Stop(aPlace, "expected a text as key");
    }
    if (mOpen.size() >= kMaxYamlDepth) {
      Stop(aPlace, "expected at most " + std::to_string(kMaxYamlDepth) +
                     " levels of nesting");
    }
    mOpen.push_back(
      Level{ YamlTreeNode{ aKind, aPlace, {}, false, {}, {} }, {} });
  }

  void Close()
  {
    YamlTreeNode node = std::move(mOpen.back().mNode);
    mOpen.pop_back();
    Add(std::move(node));
  }

  void Add(YamlTreeNode aNode)
  {
    if (mOpen.empty()) {
      mTree.mRoot = std::move(aNode);
      mTree.mHasRoot = true;
      return;
    }
    Level& level = mOpen.back();
    if (level.mNode.mKind == YamlKind::List) {
      level.mNode.mItems.push_back(std::move(aNode));
    } else if (level.mKey) {
      level.mKey->mValue = std::move(aNode);
      level.mNode.mMembers.push_back(std::move(*level.mKey));
      level.mKey.reset();
    } else if (aNode.mKind == YamlKind::Scalar) {
      level.mKey.emplace();
      level.mKey->mKey = std::move(aNode.mText);
      level.mKey->mPlace = aNode.mPlace;
    } else {
      Stop(aNode.mPlace, "expected a text as key");
    }
  }

  void CheckDuplicateKeys(const YamlTreeNode& aMap)
  {
    std::vector<const YamlTreeNode::Member*> members;
    members.reserve(aMap.mMembers.size());
    for (const auto& member : aMap.mMembers) {
      members.push_back(&member);
    }
    std::ranges::stable_sort(members, {}, &YamlTreeNode::Member::mKey);
    for (std::size_t n = 1; n < members.size(); ++n) {
      const auto& member = *members[n];
      if (member.mKey == members[n - 1]->mKey) {
        const std::string path = Path();
        mTree.mFaults.push_back(
          YamlFault{ member.mPlace.mLine, member.mPlace.mColumn,
                     path + (path.empty() ? "" : ".") + member.mKey,
                     "expected each key once, found it again (first on line " +
                       std::to_string(members[n - 1]->mPlace.mLine) + ")" });
      }
    }
  }

  YamlTree& mTree;
  std::vector<Level> mOpen;
  std::size_t mNodes = 0;
};

void Break(YamlTree& aTree, YamlFault aFault)
{
  aTree.mBroken = true;
  aTree.mHasRoot = false;
  aTree.mFaults.push_back(std::move(aFault));
}

} // namespace

YamlTree ParseYamlTree(std::string_view aText)
{
  YamlTree tree;
  if (aText.size() > kMaxYamlBytes) {
    Break(tree, YamlFault{ 0, 0, "",
                           "expected at most " + std::to_string(kMaxYamlBytes) +
                             " bytes, found " + std::to_string(aText.size()) });
    return tree;
  }
  TreeBuilder builder(tree);
  try {
    ViewBuffer buf(aText);
    std::istream in(&buf);
    YAML::Parser parser(in);
    while (parser.HandleNextDocument(builder)) {
    }
  } catch (const StopParsing& stop) {
    Break(tree, stop.mFault);
  } catch (const YAML::Exception& error) {
    const YamlPlace place = PlaceOf(error.mark);
    Break(tree, YamlFault{ place.mLine, place.mColumn, builder.Path(),
                           "expected valid YAML: " + error.msg });
  } catch (const std::exception& error) {
    Break(tree,
          YamlFault{ 0, 0, builder.Path(),
                     std::string("expected valid YAML: ") + error.what() });
  }
  return tree;
}

} // namespace carobtide
