#pragma once

/**
 * @file
 * Checked reading of JSON objects: every fault is collected with the name of
 * the field, defaults stand in for what is missing.
 */

#include "carobtide/base.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/**
 * One object of a document. Valid while its document lives.
 *
 * Thread safety: none.
 */
class JsonFields
{
public:
  /** `aObject` may be null: every field then counts as missing. */
  JsonFields(const boost::json::object* aObject,
             std::vector<std::string>* aFaults)
    : mObject(aObject)
    , mFaults(aFaults)
  {
  }

  std::string RequiredText(std::string_view aName) const;
  std::string TextOr(std::string_view aName, std::string aDefault) const;
  std::int64_t RequiredInteger(std::string_view aName, std::int64_t aMin,
                               std::int64_t aMax) const;
  std::int64_t IntegerOr(std::string_view aName, std::int64_t aDefault,
                         std::int64_t aMin, std::int64_t aMax) const;
  double NumberOr(std::string_view aName, double aDefault) const;
  bool BooleanOr(std::string_view aName, bool aDefault) const;

  /** A member object; empty if missing. */
  JsonFields Object(std::string_view aName) const;
  /** A list of objects of at most aLimit elements; empty if missing. */
  std::vector<JsonFields> Items(std::string_view aName,
                                std::size_t aLimit) const;
  /** A list of non-negative integers; empty if missing. */
  std::vector<std::int64_t> Integers(std::string_view aName,
                                     std::size_t aLimit) const;

  /** A list of texts; empty if missing. */
  std::vector<std::string> Texts(std::string_view aName,
                                 std::size_t aLimit) const;
  bool Has(std::string_view aName) const { return Find(aName) != nullptr; }

  /** A name out of a table of names. */
  template<class Enum, std::size_t Count>
  Enum EnumOr(std::string_view aName, const EnumTable<Enum, Count>& aTable,
              Enum aDefault) const
  {
    const std::string text = TextOr(aName, "");
    if (text.empty()) {
      return aDefault;
    }
    const auto value = aTable.Find(text);
    if (!value) {
      AddFault(std::string(aName) + ": unknown value");
    }
    return value.value_or(aDefault);
  }

  void AddFault(std::string aText) const;

private:
  const boost::json::value* Find(std::string_view aName) const;
  const boost::json::array* FindArray(std::string_view aName,
                                      std::size_t aLimit) const;

  const boost::json::object* mObject;
  std::vector<std::string>* mFaults;
};

/** A parsed JSON text and the faults found in it so far. */
class JsonDocument
{
public:
  /** Parses a text; depth is bounded; a syntax error becomes a fault. */
  explicit JsonDocument(std::string_view aText);
  JsonDocument(const JsonDocument&) = delete;
  JsonDocument& operator=(const JsonDocument&) = delete;

  /** The root object; reading from it is safe also after a syntax error. */
  JsonFields Root() const;
  /** The root value as parsed; null after a syntax error. */
  const boost::json::value& Value() const { return mValue; }

  bool HasFaults() const { return !mFaults.empty(); }
  /** All faults, separated by "; ". */
  std::string Faults() const;

private:
  boost::json::value mValue;
  mutable std::vector<std::string> mFaults;
};

} // namespace carobtide
