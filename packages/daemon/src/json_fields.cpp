#include "carobtide/daemon/json_fields.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <numeric>

namespace carobtide {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxDepth = 32;

} // namespace

const json::value* JsonFields::Find(std::string_view aName) const
{
  return mObject == nullptr ? nullptr : mObject->if_contains(aName);
}

void JsonFields::AddFault(std::string aText) const
{
  mFaults->push_back(std::move(aText));
}

std::string JsonFields::RequiredText(std::string_view aName) const
{
  const json::value* value = Find(aName);
  if (value == nullptr || !value->is_string() || value->as_string().empty()) {
    AddFault(std::string(aName) + ": expected text");
    return {};
  }
  return std::string(value->as_string());
}

std::string JsonFields::TextOr(std::string_view aName,
                               std::string aDefault) const
{
  const json::value* value = Find(aName);
  if (value == nullptr || value->is_null()) {
    return aDefault;
  }
  if (!value->is_string()) {
    AddFault(std::string(aName) + ": expected text");
    return aDefault;
  }
  return std::string(value->as_string());
}

std::int64_t JsonFields::RequiredInteger(std::string_view aName,
                                         std::int64_t aMin,
                                         std::int64_t aMax) const
{
  if (Find(aName) == nullptr) {
    AddFault(std::string(aName) + ": expected an integer");
    return aMin;
  }
  return IntegerOr(aName, aMin, aMin, aMax);
}

std::int64_t JsonFields::IntegerOr(std::string_view aName,
                                   std::int64_t aDefault, std::int64_t aMin,
                                   std::int64_t aMax) const
{
  const json::value* value = Find(aName);
  if (value == nullptr || value->is_null()) {
    return aDefault;
  }
  json::error_code ec;
  const auto number = value->to_number<std::int64_t>(ec);
  if (ec || number < aMin || number > aMax) {
    AddFault(std::string(aName) + ": expected an integer from " +
             std::to_string(aMin) + " to " + std::to_string(aMax));
    return aDefault;
  }
  return number;
}

double JsonFields::NumberOr(std::string_view aName, double aDefault) const
{
  const json::value* value = Find(aName);
  if (value == nullptr || value->is_null()) {
    return aDefault;
  }
  json::error_code ec;
  const auto number = value->to_number<double>(ec);
  if (ec) {
    AddFault(std::string(aName) + ": expected a number");
    return aDefault;
  }
  return number;
}

bool JsonFields::BooleanOr(std::string_view aName, bool aDefault) const
{
  const json::value* value = Find(aName);
  if (value == nullptr || value->is_null()) {
    return aDefault;
  }
  if (!value->is_bool()) {
    AddFault(std::string(aName) + ": expected true or false");
    return aDefault;
  }
  return value->as_bool();
}

JsonFields JsonFields::Object(std::string_view aName) const
{
  const json::value* value = Find(aName);
  if (value == nullptr || value->is_null()) {
    return { nullptr, mFaults };
  }
  if (!value->is_object()) {
    AddFault(std::string(aName) + ": expected an object");
    return { nullptr, mFaults };
  }
  return { &value->as_object(), mFaults };
}

const json::array* JsonFields::FindArray(std::string_view aName,
                                         std::size_t aLimit) const
{
  const json::value* value = Find(aName);
  if (value == nullptr || value->is_null()) {
    return nullptr;
  }
  if (!value->is_array() || value->as_array().size() > aLimit) {
    AddFault(std::string(aName) + ": expected a list of at most " +
             std::to_string(aLimit) + " elements");
    return nullptr;
  }
  return &value->as_array();
}

std::vector<JsonFields> JsonFields::Items(std::string_view aName,
                                          std::size_t aLimit) const
{
  std::vector<JsonFields> items;
  const json::array* array = FindArray(aName, aLimit);
  if (array == nullptr) {
    return items;
  }
  for (const json::value& value : *array) {
    if (value.is_object()) {
      items.emplace_back(&value.as_object(), mFaults);
    } else {
      AddFault(std::string(aName) + ": expected objects");
    }
  }
  return items;
}

std::vector<std::int64_t> JsonFields::Integers(std::string_view aName,
                                               std::size_t aLimit) const
{
  std::vector<std::int64_t> numbers;
  const json::array* array = FindArray(aName, aLimit);
  if (array == nullptr) {
    return numbers;
  }
  for (const json::value& value : *array) {
    json::error_code ec;
    const auto number = value.to_number<std::int64_t>(ec);
    if (ec || number < 0) {
      AddFault(std::string(aName) + ": expected non-negative integers");
    } else {
      numbers.push_back(number);
    }
  }
  return numbers;
}

std::vector<std::string> JsonFields::Texts(std::string_view aName,
                                           std::size_t aLimit) const
{
  std::vector<std::string> texts;
  const json::array* array = FindArray(aName, aLimit);
  if (array == nullptr) {
    return texts;
  }
  for (const json::value& element : *array) {
    if (element.is_string()) {
      texts.emplace_back(element.as_string());
    } else {
      AddFault(std::string(aName) + ": expected a list of texts");
    }
  }
  return texts;
}

JsonDocument::JsonDocument(std::string_view aText)
{
  json::parse_options options;
  options.max_depth = kMaxDepth;
  json::error_code ec;
  mValue = json::parse(aText, ec, {}, options);
  if (ec) {
    mValue = nullptr;
    mFaults.push_back("expected JSON: " + ec.message());
  } else if (!mValue.is_object()) {
    mFaults.emplace_back("expected an object");
  }
}

JsonFields JsonDocument::Root() const
{
  return { mValue.if_object(), &mFaults };
}

std::string JsonDocument::Faults() const
{
  return std::accumulate(mFaults.begin(), mFaults.end(), std::string{},
                         [](std::string aText, const std::string& aFault) {
                           return aText.empty()
                                    ? aFault
                                    : std::move(aText) + "; " + aFault;
                         });
}

} // namespace carobtide
