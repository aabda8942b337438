#include "carobtide/placement/engine_tracker.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const ModelName kModel("m");

Heartbeat MakeHeartbeat(std::uint64_t aSequence,
                        std::vector<HeldModel> aModels = {})
{
  Heartbeat heartbeat;
  heartbeat.mTarget = TargetName("t");
  heartbeat.mIncarnation = Incarnation(1);
  heartbeat.mSequence = aSequence;
  heartbeat.mModels = std::move(aModels);
  return heartbeat;
}

EngineReport MakeReport(std::uint64_t aAccepted, bool aBusy,
                        std::vector<HeldModel> aModels = {})
{
  EngineReport report;
  report.mAccepted = aAccepted;
  report.mBusy = aBusy;
  report.mModels = std::move(aModels);
  return report;
}

ResidencyOrder MakeOrder(std::uint64_t aId, const EngineTracker& aBook,
                         ResidencyAction aAction = ResidencyAction::Load)
{
  ResidencyOrder order;
  order.mId = OrderId(aId);
  order.mAction = aAction;
  order.mModel = kModel;
  order.mAccepted = aBook.Accepted();
  return order;
}

/** A book whose count of orders is known. */
EngineTracker MakeKnown(std::uint64_t aAccepted)
{
  EngineTracker book(MakeHeartbeat(1), false);
  CHECK_FALSE(book.IsFree(kStart));
  CHECK(book.WantsReport(kStart));
  CHECK_FALSE(book.WantsReport(kStart));
  book.OnReport(kStart, kStart, MakeReport(aAccepted, false));
  return book;
}

} // namespace

TEST_CASE("no order goes out before the engine's count is known")
{
  EngineTracker book = MakeKnown(3);
  CHECK(book.IsFree(kStart));
  CHECK(book.Accepted() == 3);
}

TEST_CASE("an order without an answer is sent again as it was")
{
  EngineTracker book = MakeKnown(3);
  const ResidencyOrder order = MakeOrder(1, book);
  book.OnSent(kStart, order, 3s);
  CHECK_FALSE(book.TakeResend(kStart + 1s));
  book.OnAnswer(kStart, OrderId(1), ResidencyAnswer::Unknown);
  CHECK_FALSE(book.IsFree(kStart + 1s));
  const auto again = book.TakeResend(kStart + 300ms);
  REQUIRE(again);
  // The same count: whichever copy is carried out first, the other is refused.
  CHECK(again->mAccepted == 3);
  CHECK(again->mId == OrderId(1));
  CHECK_FALSE(book.TakeResend(kStart + 600ms));
  CHECK(book.Occupying() == std::vector{ kModel });
}

TEST_CASE("a conflict makes the count unknown until the engine tells it")
{
  EngineTracker book = MakeKnown(3);
  book.OnSent(kStart, MakeOrder(1, book), 3s);
  book.OnAnswer(kStart, OrderId(1), ResidencyAnswer::Conflict);
  CHECK_FALSE(book.IsFree(kStart));
  CHECK_FALSE(book.WantsReport(kStart));
  const Instant later = kStart + 400ms;
  CHECK(book.WantsReport(later));
  book.OnReport(later, later, MakeReport(4, false, { { kModel, 1, {} } }));
  CHECK(book.IsFree(later));
  CHECK(book.Accepted() == 4);
  CHECK(book.Holds(kModel));
}

TEST_CASE("a load is done when a heartbeat shows it")
{
  EngineTracker book = MakeKnown(0);
  book.OnSent(kStart, MakeOrder(1, book), 3s);
  book.OnAnswer(kStart, OrderId(1), ResidencyAnswer::Accepted);
  CHECK(book.IsLoading(kModel));
  CHECK(book.Serving().empty());
  book.OnHeartbeat(kStart + 1s, MakeHeartbeat(2), false);
  CHECK(book.IsLoading(kModel));
  book.OnHeartbeat(kStart + 3s, MakeHeartbeat(3, { { kModel, 1, {} } }), false);
  CHECK_FALSE(book.IsLoading(kModel));
  CHECK(book.Serving().size() == 1);
  CHECK(book.IsFree(kStart + 3s));
  CHECK(book.Accepted() == 1);
}

TEST_CASE("a model that is being unloaded serves no more but takes room")
{
  EngineTracker book = MakeKnown(0);
  book.OnReport(kStart, kStart, MakeReport(0, false, { { kModel, 1, {} } }));
  book.OnSent(kStart, MakeOrder(1, book, ResidencyAction::Unload), 50ms);
  CHECK(book.Serving().empty());
  CHECK(book.Occupying().size() == 1);
  book.OnAnswer(kStart, OrderId(1), ResidencyAnswer::Accepted);
  CHECK(book.Serving().empty());
  CHECK(book.Occupying().size() == 1);
  book.OnHeartbeat(kStart + 1s, MakeHeartbeat(2), false);
  CHECK(book.Occupying().empty());
}

TEST_CASE("an old heartbeat or report does not undo an order")
{
  EngineTracker book = MakeKnown(0);
  book.OnReport(kStart, kStart, MakeReport(0, false, { { kModel, 1, {} } }));
  ResidencyOrder order = MakeOrder(1, book);
  order.mAdapter = AdapterName("a1");
  book.OnSent(kStart, order, 20ms);
  book.OnAnswer(kStart, OrderId(1), ResidencyAnswer::Accepted);
  CHECK(book.Find(kModel)->mAdapters.size() == 1);
  book.OnHeartbeat(kStart + 100ms, MakeHeartbeat(2, { { kModel, 1, {} } }),
                   false);
  book.OnReport(kStart + 200ms, kStart - 10ms,
                MakeReport(0, false, { { kModel, 1, {} } }));
  CHECK(book.Find(kModel)->mAdapters.size() == 1);
  CHECK(book.Accepted() == 1);
}

} // namespace carobtide
