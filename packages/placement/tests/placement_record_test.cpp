#include "carobtide/placement.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

CommitOrder Commit(OrderAction aAction, const std::string& aTarget,
                   const std::string& aModel, Bytes aMemory,
                   std::uint64_t aTerm = 1, std::uint64_t aSequence = 1)
{
  CommitOrder commit;
  commit.mOrder.mFence = MakeFence(FencingToken(aTerm), 0);
  commit.mOrder.mTarget = TargetName(aTarget);
  commit.mOrder.mIncarnation = Incarnation(1);
  commit.mOrder.mAction = aAction;
  commit.mOrder.mModel = ModelName(aModel);
  commit.mOrder.mVersion = 1;
  commit.mOrder.mMemory = aMemory;
  commit.mObserved = { 10, aSequence, {} };
  return commit;
}

SettleOrder Settle(std::uint64_t aId, bool aDone, std::uint64_t aSequence = 1)
{
  return { FencingToken(1), OrderId(aId), aDone, aSequence };
}

const TargetAccount& AccountOf(const Placement& aPlacement)
{
  return *aPlacement.FindAccount(TargetName("t"), Incarnation(1));
}

} // namespace

TEST_CASE("loads of two leaders cannot add up to more than the memory")
{
  Placement record;
  CHECK(record.Apply(1, Commit(OrderAction::Load, "t", "a", 6, 1)));
  CHECK_FALSE(record.Apply(2, Commit(OrderAction::Load, "t", "b", 6, 2)));
  CHECK(record.Apply(3, Commit(OrderAction::Load, "t", "b", 4, 2)));
  CHECK(record.OpenOrders().size() == 2);
  CHECK(record.OpenOrders().begin()->second.mId == OrderId(1));
  CHECK(AccountOf(record).Reserved() == 10);
}

TEST_CASE("an unload frees memory only once settled")
{
  Placement record;
  record.Apply(1, Commit(OrderAction::Load, "t", "a", 6));
  CHECK_FALSE(record.Apply(2, Commit(OrderAction::Unload, "t", "a", 0)));
  CHECK(record.Apply(3, Settle(1, true)));
  CHECK(record.Apply(4, Commit(OrderAction::Unload, "t", "a", 0)));
  CHECK_FALSE(record.Apply(5, Commit(OrderAction::Load, "t", "b", 6)));
  CHECK(record.Apply(6, Settle(4, true)));
  CHECK(record.Apply(7, Commit(OrderAction::Load, "t", "b", 6)));
}

TEST_CASE("copies loaded without an order are accounted from the announcement")
{
  Placement record;
  CommitOrder commit = Commit(OrderAction::Load, "t", "b", 5);
  commit.mObserved.mUnaccounted = { { ModelName("a"), {}, 1, 6, {} } };
  CHECK_FALSE(record.Apply(1, commit));
  CHECK(record.FindAccount(TargetName("t"), Incarnation(1)) == nullptr);
  commit.mOrder.mMemory = 4;
  CHECK(record.Apply(2, commit));
  CHECK(AccountOf(record).Reserved() == 10);
}

TEST_CASE("an order based on an outdated announcement is refused")
{
  Placement record;
  record.Apply(1, Commit(OrderAction::Load, "t", "a", 2, 1, 5));
  record.Apply(2, Settle(1, true, 8));
  CHECK_FALSE(record.Apply(3, Commit(OrderAction::Load, "t", "b", 2, 1, 7)));
  CHECK(record.Apply(4, Commit(OrderAction::Load, "t", "b", 2, 1, 8)));
}

TEST_CASE("commands of an earlier term are refused after a new term begins")
{
  Placement record;
  record.Apply(1, Commit(OrderAction::Load, "t", "a", 2, 1));
  CHECK(record.Apply(2, BeginTerm{ FencingToken(2) }));
  CHECK_FALSE(record.Apply(3, Settle(1, false)));
  CHECK_FALSE(record.Apply(4, Commit(OrderAction::Load, "t", "b", 2, 1)));
  CHECK_FALSE(record.Apply(
    5, RetireIncarnation{ FencingToken(1), TargetName("t"), Incarnation(1) }));
  CHECK_FALSE(record.Apply(6, BeginTerm{ FencingToken(1) }));
  CHECK(AccountOf(record).Reserved() == 2);
}

TEST_CASE("two unloads cannot rely on each other")
{
  Placement record;
  record.Apply(1, Commit(OrderAction::Load, "t", "a", 2));
  record.Apply(2, Commit(OrderAction::Load, "u", "a", 2));
  record.Apply(3, Settle(1, true));
  record.Apply(4, Settle(2, true));
  CommitOrder first = Commit(OrderAction::Unload, "t", "a", 0);
  first.mRemainingReplica =
    RemainingReplica{ TargetName("u"), Incarnation(1), 1 };
  CommitOrder second = Commit(OrderAction::Unload, "u", "a", 0);
  second.mRemainingReplica =
    RemainingReplica{ TargetName("t"), Incarnation(1), 1 };
  CHECK(record.Apply(5, first));
  CHECK_FALSE(record.Apply(6, second));
}

TEST_CASE("weights cannot be unloaded before their adapters")
{
  Placement record;
  CommitOrder adapter = Commit(OrderAction::Load, "t", "a", 1);
  adapter.mOrder.mAdapter = AdapterName("x");
  record.Apply(1, Commit(OrderAction::Load, "t", "a", 2));
  record.Apply(2, Settle(1, true));
  record.Apply(3, adapter);
  record.Apply(4, Settle(3, true));
  CHECK_FALSE(record.Apply(5, Commit(OrderAction::Unload, "t", "a", 0)));
  adapter.mOrder.mAction = OrderAction::Unload;
  CHECK(record.Apply(6, adapter));
  CHECK(record.Apply(7, Commit(OrderAction::Unload, "t", "a", 0)));
}

TEST_CASE("loads of an ended incarnation stay reserved until it is retired")
{
  Placement record;
  record.Apply(1, Commit(OrderAction::Load, "t", "a", 6));
  CommitOrder next = Commit(OrderAction::Load, "t", "b", 6);
  next.mOrder.mIncarnation = Incarnation(2);
  CHECK_FALSE(record.Apply(2, next));
  CHECK(record.Apply(
    3, RetireIncarnation{ FencingToken(1), TargetName("t"), Incarnation(1) }));
  CHECK(record.OpenOrders().empty());
  CHECK(record.Apply(4, next));
}

TEST_CASE("a snapshot restores the record")
{
  Placement record;
  record.Apply(1, BeginTerm{ FencingToken(1) });
  record.Apply(2, Commit(OrderAction::Load, "t", "a", 6));
  Placement copy;
  REQUIRE(copy.Load(record.Save()));
  CHECK(copy.Save() == record.Save());
  CHECK(copy.Term() == FencingToken(1));
  CHECK_FALSE(copy.Apply(3, Commit(OrderAction::Load, "t", "b", 6)));
  CHECK_FALSE(copy.Load("no snapshot"));
}
