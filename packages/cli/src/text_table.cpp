#include "carobtide/cli/text_table.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cctype>

namespace carobtide {

namespace json = boost::json;

namespace {

constexpr std::string_view kGap = "  ";

std::string ToCapitals(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aLetter) {
    return aLetter == '_' ? ' ' : static_cast<char>(std::toupper(aLetter));
  });
  return aText;
}

bool IsListOfObjects(const json::value& aValue)
{
  return aValue.is_array() && !aValue.get_array().empty() &&
         std::ranges::all_of(aValue.get_array(), [](const auto& aItem) {
           return aItem.is_object();
         });
}

std::string RenderCell(const json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.get_string());
  }
  if (aValue.is_null()) {
    return "-";
  }
  if (!aValue.is_array()) {
    return json::serialize(aValue);
  }
  std::string text;
  for (const json::value& item : aValue.get_array()) {
    text += (text.empty() ? "" : ",") + RenderCell(item);
  }
  return text.empty() ? "-" : text;
}

/** A cell with its dotted path. */
struct Field
{
  std::string mName;
  std::string mText;
};

void Flatten(const json::object& aObject, const std::string& aPrefix,
             std::vector<Field>& aOut)
{
  for (const auto& [key, value] : aObject) {
    const std::string name = aPrefix + std::string(key);
    if (value.is_object()) {
      Flatten(value.get_object(), name + ".", aOut);
    } else if (IsListOfObjects(value)) {
      aOut.push_back({ name, std::to_string(value.get_array().size()) });
    } else {
      aOut.push_back({ name, RenderCell(value) });
    }
  }
}

std::string RenderList(const json::array& aList)
{
  std::vector<std::vector<Field>> rows;
  std::vector<std::string> names;
  for (const json::value& item : aList) {
    Flatten(item.get_object(), "", rows.emplace_back());
    for (const Field& field : rows.back()) {
      if (std::ranges::find(names, field.mName) == names.end()) {
        names.push_back(field.mName);
      }
    }
  }
  TextTable table(names);
  for (const auto& row : rows) {
    std::vector<std::string> cells(names.size(), "-");
    for (const Field& field : row) {
      const auto at = std::ranges::find(names, field.mName) - names.begin();
      cells[static_cast<std::size_t>(at)] = field.mText;
    }
    table.AddRow(std::move(cells));
  }
  return table.Render();
}

std::string RenderFields(const json::object& aObject)
{
  std::vector<Field> fields;
  for (const auto& [key, value] : aObject) {
    if (!IsListOfObjects(value)) {
      Flatten({ { key, value } }, "", fields);
    }
  }
  std::size_t width = 0;
  for (const Field& field : fields) {
    width = std::max(width, field.mName.size());
  }
  std::string text;
  for (const Field& field : fields) {
    text += field.mName + std::string(width - field.mName.size(), ' ');
    text.append(kGap).append(field.mText).append("\n");
  }
  return text;
}

std::string RenderObject(const json::object& aObject)
{
  std::string text = RenderFields(aObject);
  for (const auto& [key, value] : aObject) {
    if (IsListOfObjects(value)) {
      text += text.empty() ? "" : "\n";
      text += std::string(key) + "\n" + RenderList(value.get_array());
    }
  }
  return text;
}

} // namespace

TextTable::TextTable(std::vector<std::string> aHeader)
  : mHeader(std::move(aHeader))
{
}

void TextTable::AddRow(std::vector<std::string> aCells)
{
  aCells.resize(mHeader.size());
  mRows.push_back(std::move(aCells));
}

std::string TextTable::Render() const
{
  std::vector<std::size_t> widths;
  for (std::size_t column = 0; column < mHeader.size(); ++column) {
    std::size_t width = mHeader[column].size();
    for (const auto& row : mRows) {
      width = std::max(width, row[column].size());
    }
    widths.push_back(width);
  }
  std::string text;
  const auto append = [&](const std::vector<std::string>& aCells) {
    std::string line;
    for (std::size_t column = 0; column < aCells.size(); ++column) {
      line.append(column == 0 ? "" : kGap).append(aCells[column]);
      line.append(widths[column] - aCells[column].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  };
  std::vector<std::string> header = mHeader;
  std::ranges::transform(header, header.begin(), ToCapitals);
  append(header);
  std::ranges::for_each(mRows, append);
  return text;
}

std::string RenderJsonAsText(std::string_view aJson)
{
  json::error_code ec;
  const json::value value =
    json::parse(json::string_view(aJson.data(), aJson.size()), ec);
  if (ec) {
    return std::string(aJson);
  }
  if (IsListOfObjects(value)) {
    return RenderList(value.get_array());
  }
  if (value.is_object()) {
    return RenderObject(value.get_object());
  }
  return RenderCell(value) + "\n";
}

} // namespace carobtide
