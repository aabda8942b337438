#include "carobtide/daemon/announcement_json.hpp"

#include "carobtide/daemon/json_fields.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <limits>

namespace carobtide {

namespace json = boost::json;

namespace {

constexpr std::string_view kStep = "announcement.parse";
constexpr std::size_t kMaxResident = 4096;
constexpr std::size_t kMaxRefusedOrders = 1024;
constexpr std::size_t kMaxCacheEvents = 4096;
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();

ResidentModel ParseResident(const JsonFields& aFields)
{
  ResidentModel resident;
  resident.mModel = ModelName(aFields.RequiredText("model"));
  resident.mAdapter = AdapterName(aFields.TextOr("adapter", ""));
  resident.mVersion =
    static_cast<std::uint32_t>(aFields.IntegerOr("version", 0, 0, kMaxCount));
  resident.mMemory = aFields.IntegerOr("memory_bytes", 0, 0, kMaxInteger);
  resident.mOrder = OrderId(static_cast<std::uint64_t>(
    aFields.IntegerOr("order_id", 0, 0, kMaxInteger)));
  return resident;
}

LoadReport ParseLoad(const JsonFields& aFields)
{
  LoadReport load;
  load.mAge =
    std::chrono::milliseconds(aFields.IntegerOr("age_ms", 0, 0, kMaxCount));
  const auto count = [&](std::string_view aName) {
    return static_cast<std::uint32_t>(
      aFields.IntegerOr(aName, 0, 0, kMaxCount));
  };
  load.mRunning = count("running");
  load.mWaiting = count("waiting");
  load.mSlots = count("slots");
  load.mKvUsed = aFields.NumberOr("kv_used", 0.0);
  return load;
}

void ParseIdentity(const JsonFields& aFields, Announcement& aOut)
{
  aOut.mTarget = TargetName(aFields.RequiredText("target"));
  aOut.mIncarnation = Incarnation(static_cast<std::uint64_t>(
    aFields.RequiredInteger("incarnation", 1, kMaxInteger)));
  aOut.mSequence = static_cast<std::uint64_t>(
    aFields.RequiredInteger("sequence", 0, kMaxInteger));
  aOut.mFailureDomain = FailureDomain(aFields.RequiredText("failure_domain"));
  const auto address = ParseEndpoint(aFields.RequiredText("address"));
  if (address) {
    aOut.mAddress = *address;
  } else {
    aFields.AddFault("address: expected IP:PORT");
  }
}

void ParseResources(const JsonFields& aFields, Announcement& aOut)
{
  aOut.mKind = aFields.EnumOr("kind", kTargetKinds, TargetKind::Engine);
  aOut.mRole = aFields.EnumOr("role", kEngineRoles, EngineRole::Mixed);
  aOut.mPool = aFields.RequiredText("pool");
  aOut.mMemory = aFields.IntegerOr("memory_bytes", 0, 0, kMaxInteger);
  aOut.mAccelerators = static_cast<std::uint32_t>(
    aFields.IntegerOr("accelerators", 1, 0, kMaxCount));
  aOut.mChecksFencing = aFields.BooleanOr("checks_fencing", false);
  aOut.mLeaving = aFields.BooleanOr("leaving", false);
}

} // namespace

Result<Announcement> ParseAnnouncement(std::string_view aJson,
                                       std::string_view aPeer)
{
  const JsonDocument document(aJson);
  const JsonFields fields = document.Root();
  Announcement announcement;
  ParseIdentity(fields, announcement);
  ParseResources(fields, announcement);
  for (const JsonFields& item : fields.Items("resident", kMaxResident)) {
    announcement.mResident.push_back(ParseResident(item));
  }
  for (const std::int64_t id :
       fields.Integers("refused_orders", kMaxRefusedOrders)) {
    announcement.mRefusedOrders.emplace_back(static_cast<std::uint64_t>(id));
  }
  announcement.mLoad = ParseLoad(fields.Object("load"));
  if (document.HasFaults()) {
    return MakeError(ErrorCode::Malformed, kStep, aPeer, document.Faults());
  }
  return announcement;
}

Result<std::vector<CacheEvent>> ParseCacheEvents(std::string_view aJson,
                                                 std::string_view aPeer)
{
  constexpr int kHexBase = 16;
  const JsonDocument document(aJson);
  const JsonFields fields = document.Root();
  const TargetName target(fields.RequiredText("target"));
  std::vector<CacheEvent> events;
  for (const JsonFields& item : fields.Items("events", kMaxCacheEvents)) {
    CacheEvent event;
    event.mTarget = target;
    event.mEvicted = item.BooleanOr("evicted", false);
    const std::string hex = item.RequiredText("prefix_hash");
    const char* end = hex.data() + hex.size();
    const auto parsed =
      std::from_chars(hex.data(), end, event.mPrefixHash, kHexBase);
    if (hex.empty() || parsed.ptr != end) {
      item.AddFault("prefix_hash: expected hexadecimal digits");
    }
    events.push_back(std::move(event));
  }
  if (document.HasFaults()) {
    return MakeError(ErrorCode::Malformed, kStep, aPeer, document.Faults());
  }
  return events;
}

std::string RenderOrder(const Order& aOrder)
{
  json::object order;
  order["order_id"] = aOrder.mId.Value();
  order["fence"] = aOrder.mFence.Value();
  order["target"] = aOrder.mTarget.Text();
  order["incarnation"] = aOrder.mIncarnation.Value();
  order["action"] = kOrderActions.Name(aOrder.mAction);
  order["model"] = aOrder.mModel.Text();
  order["adapter"] = aOrder.mAdapter.Text();
  order["version"] = aOrder.mVersion;
  order["memory"] = aOrder.mMemory;
  order["role"] = kEngineRoles.Name(aOrder.mRole);
  return json::serialize(order);
}

} // namespace carobtide
