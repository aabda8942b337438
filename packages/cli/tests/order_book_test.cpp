#include "carobtide/cli/order_book.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

Instant At(std::int64_t aMillis)
{
  return Instant(std::chrono::milliseconds(aMillis));
}

Order Load(std::uint64_t aId, const char* aModel, std::uint32_t aVersion = 1,
           Bytes aMemory = 40)
{
  Order order;
  order.mId = OrderId(aId);
  order.mFence = FencingToken(5);
  order.mTarget = TargetName("t-0");
  order.mIncarnation = Incarnation(9);
  order.mModel = ModelName(aModel);
  order.mVersion = aVersion;
  order.mMemory = aMemory;
  return order;
}

Order Unload(std::uint64_t aId, const char* aModel, std::uint32_t aVersion = 1)
{
  Order order = Load(aId, aModel, aVersion);
  order.mAction = OrderAction::Unload;
  return order;
}

struct Fixture
{
  WeightStore mStore{ WeightStoreOptions{} };
  OrderBook mBook{ TargetName("t-0"), Incarnation(9), 100, true };
  ModelName mModel{ "m" };
};

} // namespace

TEST_CASE_METHOD(Fixture, "a load takes time and is idempotent", "[orders]")
{
  CHECK(mBook.Accept(At(0), Load(1, "m"), mStore) == OrderReply::Accepted);
  CHECK(mBook.Accept(At(10), Load(1, "m"), mStore) == OrderReply::Accepted);
  CHECK(mBook.Memory().Used() == 40);
  CHECK_FALSE(mBook.IsServable(mModel, {}));
  CHECK(mBook.Residents().empty());
  REQUIRE(mBook.NextDue() == At(500));
  CHECK(mBook.Advance(At(500)));
  CHECK(mBook.IsServable(mModel, {}));
  CHECK(mBook.Accept(At(600), Load(1, "m"), mStore) == OrderReply::Done);
  REQUIRE(mBook.Residents().size() == 1);
  CHECK(mBook.Residents().front().mOrder == OrderId(1));
  CHECK(mBook.Stats().mLoads == 1);
}

TEST_CASE_METHOD(Fixture, "an overcommitting load is reported", "[orders]")
{
  (void)mBook.Accept(At(0), Load(1, "m"), mStore);
  (void)mBook.Accept(At(0), Load(2, "n"), mStore);
  CHECK(mBook.Accept(At(0), Load(3, "o"), mStore) == OrderReply::NoMemory);
  CHECK(mBook.Memory().Used() == 80);
  REQUIRE(mBook.RefusedOrders().size() == 1);
  CHECK(mBook.RefusedOrders().front() == OrderId(3));
}

TEST_CASE_METHOD(Fixture, "old fences and other incarnations are refused",
                 "[orders]")
{
  (void)mBook.Accept(At(0), Load(1, "m"), mStore);
  Order stale = Load(2, "n");
  stale.mFence = FencingToken(4);
  CHECK(mBook.Accept(At(0), stale, mStore) == OrderReply::StaleFence);
  Order other = Load(3, "n");
  other.mIncarnation = Incarnation(8);
  CHECK(mBook.Accept(At(0), other, mStore) == OrderReply::WrongIncarnation);
  OrderBook lenient(TargetName("t-0"), Incarnation(9), 100, false);
  (void)lenient.Accept(At(0), Load(1, "m"), mStore);
  CHECK(lenient.Accept(At(0), stale, mStore) == OrderReply::Accepted);
}

TEST_CASE_METHOD(Fixture, "an unload waits for the requests on that version",
                 "[orders]")
{
  (void)mBook.Accept(At(0), Load(1, "m", 1), mStore);
  mBook.Advance(At(500));
  const CopyUse use = mBook.BeginUse(mModel, {});
  (void)mBook.Accept(At(600), Load(2, "m", 2), mStore);
  mBook.Advance(At(1100));
  const CopyUse newer = mBook.BeginUse(mModel, {});
  CHECK(newer.mModelVersion == 2);
  CHECK(mBook.Accept(At(1200), Unload(3, "m", 1), mStore) ==
        OrderReply::Accepted);
  CHECK(mBook.Memory().Used() == 80);
  mBook.EndUse(use);
  CHECK(mBook.Advance(At(1300)));
  CHECK(mBook.Memory().Used() == 40);
  CHECK(mBook.IsServable(mModel, {}));
}

TEST_CASE_METHOD(Fixture, "an adapter serves only with its model", "[orders]")
{
  Order adapter = Load(1, "m", 1, 5);
  adapter.mAdapter = AdapterName("a");
  (void)mBook.Accept(At(0), adapter, mStore);
  mBook.Advance(At(10));
  CHECK_FALSE(mBook.IsServable(mModel, AdapterName("a")));
  (void)mBook.Accept(At(10), Load(2, "m"), mStore);
  mBook.Advance(At(600));
  CHECK(mBook.IsServable(mModel, AdapterName("a")));
}

TEST_CASE("the store delays loads beyond its rate and concurrency", "[orders]")
{
  WeightStoreOptions options;
  options.mLoadTime = std::chrono::milliseconds(100);
  options.mLoadsPerSecond = 100;
  options.mMaxConcurrentLoads = 2;
  WeightStore store(options);
  CHECK(store.BookLoad(At(0), false) == At(100));
  CHECK(store.BookLoad(At(0), false) == At(110));
  CHECK(store.BookLoad(At(0), false) == At(170));
  CHECK(store.BookLoad(At(0), true) == At(5));
}
