#pragma once

/**
 * @file
 * A YAML reader that collects every fault with its place instead of stopping
 * at the first one. yaml-cpp stays out of this header.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** One fault of a YAML text. */
struct YamlFault
{
  /** 1-based; 0 if the place is unknown. */
  int mLine = 0;
  /** 1-based; 0 if the place is unknown. */
  int mColumn = 0;
  /** Path of the key, e.g. "models[3].memory". */
  std::string mPath;
  /** What was expected there, and what was found. */
  std::string mExpected;

  /** Renders "LINE:COLUMN: PATH: EXPECTED". */
  std::string ToString() const;
};

/**
 * A node of a parsed YAML text. A cheap value; it shares the document, which
 * lives as long as any of its nodes.
 *
 * Every accessor records a fault in the document when the text does not have
 * what is asked for, and returns the default; callers check Faults() once at
 * the end. Each map key that no accessor asked for is reported as unknown by
 * YamlDocument::Faults(). Anchors, aliases, tags and several documents are
 * faults, as are duplicate keys; size, depth and nodes of a text are bounded.
 *
 * Thread safety: none.
 */
class YamlNode
{
public:
  struct State;

  explicit YamlNode(std::shared_ptr<State> aState);

  /** True if the key was present in the text. */
  bool IsPresent() const;

  /** The child under a key; absent (not a fault) if the key is missing. */
  YamlNode Child(std::string_view aKey) const;

  /** The elements of a list; a fault if present and not a list. */
  std::vector<YamlNode> Items() const;

  /** The keys of a map in the order of the text. */
  std::vector<std::string> Keys() const;

  /** Scalars. The "Required" forms record a fault if the key is absent. */
  std::string RequiredText() const;
  std::string TextOr(std::string aDefault) const;
  std::int64_t RequiredInteger(std::int64_t aMin, std::int64_t aMax) const;
  std::int64_t IntegerOr(std::int64_t aDefault, std::int64_t aMin,
                         std::int64_t aMax) const;
  double NumberOr(double aDefault, double aMin, double aMax) const;
  bool BooleanOr(bool aDefault) const;

  /** A duration with unit: "250us", "20ms", "3s", "5m", "8h". */
  Duration DurationOr(Duration aDefault, Duration aMin = Duration::zero(),
                      Duration aMax = Duration::max()) const;

  /** A size with unit: "512B", "64KiB", "10MiB", "24GiB". */
  Bytes RequiredSize(Bytes aMin = 0,
                     Bytes aMax = std::numeric_limits<Bytes>::max()) const;
  Bytes SizeOr(Bytes aDefault, Bytes aMin = 0,
               Bytes aMax = std::numeric_limits<Bytes>::max()) const;

  /**
   * A name: 1 to 128 letters, digits, dots, hyphens and underscores. Records
   * a fault if it is absent or has other characters.
   */
  std::string RequiredName() const;

  /** An "IP:PORT" address; records a fault if it is absent or none. */
  Endpoint RequiredEndpoint() const;

  /** The elements of a list of texts; empty if absent. */
  std::vector<std::string> TextItems() const;

  /** Records a fault at this node. */
  void AddFault(std::string aExpected) const;

private:
  friend class YamlDocument;

  std::shared_ptr<State> mState;
};

/** A parsed YAML text and the faults found in it so far. */
class YamlDocument
{
public:
  /** Parses a text; a syntax error becomes a fault, never an exception. */
  explicit YamlDocument(std::string_view aText);
  ~YamlDocument();
  YamlDocument(const YamlDocument&) = delete;
  YamlDocument& operator=(const YamlDocument&) = delete;

  /** The root; reading from it is safe also after a syntax error. */
  YamlNode Root() const;

  /** Every fault so far, unknown keys included, ordered by place. */
  std::vector<YamlFault> Faults() const;

private:
  std::shared_ptr<YamlNode::State> mRoot;
};

} // namespace carobtide
