#include "carobtide/cli/announcer.hpp"

#include <boost/json.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace carobtide {

namespace json = boost::json;

namespace {

json::array RenderResidents(const std::vector<ResidentModel>& aResidents)
{
  json::array list;
  for (const ResidentModel& resident : aResidents) {
    list.push_back({ { "model", resident.mModel.Text() },
                     { "adapter", resident.mAdapter.Text() },
                     { "version", resident.mVersion },
                     { "memory_bytes", resident.mMemory },
                     { "order_id", resident.mOrder.Value() } });
  }
  return list;
}

json::object RenderLoad(const LoadReport& aLoad)
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLoad.mAge);
  return { { "age_ms", age.count() },
           { "running", aLoad.mRunning },
           { "waiting", aLoad.mWaiting },
           { "kv_used", aLoad.mKvUsed },
           { "slots", aLoad.mSlots } };
}

/** Reads fields of one JSON object and remembers the first fault. */
class FieldReader
{
public:
  explicit FieldReader(const json::object& aObject)
    : mObject(aObject)
  {
  }

  std::string Text(std::string_view aKey, bool aIsRequired)
  {
    const json::value* value = mObject.if_contains(aKey);
    if (value != nullptr && value->is_string()) {
      return std::string(value->get_string());
    }
    Require(value == nullptr && !aIsRequired, aKey);
    return {};
  }

  template<class Number>
  Number Count(std::string_view aKey, bool aIsRequired)
  {
    const json::value* value = mObject.if_contains(aKey);
    if (value == nullptr) {
      Require(!aIsRequired, aKey);
      return 0;
    }
    json::error_code ec;
    const auto number = value->to_number<Number>(ec);
    Require(!ec, aKey);
    return ec ? Number{ 0 } : number;
  }

  void Require(bool aHolds, std::string_view aKey)
  {
    if (!aHolds && mFault.empty()) {
      mFault = std::string(aKey) + " is missing or malformed";
    }
  }

  const std::string& Fault() const { return mFault; }

private:
  const json::object& mObject;
  std::string mFault;
};

Error OrderFault(std::string aDetail)
{
  return Error{ ErrorCode::Malformed, "order.parse", "", std::move(aDetail) };
}

} // namespace

std::string RenderAnnouncement(const Announcement& aAnnouncement)
{
  json::array refused;
  for (const OrderId id : aAnnouncement.mRefusedOrders) {
    refused.emplace_back(id.Value());
  }
  const json::object body{
    { "target", aAnnouncement.mTarget.Text() },
    { "incarnation", aAnnouncement.mIncarnation.Value() },
    { "sequence", aAnnouncement.mSequence },
    { "failure_domain", aAnnouncement.mFailureDomain.Text() },
    { "address", aAnnouncement.mAddress.ToString() },
    { "kind", kTargetKinds.Name(aAnnouncement.mKind) },
    { "role", kEngineRoles.Name(aAnnouncement.mRole) },
    { "pool", aAnnouncement.mPool },
    { "memory_bytes", aAnnouncement.mMemory },
    { "accelerators", aAnnouncement.mAccelerators },
    { "resident", RenderResidents(aAnnouncement.mResident) },
    { "refused_orders", std::move(refused) },
    { "checks_fencing", aAnnouncement.mChecksFencing },
    { "leaving", aAnnouncement.mLeaving },
    { "load", RenderLoad(aAnnouncement.mLoad) }
  };
  return json::serialize(body);
}

Result<Order> ParseOrder(std::string_view aBody)
{
  json::error_code ec;
  const json::value value =
    json::parse(json::string_view(aBody.data(), aBody.size()), ec);
  if (ec || !value.is_object()) {
    return OrderFault("body is not a JSON object");
  }
  FieldReader reader(value.get_object());
  Order order;
  order.mId = OrderId(reader.Count<std::uint64_t>("order_id", true));
  order.mFence = FencingToken(reader.Count<std::uint64_t>("fence", true));
  order.mTarget = TargetName(reader.Text("target", true));
  order.mIncarnation =
    Incarnation(reader.Count<std::uint64_t>("incarnation", true));
  const auto action = kOrderActions.Find(reader.Text("action", true));
  reader.Require(action.has_value(), "action");
  order.mAction = action.value_or(OrderAction::Load);
  const bool isRole = order.mAction == OrderAction::SetRole;
  order.mModel = ModelName(reader.Text("model", !isRole));
  order.mAdapter = AdapterName(reader.Text("adapter", false));
  order.mVersion = reader.Count<std::uint32_t>("version", !isRole);
  order.mMemory =
    reader.Count<std::int64_t>("memory", order.mAction == OrderAction::Load);
  reader.Require(order.mMemory >= 0, "memory");
  const auto role = kEngineRoles.Find(reader.Text("role", isRole));
  reader.Require(role.has_value() || !isRole, "role");
  order.mRole = role.value_or(EngineRole::Mixed);
  if (!reader.Fault().empty()) {
    return OrderFault(reader.Fault());
  }
  return order;
}

std::string RenderCacheEvents(const TargetName& aTarget,
                              const std::vector<PrefixEvent>& aEvents)
{
  constexpr int kHexBase = 16;
  json::array events;
  for (const PrefixEvent& event : aEvents) {
    std::array<char, 2 * sizeof(std::uint64_t)> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   event.mPrefixHash, kHexBase);
    events.push_back({ { "prefix_hash", std::string(digits.data(), end.ptr) },
                       { "evicted", event.mEvicted } });
  }
  return json::serialize(json::object{ { "target", aTarget.Text() },
                                       { "events", std::move(events) } });
}

LoadLag::LoadLag(Duration aLag)
  : mLag(aLag)
{
}

void LoadLag::Record(Instant aNow, const LoadReport& aLoad)
{
  mHistory.emplace_back(aNow, aLoad);
}

LoadReport LoadLag::Report(Instant aNow)
{
  while (mHistory.size() > 1 && mHistory[1].first + mLag <= aNow) {
    mHistory.pop_front();
  }
  if (mHistory.empty() || mHistory.front().first + mLag > aNow) {
    return {};
  }
  LoadReport report = mHistory.front().second;
  report.mAge =
    std::chrono::duration_cast<Duration>(aNow - mHistory.front().first);
  return report;
}

} // namespace carobtide
