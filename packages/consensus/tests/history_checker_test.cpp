// Each property must be able to fail: every checker is fed a faulty history.

#include "history_checker.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

LogEntry Command(std::uint64_t aIndex, std::uint64_t aTerm, const char* aText)
{
  return LogEntry{ aIndex, aTerm, EntryKind::Command, aText };
}

const ReplicaId kFirst(1);
const ReplicaId kSecond(2);

} // namespace

TEST_CASE("checker: a second leader of a term is a violation")
{
  HistoryChecker checker;
  checker.OnLeader(3, kFirst);
  checker.OnLeader(3, kFirst);
  checker.OnLeader(4, kSecond);
  CHECK(checker.Violation().empty());
  checker.OnLeader(3, kSecond);
  CHECK_FALSE(checker.Violation().empty());
}

TEST_CASE("checker: logs that differ at one position are a violation")
{
  HistoryChecker content;
  content.OnStored(Command(2, 1, "a"), 1);
  content.OnStored(Command(2, 2, "b"), 1);
  CHECK(content.Violation().empty());
  content.OnStored(Command(2, 1, "c"), 1);
  CHECK_FALSE(content.Violation().empty());

  HistoryChecker prefix;
  prefix.OnStored(Command(2, 2, "a"), 1);
  prefix.OnStored(Command(2, 2, "a"), 2);
  CHECK_FALSE(prefix.Violation().empty());
}

TEST_CASE("checker: a changed, repeated or skipped entry is a violation")
{
  HistoryChecker changed;
  changed.OnApplied(kFirst, Command(1, 1, "a"));
  changed.OnApplied(kSecond, Command(1, 2, "a"));
  CHECK_FALSE(changed.Violation().empty());

  HistoryChecker repeated;
  repeated.OnApplied(kFirst, Command(1, 1, "a"));
  repeated.OnApplied(kFirst, Command(1, 1, "a"));
  CHECK_FALSE(repeated.Violation().empty());

  HistoryChecker skipped;
  skipped.OnApplied(kFirst, Command(2, 1, "a"));
  CHECK_FALSE(skipped.Violation().empty());

  HistoryChecker twice;
  twice.OnApplied(kFirst, Command(1, 1, "a"));
  twice.OnApplied(kFirst, Command(2, 1, "a"));
  CHECK_FALSE(twice.Violation().empty());
}

TEST_CASE("checker: a wrong or older restored state is a violation")
{
  HistoryChecker wrong;
  wrong.OnApplied(kFirst, Command(1, 1, "a"));
  wrong.OnRestored(kSecond, 1, FoldState(0, Command(1, 1, "a")));
  CHECK(wrong.Violation().empty());
  wrong.OnRestored(kSecond, 1, 5);
  CHECK_FALSE(wrong.Violation().empty());

  HistoryChecker older;
  older.OnApplied(kFirst, Command(1, 1, "a"));
  older.OnApplied(kFirst, Command(2, 1, "b"));
  older.OnRestored(kFirst, 1, FoldState(0, Command(1, 1, "a")));
  CHECK_FALSE(older.Violation().empty());
}

TEST_CASE("checker: two leases at once are a violation")
{
  HistoryChecker checker;
  checker.OnLeases({ kFirst });
  CHECK(checker.Violation().empty());
  checker.OnLeases({ kFirst, kSecond });
  CHECK_FALSE(checker.Violation().empty());
}
