#pragma once

/**
 * @file
 * Aligned text for people.
 */

#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/**
 * Rows of cells, printed with aligned columns.
 *
 * Thread safety: none.
 */
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  /** Adds a row; missing cells are empty, surplus ones are dropped. */
  void AddRow(std::vector<std::string> aCells);

  bool IsEmpty() const { return mRows.empty(); }

  /** Renders the header in capitals, then the rows, two spaces between. */
  std::string Render() const;

private:
  std::vector<std::string> mHeader;
  std::vector<std::vector<std::string>> mRows;
};

/**
 * Renders any JSON answer of the operators' API: scalars as "key  value"
 * lines, lists of objects as tables. The text itself if it is not JSON.
 */
std::string RenderJsonAsText(std::string_view aJson);

} // namespace carobtide
