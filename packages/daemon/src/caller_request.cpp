#include "caller_request.hpp"

#include "carobtide/daemon/json_fields.hpp"
#include "clock.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <charconv>

namespace carobtide {

namespace json = boost::json;

namespace {

constexpr std::string_view kStep = "caller.parse";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::size_t kBytesPerToken = 4;
/** Prefixes are hashed at multiples of this many bytes. */
constexpr std::size_t kPrefixStride = 256;
constexpr std::size_t kMaxPrefixes = 32;

/** The prompt's text: all messages or the prompt, one after the other. */
std::string PromptText(const json::value& aRoot)
{
  const json::object& root = aRoot.as_object();
  std::string text;
  if (const auto* prompt = root.if_contains("prompt");
      prompt != nullptr && prompt->is_string()) {
    text = std::string(prompt->as_string());
  }
  const auto* messages = root.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return text;
  }
  for (const json::value& message : messages->as_array()) {
    const auto* object = message.if_object();
    const auto* content =
      object == nullptr ? nullptr : object->if_contains("content");
    if (content != nullptr && content->is_string()) {
      text += std::string_view(content->as_string());
      text += '\n';
    }
  }
  return text;
}

std::vector<std::uint64_t> HashPrefixes(std::string_view aText)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t seed = 0;
  while (aText.size() >= kPrefixStride && hashes.size() < kMaxPrefixes) {
    seed = ComputeChecksum(aText.substr(0, kPrefixStride), seed);
    hashes.push_back(seed);
    aText.remove_prefix(kPrefixStride);
  }
  return hashes;
}

/** The caller's own limit for the whole answer, in milliseconds. */
std::optional<Duration> HeaderDeadline(const HttpRequest& aRequest)
{
  const auto text = aRequest.mHeaders.Get("Carobtide-Deadline-Ms");
  std::int64_t millis = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), millis);
  const bool isNumber =
    !text.empty() && parsed.ptr == text.data() + text.size();
  constexpr std::int64_t kMaxMillis = 7LL * 24 * 3600 * 1000;
  if (!isNumber || millis <= 0 || millis > kMaxMillis) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(millis);
}

PriorityClass PriorityOf(const CallerSpec& aCaller, const HttpRequest& aRequest)
{
  const auto wanted =
    kPriorityClasses.Find(aRequest.mHeaders.Get("Carobtide-Priority"));
  // A caller may lower its priority, never raise it.
  return wanted ? std::max(*wanted, aCaller.mPriority) : aCaller.mPriority;
}

void SetDeadlines(const Bundle& aBundle, const HttpRequest& aRequest,
                  RequestFacts& aFacts)
{
  const Instant now = SteadyNow();
  const ClassSpec& limits = aBundle.ClassFor(aFacts.mPriority);
  aFacts.mFirstByteDeadline = now + limits.mFirstByte;
  const Duration whole = HeaderDeadline(aRequest).value_or(limits.mWhole);
  aFacts.mDeadline = now + whole;
  aFacts.mFirstByteDeadline =
    std::min(aFacts.mFirstByteDeadline, aFacts.mDeadline);
}

Result<Unit> SetModel(const Bundle& aBundle, const CallerSpec& aCaller,
                      std::string_view aName, RequestFacts& aFacts)
{
  const auto colon = aName.find(':');
  aFacts.mModel = ModelName(aName.substr(0, colon));
  if (colon != std::string_view::npos) {
    aFacts.mAdapter = AdapterName(aName.substr(colon + 1));
  }
  const bool isServed =
    aBundle.FindModel(aFacts.mModel) != nullptr &&
    (aFacts.mAdapter.IsEmpty() ||
     aBundle.FindAdapter(aFacts.mModel, aFacts.mAdapter) != nullptr);
  const bool isEntitled = IsEntitledToModel(aCaller, aFacts.mModel);
  if (isServed && isEntitled) {
    return Success();
  }
  return MakeError(isServed ? ErrorCode::Forbidden : ErrorCode::NotFound, kStep,
                   aCaller.mName.Text(), "model " + std::string(aName));
}

