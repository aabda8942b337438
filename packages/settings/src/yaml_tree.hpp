#pragma once

/**
 * @file
 * The tree behind the YAML reader, built from yaml-cpp's events. yaml-cpp
 * stays out of this header too.
 */

#include "carobtide/settings/yaml_reader.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** Longest text that is parsed. */
inline constexpr std::size_t kMaxYamlBytes = 2 * kMiB;

/** Deepest nesting of lists and maps. */
inline constexpr std::size_t kMaxYamlDepth = 16;

/** Most nodes of one text. */
inline constexpr std::size_t kMaxYamlNodes = 500'000;

/** Most faults kept of one text. */
inline constexpr std::size_t kMaxYamlFaults = 200;

/** What a node of the tree is. */
enum class YamlKind : std::uint8_t
{
  Null,
  Scalar,
  List,
  Map,
};

/** Names of the kinds as faults print them. */
inline constexpr EnumTable<YamlKind, 4> kYamlKinds{ { {
  { YamlKind::Null, "nothing" },
  { YamlKind::Scalar, "a scalar" },
  { YamlKind::List, "a list" },
  { YamlKind::Map, "a map" },
} } };

/** A place in the text, 1-based. */
struct YamlPlace
{
  int mLine = 0;
  int mColumn = 0;
};

/** A node of the tree. */
struct YamlTreeNode
{
  struct Member;

  YamlKind mKind = YamlKind::Null;
  YamlPlace mPlace;
  /** Text of a scalar. */
  std::string mText;
  /** True if the scalar was quoted, so that it is text only. */
  bool mQuoted = false;
  /** Elements of a list. */
  std::vector<YamlTreeNode> mItems;
  /** Members of a map in the order of the text. */
  std::vector<Member> mMembers;
  /** True once an accessor looked into the map. */
  bool mVisited = false;
};

/** A key of a map and its value. */
struct YamlTreeNode::Member
{
  std::string mKey;
  YamlPlace mPlace;
  YamlTreeNode mValue;
  /** True once an accessor asked for the key. */
  bool mAsked = false;
};

/** A parsed text: its root, or what kept it from being parsed. */
struct YamlTree
{
  YamlTreeNode mRoot;
  bool mHasRoot = false;
  /** True if the text is no YAML that this reader takes. */
  bool mBroken = false;
  std::vector<YamlFault> mFaults;
};

/** Parses a text; never throws on bad input. Thread safety: any thread. */
YamlTree ParseYamlTree(std::string_view aText);

} // namespace carobtide
