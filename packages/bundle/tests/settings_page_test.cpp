/**
 * @file
 * docs/settings.md lists the keys that the parsers read, and no others.
 */

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace {

std::string ReadFile(const std::string& aPath)
{
  std::ifstream in(std::filesystem::path(CAROBTIDE_SOURCE_DIR) / aPath);
  REQUIRE(in);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

/** The first group of every match. */
std::set<std::string> FindAll(const std::string& aText,
                              const std::string& aPattern)
{
  const std::regex pattern(aPattern);
  std::set<std::string> found;
  for (std::sregex_iterator it(aText.begin(), aText.end(), pattern), end;
       it != end; ++it) {
    found.insert((*it)[1].str());
  }
  return found;
}

/** Last names of the key paths in the tables below a heading. */
std::set<std::string> DocumentedKeys(const std::string& aHeading)
{
  const std::string page = ReadFile("docs/settings.md");
  const auto begin = page.find("\n## " + aHeading + "\n");
  REQUIRE(begin != std::string::npos);
  const auto end = page.find("\n## ", begin + 1);
  std::set<std::string> keys;
  for (const std::string& path :
       FindAll(page.substr(begin, end - begin), R"(\n\| `([a-z_\[\].]+)` )")) {
    for (const std::string& key : FindAll(path, "([a-z_]+)")) {
      keys.insert(key);
    }
  }
  return keys;
}

std::set<std::string> ParsedKeys(const std::string& aSource)
{
  return FindAll(ReadFile(aSource), R"re(Child\(\s*"([a-z_]+)")re");
}

} // namespace

TEST_CASE("the page lists the keys of the settings")
{
  const auto parsed = ParsedKeys("packages/settings/src/daemon_settings.cpp");
  CHECK(parsed.size() > 20);
  CHECK(DocumentedKeys("Settings of a daemon") == parsed);
}

TEST_CASE("the page lists the keys of a bundle")
{
  const auto parsed = ParsedKeys("packages/bundle/src/bundle_parser.cpp");
  CHECK(parsed.size() > 25);
  CHECK(DocumentedKeys("Bundle") == parsed);
}