HttpRequest MakeForwarded(const HttpRequest& aRequest, std::string aTarget)
{
  HttpRequest forwarded;
  forwarded.mMethod = aRequest.mMethod;
  forwarded.mTarget = std::move(aTarget);
  for (const char* name : { "Content-Type", "Accept", "Idempotency-Key" }) {
    if (aRequest.mHeaders.Has(name)) {
      forwarded.mHeaders.Add(name, std::string(aRequest.mHeaders.Get(name)));
    }
  }
  forwarded.mBody = aRequest.mBody;
  return forwarded;
}

} // namespace

Result<const CallerSpec*> FindCaller(const Bundle& aBundle,
                                     const HttpRequest& aRequest)
{
  const auto header = aRequest.mHeaders.Get("Authorization");
  const CallerSpec* caller = nullptr;
  if (header.starts_with(kBearer)) {
    caller = aBundle.FindCallerByToken(header.substr(kBearer.size()));
  }
  if (caller == nullptr) {
    return MakeError(ErrorCode::Unauthorized, "caller.authenticate");
  }
  return caller;
}

Result<std::shared_ptr<const ForwardPlan>> PlanCompletion(
  const Bundle& aBundle, const CallerSpec& aCaller, const HttpRequest& aRequest,
  RequestId aId)
{
  const JsonDocument document(aRequest.mBody);
  const JsonFields fields = document.Root();
  const std::string model = fields.RequiredText("model");
  auto plan = std::make_shared<ForwardPlan>();
  RequestFacts& facts = plan->mFacts;
  facts.mId = aId;
  facts.mCaller = aCaller.mName;
  facts.mPriority = PriorityOf(aCaller, aRequest);
  facts.mStreaming = fields.BooleanOr("stream", false);
  facts.mMaxTokens = static_cast<std::uint32_t>(
    fields.IntegerOr("max_tokens", 0, 0, kMaxTokens));
  if (document.HasFaults()) {
    return MakeError(ErrorCode::Malformed, kStep, aCaller.mName.Text(),
                     document.Faults());
  }
  const auto known = SetModel(aBundle, aCaller, model, facts);
  if (!known) {
    return known.GetError();
  }
  const std::string prompt = PromptText(document.Value());
  facts.mPrefixHashes = HashPrefixes(prompt);
  facts.mPromptTokens =
    static_cast<std::uint32_t>(prompt.size() / kBytesPerToken);
  facts.mFingerprint = ComputeDigest(model + "\n" + prompt);
  SetDeadlines(aBundle, aRequest, facts);
  plan->mRequest = MakeForwarded(aRequest, std::string(aRequest.Path()));
  return std::shared_ptr<const ForwardPlan>(std::move(plan));
}

Result<std::shared_ptr<const ForwardPlan>> PlanServiceCall(
  const Bundle& aBundle, const CallerSpec& aCaller, const HttpRequest& aRequest,
  RequestId aId)
{
  const std::string_view rest =
    std::string_view(aRequest.mTarget).substr(kServicePrefix.size());
  const auto slash = std::min(rest.find_first_of("/?"), rest.size());
  std::string path(rest.substr(slash));
  if (!path.starts_with('/')) {
    path.insert(path.begin(), '/');
  }
  const ServiceName name(rest.substr(0, slash));
  const ServiceSpec* service = aBundle.FindService(name);
  const bool isEntitled = IsEntitledToService(aCaller, name);
  if (service == nullptr || !isEntitled) {
    return MakeError(service == nullptr ? ErrorCode::NotFound
                                        : ErrorCode::Forbidden,
                     kStep, aCaller.mName.Text(), "service " + name.Text());
  }
  auto plan = std::make_shared<ForwardPlan>();
  RequestFacts& facts = plan->mFacts;
  facts.mId = aId;
  facts.mCaller = aCaller.mName;
  facts.mService = name;
  facts.mPriority = PriorityOf(aCaller, aRequest);
  facts.mIdempotent = IsIdempotentCall(*service, aRequest.mMethod, path);
  facts.mFingerprint =
    ComputeDigest(aRequest.mMethod + "\n" + path + "\n" + aRequest.mBody);
  SetDeadlines(aBundle, aRequest, facts);
  facts.mDeadline = std::min(facts.mDeadline, SteadyNow() + service->mTimeout);
  plan->mIsEngine = false;
  plan->mRequest = MakeForwarded(aRequest, std::move(path));
  return std::shared_ptr<const ForwardPlan>(std::move(plan));
}

} // namespace carobtide
