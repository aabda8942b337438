#include "carobtide/settings.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace carobtide;

namespace {

/** All faults, one a line. */
std::string Print(const YamlDocument& aDocument)
{
  std::string text;
  for (const YamlFault& fault : aDocument.Faults()) {
    text += fault.ToString() + "\n";
  }
  return text;
}

} // namespace

TEST_CASE("scalars are read with their types")
{
  const YamlDocument document("text: a b\ncount: -3\nshare: 0.5\nflag: true\n"
                              "wait: 20ms\nsize: 3KiB\nlist: [x, \"y\"]\n");
  const YamlNode root = document.Root();
  CHECK(root.Child("text").RequiredText() == "a b");
  CHECK(root.Child("count").RequiredInteger(-5, 5) == -3);
  CHECK(root.Child("share").NumberOr(1, 0, 1) == 0.5);
  CHECK(root.Child("flag").BooleanOr(false));
  CHECK(root.Child("wait").DurationOr(0us) == 20ms);
  CHECK(root.Child("size").RequiredSize() == 3 * kKiB);
  CHECK(root.Child("list").TextItems() == std::vector<std::string>{ "x", "y" });
  CHECK_FALSE(root.Child("absent").IsPresent());
  CHECK(root.Child("absent").Child("below").TextOr("default") == "default");
  CHECK(Print(document).empty());
}

TEST_CASE("a fault carries line, column, path and what was expected")
{
  const YamlDocument document("a:\n  - b: 1\n  - b: x\n");
  for (const YamlNode& item : document.Root().Child("a").Items()) {
    item.Child("b").RequiredInteger(0, 9);
  }
  REQUIRE(document.Faults().size() == 1);
  const YamlFault fault = document.Faults()[0];
  CHECK(fault.mLine == 3);
  CHECK(fault.mColumn == 8);
  CHECK(fault.mPath == "a[1].b");
  CHECK(fault.mExpected == "expected an integer from 0 to 9, found 'x'");
}

TEST_CASE("all faults are reported, ordered by place")
{
  const YamlDocument document("b: x\na: [1]\n");
  document.Root().Child("a").RequiredText();
  document.Root().Child("b").RequiredInteger(0, 1);
  document.Root().Child("c").RequiredText();
  CHECK(Print(document) ==
        "1:1: c: expected a text, found nothing\n"
        "1:4: b: expected an integer from 0 to 1, found 'x'\n"
        "2:4: a: expected a text, found a list\n");
}

TEST_CASE("wrong scalars are faults")
{
  const auto text =
    GENERATE("v: 1.5", "v: 0x10", "v: ''", "v: '3'", "v: 99", "v: [3]",
             "v:", "v: {a: 3}", "v: 99999999999999999999", "v: 3 ");
  const YamlDocument document(text);
  const auto value = document.Root().Child("v").IntegerOr(7, 0, 9);
  const bool isTrailingSpace = std::string(text) == "v: 3 ";
  CHECK(value == (isTrailingSpace ? 3 : 7));
  CHECK(document.Faults().empty() == isTrailingSpace);
}

TEST_CASE("units are required and overflow is a fault")
{
  const auto text = GENERATE("v: 3", "v: 3 s", "v: -3s", "v: 3d", "v: s",
                             "v: 9223372036854775807h", "v: 1.5s");
  const YamlDocument document(text);
  CHECK(document.Root().Child("v").DurationOr(1s) == 1s);
  CHECK(document.Faults().size() == 1);
}

TEST_CASE("sizes outside their range are faults")
{
  const YamlDocument document("a: 1KiB\nb: 9GiB\nc: 9223372036854775807KiB\n");
  document.Root().Child("a").RequiredSize(2 * kKiB);
  document.Root().Child("b").SizeOr(0, 0, kGiB);
  document.Root().Child("c").RequiredSize();
  CHECK(document.Faults().size() == 3);
}

TEST_CASE("numbers that are not finite are faults")
{
  const auto text = GENERATE("v: nan", "v: inf", "v: 1e999", "v: 2.5x");
  const YamlDocument document(text);
  CHECK(document.Root().Child("v").NumberOr(1, 0, 10) == 1);
  CHECK(document.Faults().size() == 1);
}

TEST_CASE("unknown keys are faults where a map was read")
{
  const YamlDocument document("a: {b: 1, c: 2}\nd: {e: 1}\n");
  document.Root().Child("a").Child("b").RequiredInteger(0, 9);
  CHECK(Print(document) == "1:11: a.c: expected a known key, found another\n"
                           "2:1: d: expected a known key, found another\n");
}

TEST_CASE("duplicate keys are faults")
{
  const YamlDocument document("a: 1\nb: {c: 1, c: 2}\na: 2\n");
  document.Root().Child("a").RequiredInteger(0, 9);
  document.Root().Child("b").Child("c").RequiredInteger(0, 9);
  CHECK(Print(document) == "2:11: b.c: expected each key once, found it again "
                           "(first on line 2)\n"
                           "3:1: a: expected each key once, found it again "
                           "(first on line 1)\n");
}

TEST_CASE("what is no plain YAML is one fault with its place")
{
  const auto text = GENERATE("a: [1", "a: b: c", "a:\n\t- b", "a: &x 1",
                             "a: &x 1\nb: *x", "a: !!int 1", "--- 1\n--- 2",
                             "? [a]\n: 1", "a: !t {}", "{a: 1}}", "a: \"\\q\"");
  const YamlDocument document(text);
  document.Root().Child("a").RequiredText();
  REQUIRE(document.Faults().size() == 1);
  CHECK(document.Faults()[0].mLine >= 1);
  CHECK(document.Faults()[0].mColumn >= 1);
}

TEST_CASE("nesting, size and the number of nodes are bounded")
{
  const std::string deep(100'000, '[');
  CHECK(YamlDocument(deep).Faults().size() == 1);
  const std::string deepMap = "a: " + std::string(1'000, '{');
  CHECK(YamlDocument(deepMap).Faults().size() == 1);
  const std::string seventeen = std::string(17, '[') + std::string(17, ']');
  CHECK(YamlDocument(seventeen).Faults().size() == 1);
  const std::string sixteen = std::string(16, '[') + std::string(16, ']');
  CHECK(YamlDocument(sixteen).Faults().empty());
  const std::string large(3 * kMiB, 'x');
  CHECK(YamlDocument(large).Faults().size() == 1);
  std::string many = "[";
  for (int n = 0; n < 600'000; ++n) {
    many += "1,";
  }
  CHECK(YamlDocument(many + "]").Faults().size() == 1);
}

TEST_CASE("the number of faults is bounded")
{
  std::string text;
  for (int n = 0; n < 1'000; ++n) {
    text += "key" + std::to_string(n) + ": 1\n";
  }
  const YamlDocument document(text);
  document.Root().Child("none").IsPresent();
  CHECK(document.Faults().size() == 200);
}

TEST_CASE("reading an empty text is safe")
{
  const auto text = GENERATE("", "# comment", "---", "~");
  const YamlDocument document(text);
  CHECK(document.Root().Child("a").RequiredText().empty());
  CHECK_FALSE(document.Faults().empty());
}

TEST_CASE("a node outlives its document")
{
  YamlNode node = YamlDocument("a: {b: 1}").Root().Child("a");
  CHECK(node.Child("b").RequiredInteger(0, 9) == 1);
}
